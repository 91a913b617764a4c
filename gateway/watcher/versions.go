package watcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"monsoondeck.example/gateway/versioner"
	"monsoondeck.example/sleeper"
)

// StoredVersions is what the store keeps of the software versions in service and of the
// streams that began while there were several, so that it outlives the daemons.
type StoredVersions struct {
	// Stored is set if the store has a history. History has no age if the store may have lost
	// a newer one.
	Stored  bool
	History versioner.History
	Streams []versioner.Batch
}

// VersionStore writes what StoredVersions holds.
type VersionStore interface {
	// SaveHistory replaces the history, as of the era of the store.
	SaveHistory(ctx context.Context, era uint64, h versioner.History) error
	// SaveStreams replaces the streams.
	SaveStreams(ctx context.Context, batches []versioner.Batch) error
}

// VersionSink receives what was stored and provides what should be.
type VersionSink interface {
	LearnVersions(stored StoredVersions)
	// VersionHistory returns the history of the versions in service.
	VersionHistory() versioner.History
	// UncertainStreams returns the streams of the fleet whose versions do not follow from the
	// history.
	UncertainStreams(ctx context.Context) []versioner.Batch
}

const (
	// historyCheckInterval is how often a store reader checks whether it has to save the
	// history of the versions. A stream that begins at a new version before it is saved is
	// only known to the daemons.
	historyCheckInterval = 50 * time.Millisecond
	// peerHistoryTime is how long a daemon that does not know the whole history waits for that
	// of its peers before it saves its own: two full reports.
	peerHistoryTime = 2500 * time.Millisecond
	// saveStreamsInterval is the time between two saves of the streams. It bounds the calls to
	// the store, and is the age of the streams that are lost if all daemons are killed.
	saveStreamsInterval = 250 * time.Millisecond
)

// learnVersions passes on what the store keeps, as it was read with the list of daemons. A
// daemon that has founded the fleet knows that there were no streams before.
func (w *Watcher) learnVersions(f Fleet) {
	stored := f.Versions
	if f.Founded {
		stored = StoredVersions{History: versioner.History{Age: versioner.MaxStreamAge}}
	}
	w.storedVersions.Store(&stored)
	w.options.VersionSink.LearnVersions(stored)
}

// SaveVersions stores the history of the versions in service after each change, and in each
// new era, and the streams while there are any whose versions are not certain. It does so
// while this daemon reads the store on behalf of the fleet, and after it has read what is
// stored.
func (w *Watcher) SaveVersions(ctx context.Context) {
	s := &versionSaver{watcher: w, backoff: w.newBackoff("software versions"), started: w.options.Clock()}
	for ; ctx.Err() == nil; sleeper.Sleep(ctx, historyCheckInterval) {
		stored := w.storedVersions.Load()
		if stored == nil || !w.options.Role().Reader {
			continue
		}
		s.begin(*stored)
		if err := s.save(ctx); err != nil {
			s.backoff.failed(ctx, err)
		}
	}
}

// versionSaver is the state of SaveVersions.
type versionSaver struct {
	watcher *Watcher
	backoff *backoff
	// started is the time at which the daemon started.
	started time.Duration
	// begun is set once history is that of the store.
	begun bool
	// history is what the store has, as far as this daemon knows.
	history savedHistory
	// hasStreams is set while the store may have streams that this daemon has saved, nextStreams
	// the time of the next save.
	hasStreams  bool
	nextStreams time.Duration
}

// begin takes over what was stored when the daemon joined the fleet, the first time that it
// is called.
func (s *versionSaver) begin(stored StoredVersions) {
	if s.begun {
		return
	}
	s.begun, s.history = true, savedHistory{era: s.watcher.era.Load()}
	if stored.Stored && stored.History.Age > 0 {
		s.history = newSavedHistory(s.history.era, stored.History)
	}
}

// save saves what has changed.
func (s *versionSaver) save(ctx context.Context) error {
	if err := s.saveHistory(ctx); err != nil {
		return err
	}
	return s.saveStreams(ctx)
}

// saveHistory saves the history of the versions if it has to replace the stored one. A daemon
// that does not know the whole history first waits for that of its peers.
func (s *versionSaver) saveHistory(ctx context.Context) error {
	w := s.watcher
	history := w.options.VersionSink.VersionHistory()
	current := newSavedHistory(w.era.Load(), history)
	heard := current.complete || w.options.Clock()-s.started > peerHistoryTime
	if history.Age <= 0 || !heard || !current.replaces(s.history) {
		return nil
	}
	err := w.call(ctx, func(ctx context.Context) error { return w.options.VersionStore.SaveHistory(ctx, current.era, history) })
	if err == nil {
		s.backoff.succeeded()
		s.history = current
	}
	return err
}

// saveStreams saves the streams whose versions are not certain, and once more when there are
// none any more.
func (s *versionSaver) saveStreams(ctx context.Context) error {
	w := s.watcher
	if w.options.Clock() < s.nextStreams {
		return nil
	}
	s.nextStreams = w.options.Clock() + saveStreamsInterval
	streams := w.options.VersionSink.UncertainStreams(ctx)
	if len(streams) == 0 && !s.hasStreams {
		return nil
	}
	err := w.call(ctx, func(ctx context.Context) error { return w.options.VersionStore.SaveStreams(ctx, streams) })
	if err == nil {
		s.backoff.succeeded()
		s.hasStreams = len(streams) > 0
	}
	return err
}

// call makes a call to the store.
func (w *Watcher) call(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.calls.Add(1)
	return call(ctx)
}

// savedHistory is what matters of a history that was saved.
type savedHistory struct {
	era       uint64
	inService []versioner.Sighting
	// complete is set if the history includes all versions with streams that can go on.
	complete bool
}

func newSavedHistory(era uint64, h versioner.History) savedHistory {
	return savedHistory{era: era, inService: inService(h), complete: h.Age >= versioner.MaxStreamAge}
}

// replaces reports whether the history has to be saved in place of another one.
func (s savedHistory) replaces(old savedHistory) bool {
	return s.era > old.era || s.complete && !old.complete || !slices.Equal(s.inService, old.inService)
}

// inService returns the versions of a history that are in service, sorted.
func inService(h versioner.History) []versioner.Sighting {
	present := slices.DeleteFunc(slices.Clone(h.Sightings), func(s versioner.Sighting) bool { return s.Age > 0 })
	slices.SortFunc(present, func(a, b versioner.Sighting) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return present
}

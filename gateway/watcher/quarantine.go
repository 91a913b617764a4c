package watcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/sleeper"
)

// QuarantineStore keeps the evidence on prompt parts and whole requests in quarantine, so
// that it outlives the daemons.
type QuarantineStore interface {
	// Quarantine returns the stored evidence and the moment of the read.
	Quarantine(ctx context.Context) (quarantiner.Evidence, registrar.Moment, error)
	// QuarantineAfter is a long poll for changes after the moment. It returns ErrCompacted
	// if the store does not keep them, as in a new era.
	QuarantineAfter(ctx context.Context, after registrar.Moment, wait time.Duration) (quarantiner.Evidence, registrar.Moment, error)
	// SaveQuarantine stores the evidence, part by part, and removes that on the released
	// parts. It can be repeated safely after a response was lost.
	SaveQuarantine(ctx context.Context, e quarantiner.Evidence, released []quarantiner.Part) error
}

// QuarantineState is what should be stored.
type QuarantineState struct {
	// Version increases with each change.
	Version  uint64
	Evidence quarantiner.Evidence
	// Released holds the parts that must not be stored any more.
	Released []quarantiner.Part
}

// QuarantineSink receives the stored evidence and provides that of this daemon.
type QuarantineSink interface {
	LearnEvidence(e quarantiner.Evidence)
	QuarantineState() QuarantineState
}

const (
	// quarantineCheckInterval is how often a daemon checks whether it has to save or to
	// follow the quarantine.
	quarantineCheckInterval = 100 * time.Millisecond
	// saveInterval is the time per save of the quarantine, and quarantineReadInterval that
	// per read of it, while many targets crash, each of which changes the evidence. They
	// bound the calls to the store. Peers learn of the evidence from reports; only daemons
	// that start later or have no peers need the stored one.
	saveInterval           = 2 * time.Second
	quarantineReadInterval = time.Second
	// quarantineBurst is the number of saves or reads without a delay after a quiet time, so
	// that a single part in quarantine is stored and read at once.
	quarantineBurst = 4
)

// WatchQuarantine reads the stored quarantine at the start, and again whenever it
// changes while this daemon reads the store on behalf of the fleet.
func (w *Watcher) WatchQuarantine(ctx context.Context) {
	b, pace := w.newBackoff("quarantine"), &pace{interval: quarantineReadInterval, burst: quarantineBurst}
	historyKnown, read, moment, era := false, false, registrar.Moment{}, w.era.Load()
	for ctx.Err() == nil {
		if read && !w.options.Role().Reader {
			sleeper.Sleep(ctx, quarantineCheckInterval)
			continue
		}
		if noticed := w.era.Load(); noticed > era {
			historyKnown, era = historyKnown && moment.Era >= noticed, noticed
		}
		if pace.wait(ctx) {
			continue
		}
		evidence, next, err := w.readQuarantine(ctx, historyKnown, moment)
		w.markQuarantineRead()
		if err != nil {
			historyKnown = historyKnown && !errors.Is(err, ErrCompacted)
			b.failed(ctx, err)
			continue
		}
		b.succeeded()
		read, historyKnown, moment = true, true, next
		w.NoticeEra(moment.Era)
		if !evidence.Empty() {
			w.options.QuarantineSink.LearnEvidence(evidence)
		}
	}
}

// readQuarantine reads the whole quarantine, or waits for its changes if the history
// since the moment is known.
func (w *Watcher) readQuarantine(ctx context.Context, historyKnown bool, after registrar.Moment) (quarantiner.Evidence, registrar.Moment, error) {
	w.calls.Add(1)
	if !historyKnown {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return w.options.QuarantineStore.Quarantine(ctx)
	}
	ctx, done := w.longPollContext(ctx, longPollTimeout)
	defer done()
	evidence, next, err := w.options.QuarantineStore.QuarantineAfter(ctx, after, longPollTimeout)
	if err != nil && errors.Is(context.Cause(ctx), errRestarted) {
		return quarantiner.Evidence{}, after, nil
	}
	return evidence, next, err
}

// markQuarantineRead releases waitForQuarantine.
func (w *Watcher) markQuarantineRead() {
	w.quarantineOnce.Do(func() { close(w.quarantineRead) })
}

// waitForQuarantine waits for the end of the first attempt to read the quarantine. A
// daemon that gets requests before would send those with a part in quarantine to
// targets.
func (w *Watcher) waitForQuarantine(ctx context.Context) {
	if w.options.QuarantineStore == nil {
		return
	}
	select {
	case <-w.quarantineRead:
	case <-ctx.Done():
	}
}

// SaveQuarantine stores the quarantine after each change, and in each new era, while this
// daemon reads the store on behalf of the fleet. While there are many, several are
// stored together.
func (w *Watcher) SaveQuarantine(ctx context.Context) {
	b, pace := w.newBackoff("save quarantine"), &pace{interval: saveInterval, burst: quarantineBurst}
	saved, savedEra := uint64(0), uint64(0)
	for ctx.Err() == nil {
		state, era := w.options.QuarantineSink.QuarantineState(), w.era.Load()
		if savedEra > 0 && era > savedEra && state.Version > 0 {
			saved = 0 // the store may have lost what was saved
		}
		if state.Version == saved || !w.options.Role().Reader {
			sleeper.Sleep(ctx, quarantineCheckInterval)
			continue
		}
		if pace.wait(ctx) {
			continue // the state may have changed meanwhile
		}
		if err := w.saveQuarantine(ctx, state); err != nil {
			b.failed(ctx, err)
			continue
		}
		b.succeeded()
		saved, savedEra = state.Version, era
	}
}

func (w *Watcher) saveQuarantine(ctx context.Context, s QuarantineState) error {
	return w.call(ctx, func(ctx context.Context) error {
		return w.options.QuarantineStore.SaveQuarantine(ctx, s.Evidence, s.Released)
	})
}

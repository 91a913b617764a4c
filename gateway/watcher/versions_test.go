package watcher_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"monsoondeck.example/gateway/versioner"
	"monsoondeck.example/gateway/watcher"
)

// versionState is a store and a sink of software versions.
type versionState struct {
	mutex   sync.Mutex
	history versioner.History
	streams []versioner.Batch
	// histories and saves are what was saved.
	histories []versioner.History
	saves     []int
}

func (s *versionState) SaveHistory(_ context.Context, _ uint64, h versioner.History) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.histories = append(s.histories, h)
	return nil
}

func (s *versionState) SaveStreams(_ context.Context, batches []versioner.Batch) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.saves = append(s.saves, len(batches))
	return nil
}

func (s *versionState) LearnVersions(watcher.StoredVersions) {}

func (s *versionState) VersionHistory() versioner.History {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history
}

func (s *versionState) UncertainStreams(context.Context) []versioner.Batch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.streams
}

func (s *versionState) set(h versioner.History, streams []versioner.Batch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.streams = h, streams
}

// await waits until as many histories and as many saves of streams were made.
func (s *versionState) await(histories, saves int) {
	for done := false; !done; time.Sleep(5 * time.Millisecond) {
		s.mutex.Lock()
		done = len(s.histories) >= histories && len(s.saves) >= saves
		s.mutex.Unlock()
	}
}

// Guards against ORDER and LOST after a mass restart: a history without a version that is in
// service, one that is replaced by that of a daemon which knows less, and streams that were
// not saved. Guards against calls to the store while nothing changes.
func TestVersionsAreSavedWhenTheyChange(t *testing.T) {
	s := &versionState{}
	w := watcher.New(watcher.Options{
		Source: newStore(), Sink: newSink(), VersionStore: s, VersionSink: s, Role: func() watcher.Role { return watcher.Role{Reader: true} },
		Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { w.SaveVersions(ctx) })
	group.Go(func() {
		w.WatchDaemons(ctx, watcher.Daemon{Host: "h"}, nil, func([]byte) error { return nil }, func([]watcher.Daemon) []watcher.Daemon { return nil })
	})
	v1, v2 := versioner.Sighting{Origin: versioner.Origin{Service: "s", Version: "v1"}}, versioner.Sighting{Origin: versioner.Origin{Service: "s", Version: "v2"}}
	// A daemon that does not know the whole history waits for that of its peers.
	s.set(versioner.History{Age: time.Second, Sightings: []versioner.Sighting{v1}}, nil)
	time.Sleep(500 * time.Millisecond)
	whole := versioner.History{Age: versioner.MaxStreamAge, Sightings: []versioner.Sighting{v1}}
	s.set(whole, nil)
	s.await(1, 0)
	time.Sleep(500 * time.Millisecond)
	two := versioner.History{Age: versioner.MaxStreamAge, Sightings: []versioner.Sighting{v2, v1}}
	s.set(two, []versioner.Batch{{}})
	s.await(2, 2)
	s.set(two, nil)
	time.Sleep(time.Second)
	cancel()
	group.Wait()
	if len(s.histories) != 2 || len(s.histories[0].Sightings) != 1 || len(s.histories[1].Sightings) != 2 {
		t.Errorf("saved histories %+v, want the whole one and the one with two versions", s.histories)
	}
	if last := len(s.saves) - 1; s.saves[last] != 0 || slices.Index(s.saves, 0) != last {
		t.Errorf("saves of %v batches, want none without streams but the last, which removes them", s.saves)
	}
}

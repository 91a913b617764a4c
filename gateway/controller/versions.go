package controller

import (
	"context"
	"slices"
	"time"

	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/versioner"
	"monsoondeck.example/gateway/watcher"
)

const (
	// streamLookupTime is how long the origin of a stream is awaited: two reports of a fleet
	// without relays, in which a daemon that is still there tells of it.
	streamLookupTime = 300 * time.Millisecond
	// streamLookupInterval is the time between two looks for it.
	streamLookupInterval = 20 * time.Millisecond
	// streamReadTime is how long a read of the registry is awaited that makes the only version
	// in service certain: the time between two reads of one daemon, twice, and a call.
	streamReadTime = 800 * time.Millisecond
)

// observeVersions records the software versions of the targets in the registry, including
// those of targets that leave, which still serve their streams.
func (c *Controller) observeVersions(now time.Duration) {
	var origins []versioner.Origin
	for _, e := range c.registryEntries {
		if o := (versioner.Origin{Service: e.Service, Version: e.Version}); !slices.Contains(origins, o) {
			origins = append(origins, o)
		}
	}
	c.versions.Confirm(now, c.registryConfirmed.at)
	if c.versions.Observe(now, origins) {
		c.publishVersions(now)
	}
	c.versions.ConfirmRead(c.registryReadAt)
}

// publishVersions updates the snapshot for the watcher of the store and returns its history.
func (c *Controller) publishVersions(now time.Duration) versioner.History {
	history := c.versions.History(now)
	c.versionState.Store(&versionSnapshot{history: history, at: now})
	return history
}

// versionSnapshot is what the store should keep of the versions in service.
type versionSnapshot struct {
	history versioner.History
	// at is the time by Options.Clock as of which history is.
	at time.Duration
}

// VersionHistory implements watcher.VersionSink.
func (c *Controller) VersionHistory() versioner.History {
	s := c.versionState.Load()
	return s.history.Aged(c.options.Clock() - s.at)
}

// UncertainStreams implements watcher.VersionSink.
func (c *Controller) UncertainStreams(ctx context.Context) []versioner.Batch {
	reply := make(chan []versioner.Batch, 1)
	c.events <- uncertainStreamsEvent{reply}
	select {
	case batches := <-reply:
		return batches
	case <-ctx.Done():
		return nil
	}
}

// uncertainStreamsEvent asks for the streams whose versions are not certain.
type uncertainStreamsEvent struct{ reply chan<- []versioner.Batch }

func (e uncertainStreamsEvent) apply(c *Controller, now time.Duration) {
	e.reply <- c.versions.Uncertainties(now)
}

// LearnVersions implements watcher.VersionSink.
func (c *Controller) LearnVersions(stored watcher.StoredVersions) {
	c.events <- learnVersionsEvent{stored}
}

// learnVersionsEvent delivers what the store keeps of streams and versions.
type learnVersionsEvent struct{ stored watcher.StoredVersions }

func (e learnVersionsEvent) apply(c *Controller, now time.Duration) {
	c.versions.LearnHistory(now, e.stored.History)
	c.versions.Learn(now, e.stored.Streams)
	c.publishVersions(now)
}

// FindStream implements receiver.StreamOrigins.
func (c *Controller) FindStream(ctx context.Context, service string, s versioner.Stream) receiver.StreamOrigin {
	takenUp := c.options.Clock()
	ticker := time.NewTicker(streamLookupInterval)
	defer ticker.Stop()
	for {
		reply := make(chan foundStream, 1)
		c.events <- findStreamEvent{service, s, takenUp, reply}
		select {
		case f := <-reply:
			limit := streamLookupTime
			if f.readWanted {
				limit = streamReadTime
			}
			if f.origin.Known || c.options.Clock()-takenUp >= limit {
				return f.origin
			}
		case <-ctx.Done():
			return receiver.StreamOrigin{}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return receiver.StreamOrigin{}
		}
	}
}

// findStreamEvent asks for the origin of a stream.
type findStreamEvent struct {
	service string
	stream  versioner.Stream
	// takenUp is the time at which the caller took the stream up.
	takenUp time.Duration
	reply   chan<- foundStream
}

// foundStream is the answer to a findStreamEvent.
type foundStream struct {
	origin receiver.StreamOrigin
	// readWanted is set if a read of the registry may make the origin certain.
	readWanted bool
}

func (e findStreamEvent) apply(c *Controller, now time.Duration) {
	c.versions.Confirm(now, c.registryConfirmed.at)
	o, remembered, ok := c.versions.Find(now, e.service, e.stream, e.takenUp)
	f := foundStream{origin: receiver.StreamOrigin{Origin: o, Known: ok, Remembered: remembered}}
	if !ok && !c.versions.Uncertain(now, e.service) {
		f.readWanted = true
		c.registryWantedAt = max(c.registryWantedAt, e.takenUp)
		c.publishFreshness()
	}
	e.reply <- f
}

// BeganStream implements receiver.StreamOrigins.
func (c *Controller) BeganStream(s versioner.Stream, o versioner.Origin, left time.Duration) {
	c.events <- beganStreamEvent{s, o, left}
}

// beganStreamEvent records that a stream has sent its first event.
type beganStreamEvent struct {
	stream versioner.Stream
	origin versioner.Origin
	left   time.Duration
}

func (e beganStreamEvent) apply(c *Controller, now time.Duration) {
	c.versions.Began(now, e.stream, e.origin, e.left)
}

package controller

import (
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"monsoondeck.example/configurer"
	"monsoondeck.example/connector"
	"monsoondeck.example/logger"
	"monsoondeck.example/messenger"
)

const (
	// deltaHistorySize is the number of changes kept for peers that are behind. It
	// covers more than an hour at 6,400 changes a day.
	deltaHistorySize = 500
	// pushFanout and pushHops forward a change to at most 4+16+64 daemons. The others
	// learn of it from the versions in probes.
	pushFanout = 4
	pushHops   = 3
	// maxPushBytes keeps a batch of changes below the size limit of a frame.
	maxPushBytes = 128 << 10
	// configRequestInterval is the minimum interval between configuration requests.
	configRequestInterval = 250 * time.Millisecond
)

// configMessage carries a complete configuration from the platform or a peer.
type configMessage struct{ config configurer.Config }

// SetConfig activates a complete configuration unless it is older than the
// current one.
func (c *Controller) SetConfig(config configurer.Config) { c.post(configMessage{config}) }

func (m configMessage) apply(c *Controller, now time.Duration) {
	if c.replica.OfferConfig(m.config) {
		c.activateConfig(now)
	}
}

// deltasMessage carries changes that the poller has read from the platform.
type deltasMessage struct{ deltas []configurer.Delta }

// ApplyDeltas applies changes and forwards them to other daemons.
func (c *Controller) ApplyDeltas(deltas []configurer.Delta) { c.post(deltasMessage{deltas}) }

func (m deltasMessage) apply(c *Controller, now time.Duration) {
	for _, d := range m.deltas {
		c.applyDelta(d, pushHops, now)
	}
}

// applyDelta applies a change, together with buffered changes that depend on it,
// and forwards the changes that were new. hops limits how often they are forwarded.
func (c *Controller) applyDelta(d configurer.Delta, hops uint64, now time.Duration) {
	applied, err := c.replica.OfferDelta(d)
	if err != nil {
		logger.Emit(c.options.Logger, logger.ConfigRejected, slog.Uint64("version", d.Version), slog.String("error", err.Error()))
	}
	if len(applied) == 0 {
		return
	}
	c.activateConfig(now)
	if hops == 0 {
		return
	}
	for _, a := range applied {
		c.pushConfig(newConfigPush(a, hops-1))
	}
}

// newConfigPush encodes a change. A change that does not fit into a frame is
// announced without its content, so that receivers fetch the whole configuration.
func newConfigPush(d configurer.Delta, hops uint64) messenger.ConfigPush {
	body, err := json.Marshal(d)
	if err != nil || len(body) > maxPushBytes {
		return messenger.ConfigPush{Version: d.Version}
	}
	return messenger.ConfigPush{Version: d.Version, Base: d.Base, Hops: hops, Body: string(body)}
}

// activateConfig switches to the replica's current configuration.
func (c *Controller) activateConfig(now time.Duration) {
	c.config, c.configured = c.replica.Current()
	logger.Emit(c.options.Logger, logger.ConfigApplied, slog.Uint64("version", c.config.Version()))
	c.expireWaiters(now)
	c.updateAssignment()
}

// pushConfig sends a change to a few random members.
func (c *Controller) pushConfig(p messenger.ConfigPush) {
	for _, id := range c.randomMembers(pushFanout) {
		c.send(id, func(f *messenger.Frame) { f.ConfigPushes = append(f.ConfigPushes, p) })
	}
}

// randomMembers returns the ids of up to count random members other than this
// daemon.
func (c *Controller) randomMembers(count int) []string {
	var ids []string
	for id := range c.members {
		if id != c.options.Self.ID {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	c.options.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(count, len(ids))]
}

// requestNewerConfig asks a member for the missing changes if the version that it
// announced is newer than the current one.
func (c *Controller) requestNewerConfig(member string, version uint64) {
	now := c.now()
	if c.options.PlatformOnly && !c.configured {
		return
	}
	if version <= c.config.Version() || now-c.lastConfigRequest < configRequestInterval {
		return
	}
	c.lastConfigRequest = now
	c.send(member, func(f *messenger.Frame) {
		f.ConfigRequest = &messenger.ConfigRequest{After: c.config.Version()}
	})
}

// requestMissingConfig asks a random peer for the configuration while this daemon
// has none.
func (c *Controller) requestMissingConfig(now time.Duration) {
	if c.configured || c.options.PlatformOnly || now-c.lastConfigRequest < configRequestInterval {
		return
	}
	c.lastConfigRequest = now
	for _, id := range c.randomMembers(1) {
		c.send(id, func(f *messenger.Frame) { f.ConfigRequest = &messenger.ConfigRequest{} })
	}
}

func (c *Controller) handleConfigFrame(f *messenger.Frame, now time.Duration) {
	for _, p := range f.ConfigPushes {
		c.handleConfigPush(f.Sender, p, now)
	}
	if f.ConfigRequest != nil && c.configured {
		c.answerConfigRequest(f.Sender, f.ConfigRequest.After)
	}
	for _, m := range f.HostMarks {
		c.applyHostMark(m)
	}
}

func (c *Controller) handleConfigPush(from string, p messenger.ConfigPush, now time.Duration) {
	if p.Version <= c.config.Version() {
		return
	}
	if c.options.PlatformOnly && !c.configured {
		return
	}
	if p.Body == "" || !c.configured && p.Base > 0 {
		c.requestFetch(from)
		return
	}
	var d configurer.Delta
	if err := json.Unmarshal([]byte(p.Body), &d); err != nil {
		logger.Emit(c.options.Logger, logger.ConfigRejected, slog.Uint64("version", p.Version), slog.String("error", err.Error()))
		return
	}
	c.applyDelta(d, p.Hops, now)
	if _, missing := c.replica.MissingAfter(); missing {
		c.requestNewerConfig(from, p.Version)
	}
}

// answerConfigRequest sends the changes after a version. If they are no longer
// kept or are too large, it sends a push without content instead, which makes the
// receiver fetch the complete configuration.
func (c *Controller) answerConfigRequest(to string, after uint64) {
	deltas, kept := c.replica.DeltasAfter(after)
	pushes := make([]messenger.ConfigPush, 0, len(deltas))
	size := 0
	for _, d := range deltas {
		p := newConfigPush(d, 0)
		pushes = append(pushes, p)
		size += len(p.Body)
	}
	if kept && len(deltas) == 0 {
		return
	}
	if !kept || size > maxPushBytes {
		pushes = []messenger.ConfigPush{{Version: c.config.Version()}}
	}
	c.send(to, func(f *messenger.Frame) { f.ConfigPushes = append(f.ConfigPushes, pushes...) })
}

// requestFetch asks the fetcher goroutine to fetch the complete configuration from
// a peer.
func (c *Controller) requestFetch(from string) {
	m, ok := c.members[from]
	if !ok {
		return
	}
	select {
	case c.fetchRequests <- connector.Peer{ID: m.ID, Address: m.Address}:
	default: // a fetch is already pending
	}
}

// Fetches returns the peers from which a complete configuration should be
// fetched; at most one is pending.
func (c *Controller) Fetches() <-chan connector.Peer { return c.fetchRequests }

// hostMarksMessage carries the target states read from the host list.
type hostMarksMessage struct{ marks []messenger.HostMark }

// SetHostMarks applies the target states read from the host list and forwards the
// changes to other daemons.
func (c *Controller) SetHostMarks(marks []messenger.HostMark) { c.post(hostMarksMessage{marks}) }

func (m hostMarksMessage) apply(c *Controller, _ time.Duration) {
	for _, mark := range m.marks {
		mark.Hops = pushHops
		c.applyHostMark(mark)
	}
}

// applyHostMark stores a target state read from the host list if it is newer than
// the known one, and forwards it.
func (c *Controller) applyHostMark(m messenger.HostMark) {
	old, known := c.hostMarks[m.Target]
	if known && (old.Revision >= m.Revision || old.Leaving == m.Leaving && old.Incarnation == m.Incarnation) {
		return
	}
	if !known && !m.Leaving {
		return
	}
	c.hostMarks[m.Target] = m
	if m.Leaving {
		logger.Emit(c.options.Logger, logger.TargetLeaving, slog.String("target", m.Target))
	}
	c.publish()
	c.scheduleOwned(c.now())
	if m.Hops == 0 {
		return
	}
	m.Hops--
	for _, id := range c.randomMembers(pushFanout) {
		c.send(id, func(f *messenger.Frame) { f.HostMarks = append(f.HostMarks, m) })
	}
}

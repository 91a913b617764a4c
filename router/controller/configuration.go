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
	// keptDeltas covers more than an hour of changes at 6,400 a day.
	keptDeltas = 500
	// pushFanout and pushHops spread a change to 4+16+64+256 daemons.
	pushFanout = 4
	pushHops   = 3
	// maxPushBytes keeps a batch of changes below the limit of a frame.
	maxPushBytes = 128 << 10
	// askPeriod paces requests for configuration to one a period.
	askPeriod = 250 * time.Millisecond
)

// configMessage brings a complete configuration from the platform or a peer.
type configMessage struct{ config configurer.Config }

// SetConfig puts a complete configuration in force unless it is older than the
// one in force.
func (c *Controller) SetConfig(config configurer.Config) { c.post(configMessage{config}) }

func (m configMessage) apply(c *Controller, now time.Duration) {
	if c.replica.OfferConfig(m.config) {
		c.putInForce(now)
	}
}

// deltasMessage brings changes that the poller has read from the platform.
type deltasMessage struct{ deltas []configurer.Delta }

// ApplyDeltas puts changes in force and spreads them.
func (c *Controller) ApplyDeltas(deltas []configurer.Delta) { c.post(deltasMessage{deltas}) }

func (m deltasMessage) apply(c *Controller, now time.Duration) {
	for _, d := range m.deltas {
		c.offer(d, pushHops, now)
	}
}

// offer puts a change in force, with those that waited for it, and forwards
// what was new.
func (c *Controller) offer(d configurer.Delta, hops uint64, now time.Duration) {
	applied, err := c.replica.Offer(d)
	if err != nil {
		logger.Emit(c.options.Logger, logger.ConfigRejected, slog.Uint64("version", d.Version), slog.String("error", err.Error()))
	}
	if len(applied) == 0 {
		return
	}
	c.putInForce(now)
	if hops == 0 {
		return
	}
	for _, a := range applied {
		c.push(newPush(a, hops-1))
	}
}

// newPush encodes a change. One that does not fit into a frame is announced
// without its content, so that receivers fetch the whole configuration.
func newPush(d configurer.Delta, hops uint64) messenger.ConfigPush {
	body, err := json.Marshal(d)
	if err != nil || len(body) > maxPushBytes {
		return messenger.ConfigPush{Version: d.Version}
	}
	return messenger.ConfigPush{Version: d.Version, Base: d.Base, Hops: hops, Body: string(body)}
}

// putInForce makes the replica's configuration the one that is used.
func (c *Controller) putInForce(now time.Duration) {
	c.config, c.configured = c.replica.Current()
	logger.Emit(c.options.Logger, logger.ConfigApplied, slog.Uint64("version", c.config.Version()))
	c.expireWaiters(now)
	c.locate()
}

// push sends a change to a few random members.
func (c *Controller) push(p messenger.ConfigPush) {
	for _, id := range c.randomMembers(pushFanout) {
		c.send(id, func(f *messenger.Frame) { f.ConfigPushes = append(f.ConfigPushes, p) })
	}
}

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

// noteVersion asks a member for changes that this daemon lacks.
func (c *Controller) noteVersion(member string, version uint64) {
	now := c.now()
	if c.options.PlatformOnly && !c.configured {
		return
	}
	if version <= c.config.Version() || now-c.lastAsk < askPeriod {
		return
	}
	c.lastAsk = now
	c.send(member, func(f *messenger.Frame) {
		f.ConfigRequest = &messenger.ConfigRequest{After: c.config.Version()}
	})
}

// requestMissingConfig asks peers while this daemon has no configuration.
func (c *Controller) requestMissingConfig(now time.Duration) {
	if c.configured || c.options.PlatformOnly || now-c.lastAsk < askPeriod {
		return
	}
	c.lastAsk = now
	for _, id := range c.randomMembers(1) {
		c.send(id, func(f *messenger.Frame) { f.ConfigRequest = &messenger.ConfigRequest{} })
	}
}

func (c *Controller) handleConfigFrame(f *messenger.Frame, now time.Duration) {
	for _, p := range f.ConfigPushes {
		c.handlePush(f.Sender, p, now)
	}
	if f.ConfigRequest != nil && c.configured {
		c.answerConfigRequest(f.Sender, f.ConfigRequest.After)
	}
	for _, m := range f.HostMarks {
		c.applyMark(m)
	}
}

func (c *Controller) handlePush(from string, p messenger.ConfigPush, now time.Duration) {
	if p.Version <= c.config.Version() {
		return
	}
	if c.options.PlatformOnly && !c.configured {
		return
	}
	if p.Body == "" || !c.configured && p.Base > 0 {
		c.fetch(from)
		return
	}
	var d configurer.Delta
	if err := json.Unmarshal([]byte(p.Body), &d); err != nil {
		logger.Emit(c.options.Logger, logger.ConfigRejected, slog.Uint64("version", p.Version), slog.String("error", err.Error()))
		return
	}
	c.offer(d, p.Hops, now)
	if _, missing := c.replica.Missing(); missing {
		c.noteVersion(from, p.Version)
	}
}

// answerConfigRequest sends the changes after a version, or, when they are no
// longer kept or too large, the news that a complete configuration must be
// fetched.
func (c *Controller) answerConfigRequest(to string, after uint64) {
	deltas, kept := c.replica.After(after)
	pushes := make([]messenger.ConfigPush, 0, len(deltas))
	size := 0
	for _, d := range deltas {
		p := newPush(d, 0)
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

// fetch asks the fetcher goroutine for the complete configuration of a peer.
func (c *Controller) fetch(from string) {
	m, ok := c.members[from]
	if !ok {
		return
	}
	select {
	case c.fetches <- connector.Peer{ID: m.ID, Address: m.Address}:
	default: // a fetch is already under way
	}
}

// Fetches returns the peers from which a complete configuration should be
// fetched; at most one is pending.
func (c *Controller) Fetches() <-chan connector.Peer { return c.fetches }

// marksMessage brings the host list's view of the targets.
type marksMessage struct{ marks []messenger.HostMark }

// SetHostMarks applies what the host list says of targets and spreads changes.
func (c *Controller) SetHostMarks(marks []messenger.HostMark) { c.post(marksMessage{marks}) }

func (m marksMessage) apply(c *Controller, _ time.Duration) {
	for _, mark := range m.marks {
		mark.Hops = pushHops
		c.applyMark(mark)
	}
}

// applyMark keeps the newest mark of a target and forwards it if it was new.
func (c *Controller) applyMark(m messenger.HostMark) {
	old, known := c.marks[m.Target]
	if known && (old.Revision >= m.Revision || old.Leaving == m.Leaving && old.Incarnation == m.Incarnation) {
		return
	}
	if !known && !m.Leaving {
		return
	}
	c.marks[m.Target] = m
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

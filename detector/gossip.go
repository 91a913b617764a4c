package detector

import (
	"math/bits"
	"slices"

	"monsoondeck.example/messenger"
)

// repeats returns how often each fact is sent.
func (d *Detector) repeats() int {
	return d.settings.RepeatFactor * bits.Len(uint(d.live+1))
}

// updates returns the facts for a message: this daemon's own, what the receiver
// must know to refute a suspicion of itself, the fact about one more daemon, and
// then those that were sent least often.
func (d *Detector) updates(to, about string) []messenger.MemberUpdate {
	list := make([]messenger.MemberUpdate, 1, 4)
	list[0] = d.self.update()
	if e := d.entries[to]; e != nil && e.State != Alive {
		list = append(list, e.update())
	}
	if e := d.entries[about]; e != nil && about != to && !e.quiet {
		list = append(list, e.update())
	}
	return d.gossip(list)
}

// gossip appends the facts that are still to be spread, least sent first.
func (d *Detector) gossip(list []messenger.MemberUpdate) []messenger.MemberUpdate {
	var pending []*entry
	for _, e := range d.order {
		if e.left > 0 && !contains(list, e.ID) {
			pending = append(pending, e)
		}
	}
	slices.SortStableFunc(pending, func(a, b *entry) int { return b.left - a.left })
	for _, e := range pending[:min(len(pending), max(0, d.settings.MaxUpdates-len(list)))] {
		e.left--
		list = append(list, e.update())
	}
	return list
}

// recentPeriods is how long a removal is told to daemons whose views differ.
// Later it only concerns daemons on the other side of an ended partition, and
// would make them suspect members that are well.
const recentPeriods = 30

// fill appends facts in turn, for a daemon whose view differs.
func (d *Detector) fill(list []messenger.MemberUpdate) []messenger.MemberUpdate {
	for range d.order {
		if len(list) >= d.settings.MaxUpdates {
			break
		}
		d.sweep++
		if d.sweep >= len(d.order) {
			d.sweep = 0
		}
		e := d.order[d.sweep]
		recent := d.lastTick-e.since < recentPeriods*d.settings.Period
		if (e.live() || recent) && !e.quiet && !contains(list, e.ID) {
			list = append(list, e.update())
		}
	}
	return list
}

func contains(list []messenger.MemberUpdate, id string) bool {
	return slices.ContainsFunc(list, func(u messenger.MemberUpdate) bool { return u.ID == id })
}

// ack returns an acknowledgement to the sender of a probe.
func (d *Detector) ack(to string, a messenger.ProbeAck, differs bool) Send {
	a.ConfigVersion, a.Digest = d.configVersion, d.digest
	a.Updates = d.updates(to, "")
	if differs {
		a.Updates = d.fill(a.Updates)
	}
	return Send{To: to, Address: d.address(to), Ack: &a}
}

// fullAnswer returns as many acknowledgements as the whole membership needs, so
// that a joining daemon knows the fleet after one exchange.
func (d *Detector) fullAnswer(to string, a messenger.ProbeAck) []Send {
	sends := []Send{d.ack(to, a, true)}
	sent := len(sends[0].Ack.Updates)
	for sent <= d.live {
		next := a
		next.ConfigVersion, next.Digest = d.configVersion, d.digest
		next.Updates = d.fill(nil)
		if len(next.Updates) == 0 {
			break // only quiet suspicions are left, which are not sent
		}
		sent += len(next.Updates)
		sends = append(sends, Send{To: to, Address: d.address(to), Ack: &next})
	}
	return sends
}

// probe returns a probe for a daemon.
func (d *Detector) probe(e *entry, p messenger.Probe) Send {
	about := ""
	if p.Subject != e.ID {
		about = p.Subject
	}
	p.ConfigVersion, p.Digest = d.configVersion, d.digest
	p.Updates = d.updates(e.ID, about)
	return Send{To: e.ID, Address: e.Address, Probe: &p}
}

func (d *Detector) newNonce() uint64 {
	d.nonce++
	return d.nonce
}

package detector

import (
	"math/bits"
	"slices"

	"monsoondeck.example/messenger"
)

// sendsPerFact returns the number of times that each new fact is sent.
func (d *Detector) sendsPerFact() int {
	return d.settings.RepeatFactor * bits.Len(uint(d.liveCount+1))
}

// updates returns the facts for a message: the one about this daemon, one that the
// receiver needs to refute a suspicion of itself, the one about the daemon with the
// ID about, and then those that have been sent least often.
func (d *Detector) updates(to, about string) []messenger.MemberUpdate {
	list := make([]messenger.MemberUpdate, 1, 4)
	list[0] = d.self.update()
	if e := d.entries[to]; e != nil && e.State != Alive {
		list = append(list, e.update())
	}
	if e := d.entries[about]; e != nil && about != to && !e.unannounced {
		list = append(list, e.update())
	}
	return d.appendPending(list)
}

// appendPending appends the facts that are still to be sent, those with the most
// sends left first, up to MaxUpdates.
func (d *Detector) appendPending(list []messenger.MemberUpdate) []messenger.MemberUpdate {
	var pending []*entry
	for _, e := range d.sortedEntries {
		if e.sendsLeft > 0 && !contains(list, e.ID) {
			pending = append(pending, e)
		}
	}
	slices.SortStableFunc(pending, func(a, b *entry) int { return b.sendsLeft - a.sendsLeft })
	for _, e := range pending[:min(len(pending), max(0, d.settings.MaxUpdates-len(list)))] {
		e.sendsLeft--
		list = append(list, e.update())
	}
	return list
}

// removalGossipPeriods is the number of periods for which appendInTurn includes a
// removal. An older removal is unknown only to daemons on the other side of an ended
// partition, and would make them suspect members that are alive.
const removalGossipPeriods = 30

// appendInTurn appends facts for a daemon whose view differs, up to MaxUpdates. Each
// call continues where the previous one stopped.
func (d *Detector) appendInTurn(list []messenger.MemberUpdate) []messenger.MemberUpdate {
	for range d.sortedEntries {
		if len(list) >= d.settings.MaxUpdates {
			break
		}
		d.fillPosition++
		if d.fillPosition >= len(d.sortedEntries) {
			d.fillPosition = 0
		}
		e := d.sortedEntries[d.fillPosition]
		recent := d.lastTick-e.stateSince < removalGossipPeriods*d.settings.Period
		if (e.live() || recent) && !e.unannounced && !contains(list, e.ID) {
			list = append(list, e.update())
		}
	}
	return list
}

func contains(list []messenger.MemberUpdate, id string) bool {
	return slices.ContainsFunc(list, func(u messenger.MemberUpdate) bool { return u.ID == id })
}

// newAck returns an acknowledgement to the sender of a probe, with more facts if
// the views differ.
func (d *Detector) newAck(to string, a messenger.ProbeAck, differs bool) OutgoingMessage {
	a.ConfigVersion, a.Digest = d.configVersion, d.digest
	a.Updates = d.updates(to, "")
	if differs {
		a.Updates = d.appendInTurn(a.Updates)
	}
	return OutgoingMessage{To: to, Address: d.address(to), Ack: &a}
}

// fullAnswer returns as many acknowledgements as the whole membership needs, so
// that a joining daemon knows the fleet after one exchange.
func (d *Detector) fullAnswer(to string, a messenger.ProbeAck) []OutgoingMessage {
	messages := []OutgoingMessage{d.newAck(to, a, true)}
	sent := len(messages[0].Ack.Updates)
	for sent <= d.liveCount {
		next := a
		next.ConfigVersion, next.Digest = d.configVersion, d.digest
		next.Updates = d.appendInTurn(nil)
		if len(next.Updates) == 0 {
			break // only unannounced suspicions are left, which are not sent
		}
		sent += len(next.Updates)
		messages = append(messages, OutgoingMessage{To: to, Address: d.address(to), Ack: &next})
	}
	return messages
}

// newProbe returns a probe to a daemon.
func (d *Detector) newProbe(e *entry, p messenger.Probe) OutgoingMessage {
	about := ""
	if p.Subject != e.ID {
		about = p.Subject
	}
	p.ConfigVersion, p.Digest = d.configVersion, d.digest
	p.Updates = d.updates(e.ID, about)
	return OutgoingMessage{To: e.ID, Address: e.Address, Probe: &p}
}

func (d *Detector) newNonce() uint64 {
	d.nonce++
	return d.nonce
}

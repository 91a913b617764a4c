package detector

import (
	"slices"
	"time"

	"monsoondeck.example/messenger"
)

// Tick returns the messages that are due. The caller calls it several times within
// Settings.IndirectAfter, because timeouts are detected only by Tick.
func (d *Detector) Tick(now time.Duration) []OutgoingMessage {
	d.handlePause(now)
	var messages []OutgoingMessage
	if c := &d.currentProbe; c.subject != nil && !c.indirect && now-c.sent >= d.settings.IndirectAfter {
		c.indirect = true
		messages = d.requestIndirectProbes(c.subject, c.nonce, d.settings.IndirectProbes)
	}
	if d.suspectCount > 0 {
		messages = append(messages, d.checkSuspects(now)...)
	}
	if now >= d.nextProbe {
		d.suspectCurrent(now)
		d.nextProbe = max(d.nextProbe+d.settings.Period, now+d.settings.Period/2)
		d.checks = 0
		messages = append(messages, d.probeNext(now)...)
	}
	if now >= d.nextRejoin {
		messages = append(messages, d.rejoin(now)...)
	}
	return messages
}

// handlePause handles the first Tick and one after a pause of the process. After a
// pause, answers may still wait to be handled, so the current probe is dropped and
// the deadlines of suspects are extended by the pause.
func (d *Detector) handlePause(now time.Duration) {
	gap := now - d.lastTick
	if !d.started {
		d.started, d.startedAt = true, now
		d.lastMessage = now
		// A random delay spreads the probes of daemons that start at the same time.
		d.nextProbe = now + time.Duration(d.random.Int64N(int64(d.settings.Period)))
		d.nextRejoin = now
	} else if gap > d.settings.Period {
		d.currentProbe.subject = nil
		for _, e := range d.sortedEntries {
			e.removalDeadline += gap
		}
	}
	d.lastTick = now
}

// probeNext probes the next member of the round.
func (d *Detector) probeNext(now time.Duration) []OutgoingMessage {
	for range 2 {
		for d.probePosition < len(d.probeRound) {
			e := d.probeRound[d.probePosition]
			d.probePosition++
			if e.live() {
				d.currentProbe = probe{subject: e, nonce: d.newNonce(), sent: now}
				return []OutgoingMessage{d.newProbe(e, messenger.Probe{Nonce: d.currentProbe.nonce, Subject: d.directProbeSubject(e)})}
			}
		}
		d.shuffleRound()
	}
	return nil
}

// directProbeSubject returns the subject of a direct probe of e. It is empty, which
// asks for the whole membership, after too many consecutive answers from daemons
// with a differing view.
func (d *Detector) directProbeSubject(e *entry) string {
	limit := maxDifferingAnswers
	if d.lastTick < d.startedAt+joinPeriods*d.settings.Period {
		limit = 1
	}
	if d.differingAnswers < limit {
		return e.ID
	}
	d.differingAnswers = 0
	return ""
}

// shuffleRound starts a new round, which probes every live member once.
func (d *Detector) shuffleRound() {
	d.probeRound, d.probePosition = d.probeRound[:0], 0
	for _, e := range d.sortedEntries {
		if e.live() {
			d.probeRound = append(d.probeRound, e)
		}
	}
	d.random.Shuffle(len(d.probeRound), func(i, j int) { d.probeRound[i], d.probeRound[j] = d.probeRound[j], d.probeRound[i] })
}

// requestIndirectProbes returns messages that ask up to n members to probe the subject.
func (d *Detector) requestIndirectProbes(subject *entry, nonce uint64, n int) []OutgoingMessage {
	var messages []OutgoingMessage
	for _, e := range d.randomAliveMembers(n, subject) {
		messages = append(messages, d.newProbe(e, messenger.Probe{Nonce: nonce, Subject: subject.ID}))
	}
	return messages
}

// randomAliveMembers returns up to n random alive members other than the excluded one.
func (d *Detector) randomAliveMembers(n int, except *entry) []*entry {
	var list []*entry
	for _, e := range d.sortedEntries {
		if e.State == Alive && e != except {
			list = append(list, e)
		}
	}
	for i := range min(n, len(list)) {
		j := i + d.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}

// suspectCurrent marks the subject of an unanswered probe as suspect. A daemon
// that has received no message at all since it sent the probe is probably cut off
// itself, at least in the inbound direction, and does not announce the suspicion.
func (d *Detector) suspectCurrent(now time.Duration) {
	e := d.currentProbe.subject
	d.currentProbe.subject = nil
	if e == nil || e.State != Alive {
		return
	}
	m := e.Member
	m.State = Suspect
	d.setState(now, e, m)
	d.setAnnounced(e, d.lastMessage > d.currentProbe.sent)
}

// setAnnounced starts to send a fact that this daemon detected itself, or marks it
// as unannounced.
func (d *Detector) setAnnounced(e *entry, announced bool) {
	e.sendsLeft, e.unannounced = 0, !announced
	if announced {
		e.sendsLeft = d.sendsPerFact()
	}
}

// checksToRemove is the number of unanswered checks before a removal; a check is a
// direct probe and indirect probes of a suspect. With one check, a fleet of 12 that
// lost a tenth of its messages removed a live member within five minutes on some
// seeds of the simulation.
const checksToRemove = 2

// checkSuspects checks suspects from half of the suspicion time on and removes
// those that answered no check by their deadline. The first check informs the
// suspect directly, because gossip alone takes longer than the suspicion time in a
// large fleet. Suspects that others have removed need no check after twice the
// suspicion time, so that the removal of a whole data centre is not delayed by
// Settings.MaxChecks.
func (d *Detector) checkSuspects(now time.Duration) []OutgoingMessage {
	var messages []OutgoingMessage
	quarter := d.settings.Suspicion / 4
	for _, e := range d.sortedEntries {
		switch {
		case e.State != Suspect || now < e.removalDeadline-time.Duration(checksToRemove-e.checks)*quarter:
		case e.removedByOthers && now >= e.stateSince+2*d.settings.Suspicion:
			d.removeSuspect(now, e)
		case e.checks < checksToRemove && d.checks < d.settings.MaxChecks:
			d.checks++
			e.checks++
			e.removalDeadline = max(e.removalDeadline, now+time.Duration(1+checksToRemove-e.checks)*quarter)
			e.checkNonce = d.newNonce()
			messages = append(messages, d.newProbe(e, messenger.Probe{Nonce: e.checkNonce, Subject: e.ID}))
			messages = append(messages, d.requestIndirectProbes(e, e.checkNonce, d.settings.IndirectProbes)...)
		case e.checks == checksToRemove && now >= e.removalDeadline:
			d.removeSuspect(now, e)
		}
	}
	return messages
}

// removeSuspect marks a member as dead.
func (d *Detector) removeSuspect(now time.Duration, e *entry) {
	m, since := e.Member, e.stateSince
	m.State = Dead
	d.setState(now, e, m)
	d.setAnnounced(e, d.lastMessage > since)
}

// AddSeeds adds addresses at which other daemons may be found. They are probed
// while no live member is known there.
func (d *Detector) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if a != "" && a != d.self.Address && !slices.Contains(d.seeds, a) {
			d.seeds = append(d.seeds, a)
			d.nextRejoin = min(d.nextRejoin, d.lastTick+d.settings.Period)
		}
	}
}

// rejoin probes some addresses at which no live member is known: seeds and the
// addresses of removed members. A daemon that knows no live member does so in every
// Period.
func (d *Detector) rejoin(now time.Duration) []OutgoingMessage {
	d.dropOldRemoved(now)
	d.nextRejoin = now + d.settings.RejoinPeriod
	if d.liveCount == 0 {
		d.nextRejoin = now + d.settings.Period
	}
	targets := d.absentAddresses()
	d.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	var messages []OutgoingMessage
	for _, t := range targets[:min(len(targets), d.settings.RejoinProbes)] {
		p := messenger.Probe{Nonce: d.newNonce(), ConfigVersion: d.configVersion, Digest: d.digest}
		p.Updates = d.updates("", t.ID)
		messages = append(messages, OutgoingMessage{Address: t.Address, Probe: &p})
	}
	return messages
}

// absentAddresses returns the seeds and the addresses of removed members at which
// no live member is known. The ID is empty for a seed.
func (d *Detector) absentAddresses() []Member {
	present := map[string]bool{d.self.Address: true, "": true}
	for _, e := range d.sortedEntries {
		if e.live() {
			present[e.Address] = true
		}
	}
	var list []Member
	for _, e := range d.sortedEntries {
		if e.State == Dead && !present[e.Address] {
			present[e.Address] = true
			list = append(list, e.Member)
		}
	}
	for _, a := range d.seeds {
		if !present[a] {
			present[a] = true
			list = append(list, Member{Address: a})
		}
	}
	return list
}

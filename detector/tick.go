package detector

import (
	"slices"
	"time"

	"monsoondeck.example/messenger"
)

// Tick returns the messages that are due. It is called several times within
// Settings.IndirectAfter; the precision of the protocol is the time between
// calls.
func (d *Detector) Tick(now time.Duration) []Send {
	d.resume(now)
	var sends []Send
	if c := &d.current; c.subject != nil && !c.indirect && now-c.sent >= d.settings.IndirectAfter {
		c.indirect = true
		sends = d.askOthers(c.subject, c.nonce, d.settings.IndirectProbes)
	}
	if d.suspects > 0 {
		sends = append(sends, d.watch(now)...)
	}
	if now >= d.nextProbe {
		d.suspectCurrent(now)
		d.nextProbe = max(d.nextProbe+d.settings.Period, now+d.settings.Period/2)
		d.checks = 0
		sends = append(sends, d.probeNext(now)...)
	}
	if now >= d.nextRejoin {
		sends = append(sends, d.rejoin(now)...)
	}
	return sends
}

// resume handles the first call and a process that did not run for a while. In
// the second case answers may still wait to be handled, so no member is blamed
// for the missing time.
func (d *Detector) resume(now time.Duration) {
	gap := now - d.lastTick
	if !d.started {
		d.started, d.startedAt = true, now
		d.heard = now
		// The random start keeps the probes of daemons that started together apart.
		d.nextProbe = now + time.Duration(d.random.Int64N(int64(d.settings.Period)))
		d.nextRejoin = now
	} else if gap > d.settings.Period {
		d.current.subject = nil
		for _, e := range d.order {
			e.deadline += gap
		}
	}
	d.lastTick = now
}

// probeNext probes the next member of the round.
func (d *Detector) probeNext(now time.Duration) []Send {
	for range 2 {
		for d.next < len(d.ring) {
			e := d.ring[d.next]
			d.next++
			if e.live() {
				d.current = probe{subject: e, nonce: d.newNonce(), sent: now}
				return []Send{d.probe(e, messenger.Probe{Nonce: d.current.nonce, Subject: d.subject(e)})}
			}
		}
		d.shuffle()
	}
	return nil
}

// subject returns the subject of a direct probe. It is empty, which asks for the
// whole membership, when several answers in a row came from differing views.
func (d *Detector) subject(e *entry) string {
	limit := maxDiffering
	if d.lastTick < d.startedAt+joinPeriods*d.settings.Period {
		limit = 1
	}
	if d.differing < limit {
		return e.ID
	}
	d.differing = 0
	return ""
}

// shuffle starts a new round.
func (d *Detector) shuffle() {
	d.ring, d.next = d.ring[:0], 0
	for _, e := range d.order {
		if e.live() {
			d.ring = append(d.ring, e)
		}
	}
	d.random.Shuffle(len(d.ring), func(i, j int) { d.ring[i], d.ring[j] = d.ring[j], d.ring[i] })
}

// askOthers returns requests to some members to probe the subject.
func (d *Detector) askOthers(subject *entry, nonce uint64, n int) []Send {
	var sends []Send
	for _, e := range d.sample(n, subject) {
		sends = append(sends, d.probe(e, messenger.Probe{Nonce: nonce, Subject: subject.ID}))
	}
	return sends
}

// sample returns up to n random alive members other than the excluded one.
func (d *Detector) sample(n int, except *entry) []*entry {
	var list []*entry
	for _, e := range d.order {
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
// that heard nothing at all since it sent the probe is probably cut off itself,
// or hears nothing because of a one-way cut, and keeps the suspicion to itself.
func (d *Detector) suspectCurrent(now time.Duration) {
	e := d.current.subject
	d.current.subject = nil
	if e == nil || e.State != Alive {
		return
	}
	m := e.Member
	m.State = Suspect
	d.set(now, e, m)
	d.spread(e, d.heard > d.current.sent)
}

// spread queues a fact that this daemon found itself, or keeps it quiet.
func (d *Detector) spread(e *entry, loud bool) {
	e.left, e.quiet = 0, !loud
	if loud {
		e.left = d.repeats()
	}
}

// checksToRemove is the number of unanswered checks before a removal. With one,
// a fleet of 12 that lost a tenth of its messages removed a live member within
// five minutes on some seeds.
const checksToRemove = 2

// watch checks suspects again after half of the suspicion time, and removes those
// whose time is over. The first check tells the suspect of the suspicion at once:
// gossip alone takes longer than the suspicion time in a large fleet. Suspects
// that others have removed need no check after twice the time, which keeps the
// removal of a whole data centre from waiting for the limit on checks.
func (d *Detector) watch(now time.Duration) []Send {
	var sends []Send
	quarter := d.settings.Suspicion / 4
	for _, e := range d.order {
		switch {
		case e.State != Suspect || now < e.deadline-time.Duration(checksToRemove-e.checks)*quarter:
		case e.reported && now >= e.since+2*d.settings.Suspicion:
			d.remove(now, e)
		case e.checks < checksToRemove && d.checks < d.settings.MaxChecks:
			d.checks++
			e.checks++
			e.deadline = max(e.deadline, now+time.Duration(1+checksToRemove-e.checks)*quarter)
			e.nonce = d.newNonce()
			sends = append(sends, d.probe(e, messenger.Probe{Nonce: e.nonce, Subject: e.ID}))
			sends = append(sends, d.askOthers(e, e.nonce, d.settings.IndirectProbes)...)
		case e.checks == checksToRemove && now >= e.deadline:
			d.remove(now, e)
		}
	}
	return sends
}

func (d *Detector) remove(now time.Duration, e *entry) {
	m, since := e.Member, e.since
	m.State = Dead
	d.set(now, e, m)
	d.spread(e, d.heard > since)
}

// AddSeeds adds addresses at which other daemons may be found. They are probed
// while no member is known there.
func (d *Detector) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if a != "" && a != d.self.Address && !slices.Contains(d.seeds, a) {
			d.seeds = append(d.seeds, a)
			d.nextRejoin = min(d.nextRejoin, d.lastTick+d.settings.Period)
		}
	}
}

// rejoin probes some addresses at which no member is known: seeds and the
// addresses of removed members. A daemon that knows no other tries each period.
func (d *Detector) rejoin(now time.Duration) []Send {
	d.forget(now)
	d.nextRejoin = now + d.settings.RejoinPeriod
	if d.live == 0 {
		d.nextRejoin = now + d.settings.Period
	}
	targets := d.absent()
	d.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	var sends []Send
	for _, t := range targets[:min(len(targets), d.settings.RejoinProbes)] {
		p := messenger.Probe{Nonce: d.newNonce(), ConfigVersion: d.configVersion, Digest: d.digest}
		p.Updates = d.updates("", t.ID)
		sends = append(sends, Send{Address: t.Address, Probe: &p})
	}
	return sends
}

// absent returns the addresses at which no live member is known, with the ID of
// the removed member or none.
func (d *Detector) absent() []Member {
	present := map[string]bool{d.self.Address: true, "": true}
	for _, e := range d.order {
		if e.live() {
			present[e.Address] = true
		}
	}
	var list []Member
	for _, e := range d.order {
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

// Package detector keeps the membership of the fleet by SWIM-style probing and
// gossip. It is pure: times and randomness are passed in, and messages are
// returned to the caller.
package detector

import (
	"math/rand/v2"
	"slices"
	"time"

	"monsoondeck.example/messenger"
)

// Send is a message for the caller to send. An empty To stands for whichever
// daemon answers at Address. Exactly one of Probe and Ack is set.
type Send struct {
	To, Address string
	Probe       *messenger.Probe
	Ack         *messenger.ProbeAck
}

// Detector holds one daemon's view of the membership. It is not safe for
// concurrent use.
type Detector struct {
	settings Settings
	random   *rand.Rand
	self     Member
	// superseded is set when a newer incarnation of this daemon is known.
	superseded    bool
	configVersion uint64

	entries map[string]*entry
	// order holds the entries sorted by ID.
	order []*entry
	// members is the result of Members; nil after a change.
	members []Member
	// live counts the alive and suspect entries, suspects the suspect ones.
	live, suspects int
	// digest is the XOR of the hashes of the live members including self.
	digest uint32
	// differing counts the answers in a row from daemons with another view.
	differing int
	// sweep is the position in order of the next fact for a daemon whose view
	// differs.
	sweep int

	started             bool
	startedAt, lastTick time.Duration
	// heard is when the last message of another daemon arrived; never after a Tick
	// that did not see it.
	heard     time.Duration
	nextProbe time.Duration
	// ring is the shuffled round of members to probe, next the position in it.
	ring    []*entry
	next    int
	current probe
	// checks counts the checks of suspects in this probe period.
	checks int
	nonce  uint64

	seeds      []string
	nextRejoin time.Duration
	// lastFull is when the whole membership was last sent to a joining daemon.
	lastFull time.Duration
}

// maxDiffering is the number of answers in a row from daemons with another view
// after which a daemon asks for the whole membership. Normal gossip of one change
// reaches every daemon of 320 in about this many periods.
const maxDiffering = 8

// joinPeriods is how long after its start a daemon asks for the whole membership
// at each answer from another view. It matters when many daemons start at once.
const joinPeriods = 10

// probe is the direct probe of the current period.
type probe struct {
	subject  *entry
	nonce    uint64
	sent     time.Duration
	indirect bool
}

// New returns a Detector that knows only self. The state of self is ignored.
func New(self Member, s Settings, random *rand.Rand) *Detector {
	self.State = Alive
	d := &Detector{settings: s.withDefaults(), random: random, self: self, entries: make(map[string]*entry)}
	d.digest = hash(self)
	d.nonce = random.Uint64N(1 << 32)
	d.lastFull = -d.settings.Period
	return d
}

// Members returns the alive and suspect members sorted by ID, including self
// until Leave. The result is the same slice until a change and must not be
// modified.
func (d *Detector) Members() []Member {
	if d.members != nil {
		return d.members
	}
	d.members = make([]Member, 0, d.live+1)
	for _, e := range d.order {
		if e.live() {
			d.members = append(d.members, e.Member)
		}
	}
	if d.self.live() {
		i, _ := slices.BinarySearchFunc(d.members, d.self.ID, func(m Member, id string) int { return compareIDs(m.ID, id) })
		d.members = slices.Insert(d.members, i, d.self)
	}
	return d.members
}

// Self returns this daemon's own entry with its current refutation counter.
func (d *Detector) Self() Member { return d.self }

// Superseded reports whether a newer incarnation of this daemon is known in the
// fleet. The others ignore this one: two daemons have the same ID, or the clock
// was set back before the restart.
func (d *Detector) Superseded() bool { return d.superseded }

// SetConfigVersion sets the configuration version that messages carry.
func (d *Detector) SetConfigVersion(v uint64) { d.configVersion = v }

// Doubt probes a member at once, because there is a sign that it is gone, such as
// a connection that broke. Without an answer within twice IndirectAfter it becomes
// suspect.
func (d *Detector) Doubt(now time.Duration, id string) []Send {
	e := d.entries[id]
	if e == nil || e.State != Alive || d.current.subject == e {
		return nil
	}
	d.current = probe{subject: e, nonce: d.newNonce(), sent: now}
	d.nextProbe = now + 2*d.settings.IndirectAfter
	return []Send{d.probe(e, messenger.Probe{Nonce: d.current.nonce, Subject: e.ID})}
}

// HandleProbe handles a probe from another daemon: it answers it, or passes it
// on if it is an indirect probe of a third daemon.
func (d *Detector) HandleProbe(now time.Duration, from string, p messenger.Probe) []Send {
	d.receive(now, p.Updates)
	if p.Subject != "" && p.Subject != d.self.ID {
		return d.relayProbe(from, p)
	}
	a := messenger.ProbeAck{Nonce: p.Nonce, Subject: d.self.ID, Origin: p.Origin}
	differs := p.Digest != d.digest
	if p.Subject == "" && differs && now-d.lastFull >= d.settings.Period {
		d.lastFull = now
		return d.fullAnswer(from, a)
	}
	return []Send{d.ack(from, a, differs)}
}

// HandleAck handles an acknowledgement: it ends the current probe, or passes the
// acknowledgement on to the daemon that asked for an indirect probe.
func (d *Detector) HandleAck(now time.Duration, from string, a messenger.ProbeAck) []Send {
	d.receive(now, a.Updates)
	if a.Origin != "" && a.Origin != d.self.ID {
		return d.relayAck(from, a)
	}
	if a.Digest == d.digest {
		d.differing = 0
	} else {
		d.differing++
	}
	if s := d.current.subject; s != nil && a.Nonce == d.current.nonce && a.Subject == s.ID {
		d.current.subject = nil
	}
	if e := d.entries[a.Subject]; e != nil && e.quiet && e.State == Suspect && a.Nonce == e.nonce {
		// Nobody else was told of the suspicion, so it needs no refutation.
		m := e.Member
		m.State = Alive
		d.set(now, e, m)
	}
	return nil
}

// relayProbe passes an indirect probe on to its subject.
func (d *Detector) relayProbe(from string, p messenger.Probe) []Send {
	s := d.entries[p.Subject]
	if s == nil {
		return nil
	}
	origin := p.Origin
	if origin == "" {
		origin = from
	}
	return []Send{d.probe(s, messenger.Probe{Nonce: p.Nonce, Subject: s.ID, Origin: origin})}
}

// relayAck passes the answer to an indirect probe on to its origin. Only answers
// that come from the subject itself are passed on, so that they cannot circulate.
func (d *Detector) relayAck(from string, a messenger.ProbeAck) []Send {
	if from != a.Subject {
		return nil
	}
	a.Digest = d.digest
	a.Updates = d.updates(a.Origin, a.Subject)
	return []Send{{To: a.Origin, Address: d.address(a.Origin), Ack: &a}}
}

// receive applies the facts of a message.
func (d *Detector) receive(now time.Duration, updates []messenger.MemberUpdate) {
	d.heard = max(d.heard, now)
	for _, u := range updates {
		d.apply(now, u)
	}
}

// Leave announces that this daemon is shutting down. The caller continues to
// call Tick and to handle messages until it stops, which spreads the news.
func (d *Detector) Leave(_ time.Duration) []Send {
	if d.self.State == Left {
		return nil
	}
	d.digest ^= hash(d.self)
	d.self.State = Left
	d.members = nil
	var sends []Send
	for _, e := range d.sample(d.repeats(), nil) {
		sends = append(sends, d.probe(e, messenger.Probe{Nonce: d.newNonce(), Subject: e.ID}))
	}
	return sends
}

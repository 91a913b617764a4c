// Package detector maintains the membership of the fleet with the SWIM protocol:
// failure detection by direct and indirect probes, and gossip of facts about
// members. It performs no I/O: times and randomness are passed in, and messages
// are returned to the caller.
package detector

import (
	"math/rand/v2"
	"slices"
	"time"

	"monsoondeck.example/messenger"
)

// OutgoingMessage is a message for the caller to send. An empty To means whichever
// daemon answers at Address. Exactly one of Probe and Ack is set.
type OutgoingMessage struct {
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

	// entries holds the other daemons by ID, including removed ones.
	entries map[string]*entry
	// sortedEntries holds the entries sorted by ID.
	sortedEntries []*entry
	// members is the result of Members; nil after a change.
	members []Member
	// liveCount counts the alive and suspect entries, suspectCount the suspect ones.
	liveCount, suspectCount int
	// digest is the XOR of the hashes of the live members including self.
	digest uint32
	// differingAnswers counts the consecutive answers from daemons whose view, by
	// its digest, differs from this one.
	differingAnswers int
	// fillPosition is the position in sortedEntries of the last fact that
	// appendInTurn considered.
	fillPosition int

	started             bool
	startedAt, lastTick time.Duration
	// lastMessage is when the last message of another daemon was handled. A message
	// that is not handled yet when Tick runs does not count, even if it has arrived.
	lastMessage time.Duration
	nextProbe   time.Duration
	// probeRound lists the members to probe in random order, probePosition is the
	// position of the next one.
	probeRound    []*entry
	probePosition int
	// currentProbe is the direct probe that waits for an answer.
	currentProbe probe
	// checks counts the checks of suspects in this probe period.
	checks int
	nonce  uint64

	seeds      []string
	nextRejoin time.Duration
	// lastFullAnswer is when the whole membership was last sent to a daemon that
	// asked for it.
	lastFullAnswer time.Duration
}

// maxDifferingAnswers is the number of consecutive answers from daemons with a
// differing view after which a daemon asks for the whole membership. Gossip of one
// change reaches every daemon of a fleet of 320 in about this many periods.
const maxDifferingAnswers = 8

// joinPeriods is the number of periods after its start in which a daemon asks for
// the whole membership after every answer from a differing view. This speeds up
// convergence when many daemons start at once.
const joinPeriods = 10

// probe is a direct probe. subject is nil when no answer is awaited.
type probe struct {
	subject *entry
	nonce   uint64
	sent    time.Duration
	// indirect is set once other members were asked to probe the subject.
	indirect bool
}

// New returns a Detector that knows only self. The state of self is ignored.
func New(self Member, s Settings, random *rand.Rand) *Detector {
	self.State = Alive
	d := &Detector{settings: s.withDefaults(), random: random, self: self, entries: make(map[string]*entry)}
	d.digest = memberHash(self)
	d.nonce = random.Uint64N(1 << 32)
	d.lastFullAnswer = -d.settings.Period
	return d
}

// Members returns the alive and suspect members sorted by ID, including self
// until Leave. The result is the same slice until a change and must not be
// modified.
func (d *Detector) Members() []Member {
	if d.members != nil {
		return d.members
	}
	d.members = make([]Member, 0, d.liveCount+1)
	for _, e := range d.sortedEntries {
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
// fleet, so that the others ignore this one. Either two daemons have the same ID,
// or the clock was set back before the restart.
func (d *Detector) Superseded() bool { return d.superseded }

// SetConfigVersion sets the configuration version that messages carry.
func (d *Detector) SetConfigVersion(v uint64) { d.configVersion = v }

// ProbeNow probes a member at once when there is a sign that it failed, such as a
// broken connection. The member becomes suspect if it does not answer within twice
// IndirectAfter.
func (d *Detector) ProbeNow(now time.Duration, id string) []OutgoingMessage {
	e := d.entries[id]
	if e == nil || e.State != Alive || d.currentProbe.subject == e {
		return nil
	}
	d.currentProbe = probe{subject: e, nonce: d.newNonce(), sent: now}
	d.nextProbe = now + 2*d.settings.IndirectAfter
	return []OutgoingMessage{d.newProbe(e, messenger.Probe{Nonce: d.currentProbe.nonce, Subject: e.ID})}
}

// HandleProbe handles a probe from another daemon: it answers the probe, or relays
// it if its subject is a third daemon. A probe without a subject is answered with
// the whole membership, at most once per Period, if the views differ.
func (d *Detector) HandleProbe(now time.Duration, from string, p messenger.Probe) []OutgoingMessage {
	d.applyUpdates(now, p.Updates)
	if p.Subject != "" && p.Subject != d.self.ID {
		return d.relayProbe(from, p)
	}
	a := messenger.ProbeAck{Nonce: p.Nonce, Subject: d.self.ID, Origin: p.Origin}
	differs := p.Digest != d.digest
	if p.Subject == "" && differs && now-d.lastFullAnswer >= d.settings.Period {
		d.lastFullAnswer = now
		return d.fullAnswer(from, a)
	}
	return []OutgoingMessage{d.newAck(from, a, differs)}
}

// HandleAck handles an acknowledgement: it ends the current probe, or relays the
// acknowledgement to the daemon that asked for an indirect probe.
func (d *Detector) HandleAck(now time.Duration, from string, a messenger.ProbeAck) []OutgoingMessage {
	d.applyUpdates(now, a.Updates)
	if a.Origin != "" && a.Origin != d.self.ID {
		return d.relayAck(from, a)
	}
	if a.Digest == d.digest {
		d.differingAnswers = 0
	} else {
		d.differingAnswers++
	}
	if s := d.currentProbe.subject; s != nil && a.Nonce == d.currentProbe.nonce && a.Subject == s.ID {
		d.currentProbe.subject = nil
	}
	if e := d.entries[a.Subject]; e != nil && e.unannounced && e.State == Suspect && a.Nonce == e.checkNonce {
		// The suspicion was not announced to others, so it needs no refutation.
		m := e.Member
		m.State = Alive
		d.setState(now, e, m)
	}
	return nil
}

// relayProbe relays an indirect probe to its subject.
func (d *Detector) relayProbe(from string, p messenger.Probe) []OutgoingMessage {
	s := d.entries[p.Subject]
	if s == nil {
		return nil
	}
	origin := p.Origin
	if origin == "" {
		origin = from
	}
	return []OutgoingMessage{d.newProbe(s, messenger.Probe{Nonce: p.Nonce, Subject: s.ID, Origin: origin})}
}

// relayAck relays the answer to an indirect probe to its origin. Only answers that
// come from the subject itself are relayed, so that they cannot circulate.
func (d *Detector) relayAck(from string, a messenger.ProbeAck) []OutgoingMessage {
	if from != a.Subject {
		return nil
	}
	a.Digest = d.digest
	a.Updates = d.updates(a.Origin, a.Subject)
	return []OutgoingMessage{{To: a.Origin, Address: d.address(a.Origin), Ack: &a}}
}

// applyUpdates records the arrival of a message and applies its facts.
func (d *Detector) applyUpdates(now time.Duration, updates []messenger.MemberUpdate) {
	d.lastMessage = max(d.lastMessage, now)
	for _, u := range updates {
		d.applyUpdate(now, u)
	}
}

// Leave announces that this daemon is shutting down. The caller continues to
// call Tick and to handle messages until it stops, which spreads the fact.
func (d *Detector) Leave(_ time.Duration) []OutgoingMessage {
	if d.self.State == Left {
		return nil
	}
	d.digest ^= memberHash(d.self)
	d.self.State = Left
	d.members = nil
	var messages []OutgoingMessage
	for _, e := range d.randomAliveMembers(d.sendsPerFact(), nil) {
		messages = append(messages, d.newProbe(e, messenger.Probe{Nonce: d.newNonce(), Subject: e.ID}))
	}
	return messages
}

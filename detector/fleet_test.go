package detector

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/encoder"
	"monsoondeck.example/messenger"
)

// tick is the time between calls of Tick in a test fleet.
const tick = 100 * time.Millisecond

// fleet connects detectors through a simulated network in virtual time.
type fleet struct {
	now      time.Duration
	random   *rand.Rand
	nodes    []*node
	messages []message
	// blocked holds the directed pairs of nodes that are cut.
	blocked map[[2]int]bool
	// loss and duplicate are probabilities per message; maxDelay bounds the random
	// delay, which also reorders messages.
	loss, duplicate float64
	maxDelay        time.Duration
	// mutate changes a node or a message before delivery, to break the protocol.
	mutate  func(n *node, s *OutgoingMessage)
	encoder *encoder.Encoder
	// sentBytes counts the encoded bytes sent by all nodes, maxUpdates is the largest
	// number of updates in a message, and minMembers the smallest number of members
	// that a running node listed.
	sentBytes, maxUpdates, minMembers int
	failure                           error
}

// node is one daemon of the fleet. A paused node handles its messages later; a
// stopped one loses them.
type node struct {
	*Detector
	index           int
	settings        Settings
	incarnation     uint64
	stopped, paused bool
	// leaving is set when the daemon has announced its stop.
	leaving bool
	// tickMessages counts the messages sent by Tick, directProbes the direct probes,
	// and extraAnswers the answers beyond one per message received, all in the
	// current second.
	tickMessages, directProbes, extraAnswers int
	// newestVersions holds the incarnation and refutation last listed of each member.
	newestVersions map[string][2]uint64
}

// message is a message in transit between the nodes with indices from and to.
type message struct {
	arrival  time.Duration
	from, to int
	outgoing OutgoingMessage
}

func name(i int) string { return fmt.Sprintf("daemon%03d", i) }

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

func newFleet(n int, seed uint64, s Settings) *fleet {
	e, err := encoder.New()
	if err != nil {
		panic(err)
	}
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]int]bool{}, maxDelay: 5 * time.Millisecond,
		encoder: e, minMembers: n}
	for i := range n {
		f.nodes = append(f.nodes, &node{index: i, settings: s})
		f.start(i)
	}
	return f
}

// start starts a new process of the daemon, which knows only the seed
// addresses.
func (f *fleet) start(i int) {
	n := f.nodes[i]
	n.incarnation += 1 + uint64(f.random.IntN(1000))
	n.stopped, n.paused, n.leaving, n.newestVersions = false, false, false, map[string][2]uint64{}
	self := Member{ID: name(i), Address: address(i), DataCentre: fmt.Sprintf("dc%d", i%4), Incarnation: n.incarnation}
	n.Detector = New(self, n.settings, rand.New(rand.NewPCG(f.random.Uint64(), 2)))
	n.AddSeeds([]string{address(0), address(1)})
}

// run advances the time by d in ticks.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += tick
		for _, n := range f.nodes {
			if !n.stopped && !n.paused {
				messages := n.Tick(f.now)
				n.tickMessages += len(messages)
				if n.currentProbe.subject != nil && n.currentProbe.sent == f.now {
					n.directProbes++
				}
				f.schedule(n, messages)
				f.minMembers = min(f.minMembers, len(n.Members()))
			}
		}
		f.deliver()
		if f.now%time.Second == 0 {
			f.checkBounds()
		}
	}
}

// schedule puts messages into transit, with random loss, duplication and delay.
func (f *fleet) schedule(n *node, messages []OutgoingMessage) {
	for _, s := range messages {
		to := slices.IndexFunc(f.nodes, func(o *node) bool { return s.To == name(o.index) || s.To == "" && s.Address == address(o.index) })
		f.recordSize(n, s)
		copies := 1
		if f.random.Float64() < f.duplicate {
			copies = 2
		}
		for range copies {
			if to >= 0 && f.random.Float64() >= f.loss {
				delay := time.Duration(f.random.Int64N(int64(f.maxDelay)))
				f.messages = append(f.messages, message{arrival: f.now + delay, from: n.index, to: to, outgoing: s})
			}
		}
	}
}

// recordSize records the encoded size and the number of updates of a message.
func (f *fleet) recordSize(n *node, s OutgoingMessage) {
	var frame messenger.Frame
	if s.Probe != nil {
		frame.Probes = []messenger.Probe{*s.Probe}
		f.maxUpdates = max(f.maxUpdates, len(s.Probe.Updates))
	} else {
		frame.ProbeAcks = []messenger.ProbeAck{*s.Ack}
		f.maxUpdates = max(f.maxUpdates, len(s.Ack.Updates))
	}
	// The encoded size of an integer grows with its value, so these values are large.
	frame.Sender, frame.Incarnation, frame.Sequence = name(n.index), 1<<62+n.incarnation, 1000
	b, err := f.encoder.Encode(frame)
	if err != nil {
		f.failure = err
	}
	f.sentBytes += len(b)
}

// deliver delivers the messages that are due, including the answers that arrive
// before the next tick.
func (f *fleet) deliver() {
	for {
		slices.SortStableFunc(f.messages, func(a, b message) int { return int(a.arrival - b.arrival) })
		if len(f.messages) == 0 || f.messages[0].arrival >= f.now+tick {
			return
		}
		due := f.messages
		f.messages = nil
		for i, m := range due {
			if m.arrival >= f.now+tick {
				f.messages = append(f.messages, due[i:]...)
				break
			}
			f.handle(m)
		}
	}
}

// handle delivers one message and sends the answers to it.
func (f *fleet) handle(m message) {
	n := f.nodes[m.to]
	if n.stopped || f.blocked[[2]int{m.from, m.to}] {
		return
	}
	if n.paused {
		m.arrival = f.now + tick
		f.messages = append(f.messages, m)
		return
	}
	if f.mutate != nil {
		f.mutate(n, &m.outgoing)
	}
	var messages []OutgoingMessage
	if s := m.outgoing; s.Probe != nil {
		messages = n.HandleProbe(f.now, name(m.from), *s.Probe)
	} else {
		messages = n.HandleAck(f.now, name(m.from), *s.Ack)
	}
	n.extraAnswers += max(0, len(messages)-1)
	f.schedule(n, messages)
	f.failure = errors.CombineErrors(f.failure, n.checkOrder())
}

// checkBounds reports a node that sent more in the last second than the settings
// allow. Two periods can begin within a second, which doubles each limit per period.
func (f *fleet) checkBounds() {
	for _, n := range f.nodes {
		// The defaults, because a test may change the settings of a detector to break the
		// protocol.
		s := Settings{}.withDefaults()
		// In a period: the direct and indirect probes of one member and of each check,
		// and the probes of absent addresses.
		if limit := 2 * ((1+s.IndirectProbes)*(1+s.MaxChecks) + s.RejoinProbes); n.tickMessages > limit {
			f.failure = errors.Newf("%s sent %d messages in a second, limit %d", name(n.index), n.tickMessages, limit)
		}
		// In a period: one direct probe.
		if n.directProbes > 2 {
			f.failure = errors.Newf("%s sent %d direct probes in a second", name(n.index), n.directProbes)
		}
		// In a period: one full answer, whose further messages list at least one member each.
		if limit := 2 * len(f.nodes); n.extraAnswers > limit {
			f.failure = errors.Newf("%s sent %d more answers than messages received, limit %d", name(n.index), n.extraAnswers, limit)
		}
		if limit := n.settings.MaxUpdates; limit > 0 && f.maxUpdates > limit {
			f.failure = errors.Newf("a message has %d updates, limit %d", f.maxUpdates, limit)
		}
		n.tickMessages, n.directProbes, n.extraAnswers = 0, 0, 0
	}
}

// block drops the messages from the nodes in from to those in to, and those of the
// other direction if both is set.
func (f *fleet) block(from, to []int, both bool) {
	for _, i := range from {
		for _, j := range to {
			f.blocked[[2]int{i, j}] = true
			f.blocked[[2]int{j, i}] = f.blocked[[2]int{j, i}] || both
		}
	}
}

// checkOrder reports a member whose incarnation or refutation decreased.
func (n *node) checkOrder() error {
	for _, m := range n.Members() {
		known := n.newestVersions[m.ID]
		v := [2]uint64{m.Incarnation, m.Refutation}
		if v[0] < known[0] || v[0] == known[0] && v[1] < known[1] {
			return errors.Newf("%s replaced %v of %s by %v", name(n.index), known, m.ID, v)
		}
		n.newestVersions[m.ID] = v
	}
	return nil
}

// updatesOf returns the updates of a message.
func updatesOf(s *OutgoingMessage) []messenger.MemberUpdate {
	if s.Probe != nil {
		return s.Probe.Updates
	}
	return s.Ack.Updates
}

// converged reports whether every running node lists exactly the running nodes
// as alive, in their current incarnation.
func (f *fleet) converged() bool {
	var want []Member
	for _, n := range f.nodes {
		if !n.stopped {
			want = append(want, Member{ID: name(n.index), Incarnation: n.incarnation})
		}
	}
	for _, n := range f.nodes {
		if !n.stopped && !slices.EqualFunc(n.Members(), want, func(a, b Member) bool {
			return a.ID == b.ID && a.Incarnation == b.Incarnation && a.State == Alive
		}) {
			return false
		}
	}
	return true
}

// converge runs until the fleet has converged and returns how long it took.
func (f *fleet) converge(limit time.Duration) (time.Duration, error) {
	start := f.now
	for !f.converged() {
		if f.now-start >= limit {
			return 0, errors.Newf("views have not converged within %v: %s", limit, f.views())
		}
		f.run(tick)
	}
	return f.now - start, f.failure
}

// views describes the membership in the view of the first eight nodes.
func (f *fleet) views() string {
	s := ""
	for _, n := range f.nodes[:min(8, len(f.nodes))] {
		s += fmt.Sprintf("\n%s (incarnation %d, stopped %v):", name(n.index), n.incarnation, n.stopped)
		for _, m := range n.Members() {
			s += fmt.Sprintf(" %s/%d/%d/%v", m.ID, m.Incarnation, m.Refutation, m.State)
		}
	}
	return s
}

// Package detector keeps the membership of the fleet by SWIM-style probing and
// gossip. It is pure: times and randomness are passed in, and messages are
// returned to the caller.
package detector

import (
	"math/rand/v2"
	"time"

	"monsoondeck.example/messenger"
)

// State is what a daemon believes of a member. The order matters: of two facts
// with the same incarnation and refutation, the larger state wins.
type State uint8

// The values are those of messenger.MemberUpdate.State.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// Member is one daemon of the fleet.
type Member struct {
	ID, Address, DataCentre string
	Incarnation, Refutation uint64
	State                   State
}

// Send is a message for the caller to send. An empty To stands for whichever
// daemon answers at Address.
type Send struct {
	To, Address string
	Probe       *messenger.Probe
	Ack         *messenger.ProbeAck
}

// Settings holds the durations and bounds of the protocol. Zero selects the
// default.
type Settings struct {
	Period, IndirectAfter, Suspicion, RejoinPeriod time.Duration
	IndirectProbes, MaxUpdates, RepeatFactor       int
}

// Detector holds one daemon's view of the membership. It is not safe for
// concurrent use.
type Detector struct {
	self    Member
	members []Member
}

// New returns a Detector that knows only self.
func New(self Member, _ Settings, _ *rand.Rand) *Detector {
	return &Detector{self: self, members: []Member{self}}
}

// AddSeeds adds addresses that are probed until a member is known there.
func (d *Detector) AddSeeds(_ []string) {}

// Tick returns the messages that are due.
func (d *Detector) Tick(_ time.Duration) []Send { return nil }

// HandleProbe handles a probe from another daemon.
func (d *Detector) HandleProbe(_ time.Duration, _ string, _ messenger.Probe) []Send { return nil }

// HandleAck handles an acknowledgement.
func (d *Detector) HandleAck(_ time.Duration, _ string, _ messenger.ProbeAck) []Send { return nil }

// Members returns the alive and suspect members including self, sorted by ID.
// The result is the same slice until a change and must not be modified.
func (d *Detector) Members() []Member { return d.members }

// Leave announces that this daemon is shutting down.
func (d *Detector) Leave(_ time.Duration) []Send { return nil }

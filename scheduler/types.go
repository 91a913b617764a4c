package scheduler

import "time"

// Target is one target of the shard and the number of slots that the owner may grant at once.
type Target struct {
	ID    string
	Limit int
}

// Demand states how many requests of an account wait at a member.
type Demand struct {
	Account string
	// Weight is the account's share; values that are not positive count as 1.
	Weight float64
	// Waiting is the absolute number of waiting requests when the member sent the message.
	Waiting int
	// Estimate is the mean expected cost of the waiting requests, in units.
	Estimate float64
	// Seen is the largest grant id of this epoch that the member had received for the account.
	// It is 0 while the member has none from this epoch.
	Seen uint64
	// Affinity is the prompt prefix hash of the first waiting request; 0 is none.
	Affinity uint64
}

// Grant permits a member to send one request of an account to a target.
type Grant struct {
	ID                      uint64
	Member, Account, Target string
	// Estimate is the number of units charged in advance.
	Estimate float64
}

// Settlement ends a grant with its actual cost in units; 0 returns it unused.
type Settlement struct {
	ID              uint64
	Account, Target string
	Cost            float64
}

// Holding is a grant in use, with the units used so far.
type Holding struct {
	ID              uint64
	Account, Target string
	Cost            float64
}

// Total is the fleet total of an account. Included is the part of the receiving shard's
// cumulative units that Total contains.
type Total struct {
	Account         string
	Total, Included float64
}

// Service reports the units that this shard has granted to an account in this epoch.
type Service struct {
	Account string
	// Cumulative falls when an over-estimate is refunded.
	Cumulative float64
	// Known is the fleet total known to the owner, of which Included units are its own.
	Included, Known float64
}

// Settings configures a Scheduler. Zero durations take the defaults.
type Settings struct {
	// Epoch identifies this incarnation of the owner.
	Epoch uint64
	// Lease is the time after which a grant that its holder no longer lists is freed.
	Lease time.Duration
	// RebuildWindow limits the wait for the holdings of the live members after the start.
	RebuildWindow time.Duration
	// CapSeconds is the pool service time that limits debt learnt from fleet totals.
	CapSeconds float64
}

// Defaults of Settings, from the design.
const (
	DefaultLease         = 3 * time.Second
	DefaultRebuildWindow = 300 * time.Millisecond
	DefaultCapSeconds    = 5.0
)

func (s Settings) withDefaults() Settings {
	if s.Lease <= 0 {
		s.Lease = DefaultLease
	}
	if s.RebuildWindow <= 0 {
		s.RebuildWindow = DefaultRebuildWindow
	}
	if s.CapSeconds <= 0 {
		s.CapSeconds = DefaultCapSeconds
	}
	return s
}

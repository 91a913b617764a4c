package scheduler

import "time"

// Target is one target of the shard. Limit is the number of grants that may hold a slot of the
// target at once; 0 stops new grants.
type Target struct {
	ID    string
	Limit int
}

// Demand states how many requests of an account wait at a member, which is a daemon that sends
// granted requests to targets.
type Demand struct {
	Account string
	// Weight is the account's share; a value that is not positive and finite leaves the weight
	// unchanged, which is 1 for a new account.
	Weight float64
	// Waiting is the absolute number of waiting requests when the member sent the message.
	Waiting int
	// EstimatedUnits is the mean expected cost of the waiting requests, in units.
	EstimatedUnits float64
	// NewestGrantID is the largest grant ID of this epoch that the member had received for the
	// account. It is 0 while the member has none from this epoch.
	NewestGrantID uint64
	// PrefixHash is the prompt prefix hash of the first waiting request, or 0 if it has none.
	PrefixHash uint64
}

// Grant permits a member to send one request of an account to a target.
type Grant struct {
	ID                      uint64
	Member, Account, Target string
	// Estimate is the number of units charged when the grant is issued.
	Estimate float64
}

// Settlement ends a grant with its actual cost in units; a cost of 0 returns it unused.
type Settlement struct {
	ID              uint64
	Account, Target string
	Cost            float64
}

// Holding is a grant that its member has in use. Cost is the number of units used so far.
type Holding struct {
	ID              uint64
	Account, Target string
	Cost            float64
}

// Total is the number of units granted to an account by all shards. IncludedUnits is the part of
// it that the receiving shard reported as its own cumulative units.
type Total struct {
	Account              string
	Total, IncludedUnits float64
}

// ServiceEntry holds the units that this shard has granted to an account in this epoch.
type ServiceEntry struct {
	Account string
	// CumulativeUnits is the number of units charged so far; it falls when an over-estimate is
	// refunded.
	CumulativeUnits float64
	// KnownTotal is the last fleet total that the owner received, of which IncludedUnits are its
	// own.
	IncludedUnits, KnownTotal float64
}

// Settings configures a Scheduler. Zero durations take the defaults.
type Settings struct {
	// Epoch identifies this incarnation of the owner.
	Epoch uint64
	// Lease is the time after which a grant is freed if its member has not listed it again.
	Lease time.Duration
	// DeliveryTimeout is the longest time that a message to a member can take. The first lease of
	// a grant is longer by it.
	DeliveryTimeout time.Duration
	// RebuildWindow limits how long a new owner waits for the holdings of the live members before
	// it issues grants.
	RebuildWindow time.Duration
	// AdjustmentCapSeconds limits the debt and credit that an account takes from fleet totals, as a
	// duration of the pool's service.
	AdjustmentCapSeconds float64
}

// Defaults of Settings.
const (
	DefaultLease                = 3 * time.Second
	DefaultDeliveryTimeout      = time.Second // connector drops messages that wait longer
	DefaultRebuildWindow        = 300 * time.Millisecond
	DefaultAdjustmentCapSeconds = 5.0
)

func (s Settings) withDefaults() Settings {
	if s.Lease <= 0 {
		s.Lease = DefaultLease
	}
	if s.DeliveryTimeout <= 0 {
		s.DeliveryTimeout = DefaultDeliveryTimeout
	}
	if s.RebuildWindow <= 0 {
		s.RebuildWindow = DefaultRebuildWindow
	}
	if s.AdjustmentCapSeconds <= 0 {
		s.AdjustmentCapSeconds = DefaultAdjustmentCapSeconds
	}
	return s
}

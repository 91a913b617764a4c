package scheduler

import (
	"container/list"
	"time"
)

// target is the state of one target.
type target struct {
	id    string
	limit int
	// usedSlots counts the held grants on the target, of this and of earlier epochs. It exceeds
	// limit after the limit falls or when a new owner takes over grants.
	usedSlots int
}

// account is the state of one account in the shard.
type account struct {
	name   string
	weight float64
	// virtualTime is the service that the account is taken to have had, in units per weight.
	// The account with the smallest virtual time is served next.
	virtualTime float64
	// ownUnits is the cumulative service charged in this epoch; fleetTotal is the last fleet
	// total, which contains includedUnits of ownUnits. totalReceived is false until the first
	// total arrives.
	ownUnits, fleetTotal, includedUnits float64
	totalReceived                       bool
	// discardedCredit is the credit that limitCredit has discarded since the last total
	// arrived, in units per weight.
	discardedCredit float64
	// reportPending is set while the account is in Scheduler.pendingReports.
	reportPending bool
	// ready lists the demands with grantable requests. They are served in turn.
	ready list.List
	// index is the position in Scheduler.active, -1 while no request is grantable.
	index int
	// lastGrantable is when the account last had a grantable request.
	lastGrantable time.Duration
	// heldGrants counts the account's grants, peakHeld is its largest value so far and
	// largestCharge is the largest charge of one grant, in units.
	heldGrants, peakHeld int
	largestCharge        float64
	// meanCost is the moving average of the cost of settled requests, in units, and costRatio
	// that of actual over estimated cost; both are 0 while unknown.
	meanCost, costRatio float64
}

// maximumCostRatio bounds the correction of an account's estimates in both directions.
const maximumCostRatio = 8

// newestCostWeight is the weight of the newest request in the moving averages of the cost.
const newestCostWeight = 0.1

// recordCost updates the mean and the largest cost with those of an ended request. A cost of 0
// means that the grant was returned unused and is ignored.
func (a *account) recordCost(cost float64) {
	if cost <= 0 {
		return
	}
	a.largestCharge = max(a.largestCharge, cost)
	if a.meanCost == 0 {
		a.meanCost = cost
	}
	a.meanCost += newestCostWeight * (cost - a.meanCost)
}

// updateCostRatio compares the cost of an ended request with the member's estimate.
func (a *account) updateCostRatio(cost, estimate float64) {
	if cost <= 0 || estimate <= 0 {
		return
	}
	ratio := min(max(cost/estimate, 1/maximumCostRatio), maximumCostRatio)
	if a.costRatio == 0 {
		a.costRatio = ratio
	}
	a.costRatio += newestCostWeight * (ratio - a.costRatio)
}

// demand is the last Demand of a member for an account, less the grants issued since.
type demand struct {
	member     *member
	account    *account
	waiting    int
	estimate   float64
	prefixHash uint64
	// heldGrants counts the held grants that were issued for this demand.
	heldGrants int
	// unseenGrants lists, in increasing order, the IDs of the grants issued after the last one
	// that the member had received.
	unseenGrants []uint64
	// readyElement is the position in account.ready, nil while no request is grantable.
	readyElement *list.Element
}

// grantable returns the number of waiting requests that no issued grant covers. It is negative
// when more grants are on their way than requests wait.
func (d *demand) grantable() int { return d.waiting - len(d.unseenGrants) }

// removeUnseen removes a grant ID from unseenGrants and reports whether it was there.
func (d *demand) removeUnseen(id uint64) bool {
	for i, u := range d.unseenGrants {
		if u == id {
			d.unseenGrants = append(d.unseenGrants[:i], d.unseenGrants[i+1:]...)
			return true
		}
	}
	return false
}

// member is the state of one member of the fleet, which sends granted requests to targets.
type member struct {
	name string
	live bool
	// lastMessage is when the last message of the member arrived.
	lastMessage time.Duration
	// holdingsReported is set once the member has sent its holdings to this owner.
	holdingsReported bool
	demands          map[*account]*demand
	// heldGrants counts the member's grants and unconfirmedGrants those of them that it has
	// neither listed nor settled.
	heldGrants, unconfirmedGrants int
	// grantLost is set after a grant to the member was lost, until the member lists or settles
	// one. It limits the slots that an unreachable member can occupy to one.
	grantLost bool
	// unresponsive is set when a grant was lost and no message of the member has arrived since
	// it was issued, until the next message. A member that is cut off thus occupies no slot.
	unresponsive bool
}

// available reports whether the member may get another grant.
func (m *member) available() bool {
	return m.live && !m.unresponsive && !(m.grantLost && m.unconfirmedGrants > 0)
}

// grantKey identifies a grant across epochs.
type grantKey struct{ epoch, id uint64 }

// grant is a grant that holds a slot.
type grant struct {
	key     grantKey
	member  *member
	account *account
	target  *target
	// demand is nil for grants of an earlier epoch and for grants restored after their lease.
	demand *demand
	// memberEstimate is the member's estimate of the cost, estimate the charge when the grant
	// was issued and charged the charge so far, all in units.
	memberEstimate, estimate, charged float64
	// lastListed is when the grant was issued or last appeared in the member's holdings.
	lastListed time.Duration
	// confirmed is set once the member has listed or settled the grant.
	confirmed bool
	// leaseElement is the position in Scheduler.leases, or in firstLeases until the grant is
	// confirmed.
	leaseElement *list.Element
}

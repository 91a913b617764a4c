package scheduler

import (
	"container/list"
	"time"
)

type target struct {
	id    string
	limit int
	// used counts the held grants on the target, of this and of earlier epochs. It exceeds
	// limit after the limit falls or when a new owner takes over grants.
	used int
}

type account struct {
	name   string
	weight float64
	// virtual is the virtual time in units per weight.
	virtual float64
	// own is the cumulative service charged in this epoch; known is the last fleet total,
	// which contains included units of own. synced is false until the first total arrives.
	own, known, included float64
	synced               bool
	// lifted is the credit discarded by the last lift, in units per weight, until the next
	// total arrives.
	lifted float64
	// dirty is set while the account is in Scheduler.changed.
	dirty bool
	// ready lists the demands with grantable requests in order of service.
	ready list.List
	// index is the position in the heap, -1 while no request is grantable.
	index int
	// idle is when the account was last grantable.
	idle time.Duration
	// held counts the account's grants, peak is the largest held so far and largest is the
	// largest charge of one grant.
	held, peak int
	largest    float64
	// mean is the moving average of the cost of settled requests and ratio that of actual
	// over estimated cost, 0 while unknown.
	mean, ratio float64
}

// maximumRatio bounds the correction of an account's estimates.
const maximumRatio = 8

// meanWeight is the weight of the newest request in the mean cost.
const meanWeight = 0.1

// observe learns from the cost of an ended request; 0 is a grant returned unused.
func (a *account) observe(cost float64) {
	if cost <= 0 {
		return
	}
	a.largest = max(a.largest, cost)
	if a.mean == 0 {
		a.mean = cost
	}
	a.mean += meanWeight * (cost - a.mean)
}

// learn compares the cost of an ended request with the member's estimate.
func (a *account) learn(cost, hint float64) {
	if cost <= 0 || hint <= 0 {
		return
	}
	ratio := min(max(cost/hint, 1/maximumRatio), maximumRatio)
	if a.ratio == 0 {
		a.ratio = ratio
	}
	a.ratio += meanWeight * (ratio - a.ratio)
}

type demand struct {
	member   *member
	account  *account
	waiting  int
	estimate float64
	affinity uint64
	// held counts the held grants that were made for this demand.
	held int
	// unseen lists, in increasing order, the grants issued after the last id that the
	// member had seen.
	unseen []uint64
	// element is the place in account.ready, nil while nothing is grantable.
	element *list.Element
}

// grantable is the number of waiting requests that no issued grant covers yet.
func (d *demand) grantable() int { return d.waiting - len(d.unseen) }

// forget removes a grant id from those issued but not seen and reports whether it was there.
func (d *demand) forget(id uint64) bool {
	for i, u := range d.unseen {
		if u == id {
			d.unseen = append(d.unseen[:i], d.unseen[i+1:]...)
			return true
		}
	}
	return false
}

type member struct {
	name string
	live bool
	// heard is when the last message of the member arrived.
	heard time.Duration
	// reported is set once the member has sent its holdings to this owner.
	reported bool
	demands  map[*account]*demand
	// held counts the member's grants and unlisted those of them that it has neither
	// listed nor settled.
	held, unlisted int
	// lossy is set after a grant to the member was lost, until the member lists or settles
	// one. It limits the slots that an unreachable member can occupy to one.
	lossy bool
	// silent is set after a grant was lost and no message of the member arrived after it was
	// made, until the next message. A member that is cut off occupies no slot.
	silent bool
}

func (m *member) available() bool {
	return m.live && !m.silent && !(m.lossy && m.unlisted > 0)
}

// grantKey names a grant across epochs.
type grantKey struct{ epoch, id uint64 }

type grant struct {
	key     grantKey
	member  *member
	account *account
	target  *target
	// demand is nil for grants of an earlier epoch and for grants held again.
	demand *demand
	// hint is the member's estimate; estimate is the charge at dispatch; charged is the charge so far.
	hint, estimate, charged float64
	// listed is when the grant was issued or last appeared in its holder's holdings.
	listed time.Duration
	// confirmed is set once the holder has listed the grant.
	confirmed bool
	// element is the place in Scheduler.leases.
	element *list.Element
}

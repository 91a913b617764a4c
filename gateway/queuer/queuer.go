// Package queuer holds the requests that wait at one daemon and decides which
// one is sent next, which one waits and which one is refused. It is pure.
package queuer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"monsoondeck.example/gateway/placer"
)

// Placer chooses targets.
type Placer interface {
	Choose(now time.Duration, r placer.Request, terms placer.Constraints) (placer.Choice, bool)
	Start(now time.Duration, r placer.Request, c placer.Choice)
	// Targets returns the number of targets of a service, usable now or not.
	Targets(service string) int
}

// Shares tells what accounts are entitled to.
type Shares interface {
	Served(now time.Duration, account string) float64
	Over(now time.Duration, account string, cost float64) bool
	Standing(now time.Duration, account string) float64
	Serve(now time.Duration, account string, cost float64)
}

// Item is one waiting request.
type Item struct {
	Request placer.Request
	Account string
	// Shared is set for requests whose service is divided among accounts.
	Shared bool
	// Priority is the rank; 0 is the highest.
	Priority int
	// Arrived is the time at which the whole request was read.
	Arrived time.Duration
	// Objective is the time from Arrived up to which a first event is on time.
	Objective time.Duration
	// Deadline is the time at which the caller gives up.
	Deadline time.Duration
}

// Reason tells why a request is refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonOverShare: the account has its share and there is no spare capacity.
	ReasonOverShare Reason = "overShare"
	// ReasonOverload: no target can answer in time.
	ReasonOverload Reason = "overload"
	// ReasonNoTarget: the service has no target that may get the request.
	ReasonNoTarget Reason = "noTarget"
)

// Decision is what becomes of a waiting request.
type Decision struct {
	ID uint64
	// Choice is set unless the request is refused.
	Choice placer.Choice
	// Reason is set if the request is refused.
	Reason Reason
	// RetryAfter is the time after which there will be room.
	RetryAfter time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
}

// Queue holds the waiting requests of one daemon.
type Queue struct {
	settings Settings
	placer   Placer
	shares   Shares
	items    []*Item
}

// Settings configures a Queue. The shares are parts of the objective of a
// request.
type Settings struct {
	// Depth is the largest part of the remaining objective that a target may be
	// expected to take.
	Depth float64
	// Hold is the longest part of the objective that a request waits for a target.
	Hold float64
	// LateDepth is the largest part of the objective that a target may be expected to
	// take when the request would otherwise be refused.
	LateDepth float64
}

// New returns an empty Queue.
func New(s Settings, p Placer, shares Shares) *Queue {
	return &Queue{settings: s, placer: p, shares: shares}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Add puts a request into the queue.
func (q *Queue) Add(i Item) { q.items = append(q.items, &i) }

// Remove takes a request out of the queue and reports whether it was there.
func (q *Queue) Remove(id uint64) bool {
	n := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool { return i.Request.ID == id })
	return len(q.items) < n
}

// Next returns the decisions that can be made now.
func (q *Queue) Next(now time.Duration) []Decision {
	if len(q.items) == 0 {
		return nil
	}
	var decisions []Decision
	waiting := q.order(now)
	// blocked holds the services for which a request within its share waits.
	blocked := map[string]bool{}
	left := q.items[:0:0]
	for _, w := range waiting {
		d, decided := q.decide(now, w, blocked)
		if decided {
			decisions = append(decisions, d)
			continue
		}
		if !w.over {
			blocked[w.Request.Service] = true
		}
		left = append(left, w.Item)
	}
	q.items = left
	return decisions
}

// candidate is a waiting request with what its turn depends on.
type candidate struct {
	*Item
	over   bool
	served float64
}

// order returns the requests in the order of their turns: those within the
// share of their account first, then by priority, by the service that the
// account got, and by arrival.
func (q *Queue) order(now time.Duration) []candidate {
	candidates := make([]candidate, 0, len(q.items))
	for _, i := range q.items {
		c := candidate{Item: i}
		if i.Shared {
			c.over = q.shares.Over(now, i.Account, i.Request.Cost())
			c.served = q.shares.Served(now, i.Account)
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if a.over != b.over {
			if a.over {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.served, b.served), cmp.Compare(a.Arrived, b.Arrived))
	})
	return candidates
}

func (q *Queue) decide(now time.Duration, w candidate, blocked map[string]bool) (Decision, bool) {
	waited := now - w.Arrived
	allowance := time.Duration(q.settings.Depth * float64(w.Objective-waited))
	terms := placer.Constraints{FirstEventBudget: allowance, SpareOnly: w.over, Waited: waited}
	if w.over {
		terms.SpareWeight = q.shares.Standing(now, w.Account)
	}
	choice, found := q.placer.Choose(now, w.Request, terms)
	if found && choice.Fits && !(w.over && blocked[w.Request.Service]) {
		return q.send(now, w, choice), true
	}
	hold := time.Duration(q.settings.Hold * float64(w.Objective))
	hopeless := !found && q.placer.Targets(w.Request.Service) == 0
	if !w.over && !hopeless && waited < hold && now < w.Deadline {
		return Decision{}, false
	}
	late := time.Duration(q.settings.LateDepth * float64(w.Objective))
	if found && !w.over && !choice.Full && choice.Expected <= late {
		return q.send(now, w, choice), true
	}
	return q.refuse(now, w, choice, found), true
}

func (q *Queue) send(now time.Duration, w candidate, c placer.Choice) Decision {
	q.placer.Start(now, w.Request, c)
	if w.Shared {
		q.shares.Serve(now, w.Account, w.Request.Cost())
	}
	return Decision{ID: w.Request.ID, Choice: c, Waited: now - w.Arrived}
}

func (q *Queue) refuse(now time.Duration, w candidate, c placer.Choice, found bool) Decision {
	d := Decision{ID: w.Request.ID, Choice: c, Reason: ReasonOverload, Waited: now - w.Arrived}
	switch {
	case !found:
		d.Reason, d.RetryAfter = ReasonNoTarget, noTargetRetry
	case w.over:
		d.Reason, d.RetryAfter = ReasonOverShare, overShareRetry
	default:
		d.RetryAfter = max(c.Expected-w.Objective/2, minRetry)
	}
	// Callers honour at most a third of the time that they have left.
	d.RetryAfter = min(d.RetryAfter, (w.Deadline-now)/3)
	d.RetryAfter = max(spread(d.RetryAfter, w.Request.ID), 0)
	return d
}

// spread varies a time by up to a quarter, so that callers refused together do
// not return together.
func spread(d time.Duration, id uint64) time.Duration {
	const golden = 0.6180339887498949
	_, fraction := math.Modf(float64(id) * golden)
	return time.Duration(float64(d) * (0.75 + fraction/2))
}

// Package queuer holds the waiting requests of one daemon and decides which of them
// is sent next, which keeps waiting and which is refused. The package does no I/O;
// callers pass the time.
package queuer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/quarantiner"
)

// Placer chooses targets. placer.Fleet implements it.
type Placer interface {
	// Choose returns the best target for a request; false if there is none.
	Choose(now time.Duration, r placer.Request, constraints placer.Constraints) (placer.Choice, bool)
	// RecordStart records that the request is sent to the chosen target.
	RecordStart(now time.Duration, r placer.Request, c placer.Choice)
	// Targets returns the number of targets of a service, whether usable now or not.
	Targets(service string) int
	// TargetsAllowed returns the number of those that the request may use by their regions
	// and software versions.
	TargetsAllowed(r placer.Request) int
	// ReopensIn returns the time for which all targets of a service want no requests.
	ReopensIn(now time.Duration, service string) time.Duration
}

// Shares reports what client accounts are entitled to. sharer.Shares implements it.
type Shares interface {
	// Served returns the recent service of an account.
	Served(now time.Duration, account string) float64
	// OverShare reports whether a further request of the given cost would exceed the
	// share of the account.
	OverShare(now time.Duration, account string, cost float64) bool
	// FairShare returns the service up to which an account is within its share.
	FairShare(now time.Duration) float64
	// WithinGap reports whether an account may have the service of a further request of the
	// given cost, in view of what the others get.
	WithinGap(now time.Duration, account string, cost float64) bool
	// SpareWeight returns the weight of an account over its share in the division of
	// spare capacity.
	SpareWeight(now time.Duration, account string) float64
	// RecordService records service given to an account.
	RecordService(now time.Duration, account string, cost float64)
}

// Item is one waiting request.
type Item struct {
	Request placer.Request
	Account string
	// CountsTowardsShare is set if the service of the request counts towards the share
	// of its account.
	CountsTowardsShare bool
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Arrived is the time at which the whole request had been read.
	Arrived time.Duration
	// Objective is the time after Arrived within which a first event is on time.
	Objective time.Duration
	// Deadline is the time at which the caller gives up.
	Deadline time.Duration
	// Continues is set if the request takes up a stream that has begun. It goes before new
	// requests, is not refused as over the share of its account, and waits for its objective.
	Continues bool
	// NoWait is set if the request is refused unless a target can begin it on time now.
	NoWait bool
}

// Reason says why a request is refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonOverShare means that the account has used its share and there is no spare
	// capacity.
	ReasonOverShare Reason = "overShare"
	// ReasonOverload means that no target can answer in time.
	ReasonOverload Reason = "overload"
	// ReasonClosed means that all targets of the service want no requests for some time.
	ReasonClosed Reason = "closed"
	// ReasonNoTarget means that the service has no target that may get the request.
	ReasonNoTarget Reason = "noTarget"
	// ReasonRegion means that no target of the service is in an allowed region.
	ReasonRegion Reason = "noTargetInRegion"
	// ReasonVersion means that a stream cannot go on because no target of the software
	// version that began it is left.
	ReasonVersion Reason = "streamVersionGone"
	// ReasonQuarantined means that the request, or a part of its prompt, crashes targets.
	ReasonQuarantined Reason = "partQuarantined"
	// ReasonSuspected means that the request is not repeated because its last target
	// crashed, and the request or a part of its prompt is not known to be sound.
	ReasonSuspected Reason = "partSuspected"
)

// Decision says whether a waiting request is sent or refused.
type Decision struct {
	// ID is the ID of the request.
	ID uint64
	// Choice is the target of the request unless it is refused.
	Choice placer.Choice
	// Reason is empty unless the request is refused.
	Reason Reason
	// RetryAfter is the time after which a refused caller should try again.
	RetryAfter time.Duration
	// Part is the prompt part or whole request because of which a request is refused; 0 if
	// there is another reason.
	Part quarantiner.Part
	// Waited is the time that the request spent in the queue, Objective what was left of its
	// objective when it came there.
	Waited, Objective time.Duration
	// Standing is that of the account at the decision.
	Standing Standing
}

// Standing is the service of a client account compared with its fair share, as the daemon
// knows them. It is zero for requests that do not count towards a share.
type Standing struct {
	// OverShare is set if the request would exceed the share of its account.
	OverShare bool
	// Served is the recent service of the account, Share the service up to which it is
	// within its share; +Inf means that there is no limit.
	Served, Share float64
	// SpareWeight is the weight of an account over its share in the division of spare
	// capacity; 0 for one within its share.
	SpareWeight float64
}

// Queue holds the waiting requests of one daemon. It is not safe for concurrent use.
type Queue struct {
	settings Settings
	placer   Placer
	shares   Shares
	items    []*Item
}

// Settings configures a Queue. All values are relative to the objective of a
// request.
type Settings struct {
	// MaxExpectedShare limits the expected time to the first event as a share of the
	// time that is left until the objective.
	MaxExpectedShare float64
	// MaxWaitShare limits the time in the queue as a share of the objective.
	MaxWaitShare float64
	// LateMaxExpectedShare limits the expected time to the first event, as a multiple
	// of the objective, for a request that would otherwise be refused.
	LateMaxExpectedShare float64
}

// New returns an empty Queue.
func New(s Settings, p Placer, shares Shares) *Queue {
	return &Queue{settings: s, placer: p, shares: shares}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Add appends a request to the queue.
func (q *Queue) Add(i Item) { q.items = append(q.items, &i) }

// Remove deletes a request from the queue and reports whether it was there.
func (q *Queue) Remove(id uint64) bool {
	n := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool { return i.Request.ID == id })
	return len(q.items) < n
}

// Decide returns the decisions that can be made now and removes their requests from
// the queue.
func (q *Queue) Decide(now time.Duration) []Decision {
	if len(q.items) == 0 {
		return nil
	}
	var decisions []Decision
	waiting := q.order(now)
	// blockedServices holds the services for which a request within its account's share
	// waits. Requests over their share must not overtake it.
	blockedServices := map[string]bool{}
	remaining := q.items[:0:0]
	for _, w := range waiting {
		d, decided := q.decideItem(now, w, blockedServices)
		if decided {
			decisions = append(decisions, d)
			continue
		}
		if !w.standing.OverShare {
			blockedServices[w.Request.Service] = true
		}
		remaining = append(remaining, w.Item)
	}
	q.items = remaining
	return decisions
}

// candidate is a waiting request with the standing of its account.
type candidate struct {
	*Item
	standing Standing
}

// order returns the requests in the order in which they are decided: those that continue a
// stream first, then those within the share of their account, then by priority, by the
// recent service of the account, and by arrival.
func (q *Queue) order(now time.Duration) []candidate {
	candidates := make([]candidate, 0, len(q.items))
	for _, i := range q.items {
		c := candidate{Item: i}
		if i.CountsTowardsShare {
			c.standing = Standing{
				OverShare: !i.Continues && q.shares.OverShare(now, i.Account, i.Request.Cost()),
				Served:    q.shares.Served(now, i.Account), Share: q.shares.FairShare(now),
			}
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if a.Continues != b.Continues {
			if a.Continues {
				return -1
			}
			return 1
		}
		if a.standing.OverShare != b.standing.OverShare {
			if a.standing.OverShare {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.standing.Served, b.standing.Served), cmp.Compare(a.Arrived, b.Arrived))
	})
	return candidates
}

// decideItem sends or refuses a request; false means that it keeps waiting.
func (q *Queue) decideItem(now time.Duration, w candidate, blocked map[string]bool) (Decision, bool) {
	waited := now - w.Arrived
	budget, maxWait := w.Objective-waited, w.Objective
	if !w.Continues {
		budget = time.Duration(q.settings.MaxExpectedShare * float64(budget))
		maxWait = time.Duration(q.settings.MaxWaitShare * float64(maxWait))
	}
	constraints := placer.Constraints{FirstEventBudget: budget, SpareOnly: w.standing.OverShare, Continues: w.Continues, Waited: waited}
	if w.CountsTowardsShare && !w.Continues && !q.shares.WithinGap(now, w.Account, w.Request.Cost()) {
		return q.refuseOverShare(now, w), true
	}
	if w.standing.OverShare {
		w.standing.SpareWeight = q.shares.SpareWeight(now, w.Account)
		constraints.SpareWeight = w.standing.SpareWeight
	}
	choice, found := q.placer.Choose(now, w.Request, constraints)
	if found && choice.Fits && !(w.standing.OverShare && blocked[w.Request.Service]) {
		return q.send(now, w, choice), true
	}
	if w.NoWait {
		return q.refuse(now, w, choice, found), true
	}
	noTargets := !found && q.placer.TargetsAllowed(w.Request) == 0
	if !found {
		if reopensIn := q.placer.ReopensIn(now, w.Request.Service); reopensIn > max(maxWait-waited, 0) {
			return q.refuseClosed(now, w, reopensIn), true
		}
	}
	if !w.standing.OverShare && !noTargets && waited < maxWait && now < w.Deadline {
		return Decision{}, false
	}
	lateLimit := time.Duration(q.settings.LateMaxExpectedShare * float64(w.Objective))
	if found && !w.standing.OverShare && !choice.Full && choice.Expected <= lateLimit {
		return q.send(now, w, choice), true
	}
	return q.refuse(now, w, choice, found), true
}

func (q *Queue) send(now time.Duration, w candidate, c placer.Choice) Decision {
	q.placer.RecordStart(now, w.Request, c)
	if w.CountsTowardsShare {
		q.shares.RecordService(now, w.Account, w.Request.Cost())
	}
	return Decision{ID: w.Request.ID, Choice: c, Waited: now - w.Arrived, Objective: w.Objective, Standing: w.standing}
}

func (q *Queue) refuse(now time.Duration, w candidate, c placer.Choice, found bool) Decision {
	d := Decision{ID: w.Request.ID, Choice: c, Reason: ReasonOverload, Waited: now - w.Arrived, Objective: w.Objective, Standing: w.standing}
	switch {
	case !found && w.Request.Version.Limited() && q.placer.TargetsAllowed(w.Request) == 0:
		d.Reason = ReasonVersion
	case !found && q.placer.Targets(w.Request.Service) > 0 && q.placer.TargetsAllowed(w.Request) == 0:
		d.Reason, d.RetryAfter = ReasonRegion, noTargetRetryAfter
	case !found:
		d.Reason, d.RetryAfter = ReasonNoTarget, noTargetRetryAfter
	case w.standing.OverShare:
		d.Reason, d.RetryAfter = ReasonOverShare, overShareRetryAfter
	default:
		d.RetryAfter = max(c.Expected-w.Objective/2, minOverloadRetryAfter)
	}
	return withRetryAfter(now, w, d)
}

// refuseOverShare refuses a request whose account has had so much more than others.
func (q *Queue) refuseOverShare(now time.Duration, w candidate) Decision {
	return withRetryAfter(now, w, Decision{ID: w.Request.ID, Reason: ReasonOverShare, Waited: now - w.Arrived, Objective: w.Objective, RetryAfter: overShareRetryAfter, Standing: w.standing})
}

// refuseClosed refuses a request for which no target will be there in time.
func (q *Queue) refuseClosed(now time.Duration, w candidate, reopensIn time.Duration) Decision {
	return withRetryAfter(now, w, Decision{ID: w.Request.ID, Reason: ReasonClosed, Waited: now - w.Arrived, Objective: w.Objective, RetryAfter: reopensIn, Standing: w.standing})
}

// withRetryAfter bounds and varies the time after which a refused caller should try again.
func withRetryAfter(now time.Duration, w candidate, d Decision) Decision {
	// Callers wait at most a third of the time that they have left.
	d.RetryAfter = min(d.RetryAfter, (w.Deadline-now)/3)
	d.RetryAfter = max(addJitter(d.RetryAfter, w.Request.ID), 0)
	return d
}

// addJitter varies a time by up to a quarter, so that callers that were refused
// together do not return together.
func addJitter(d time.Duration, id uint64) time.Duration {
	const goldenRatio = 0.6180339887498949
	_, fraction := math.Modf(float64(id) * goldenRatio)
	return time.Duration(float64(d) * (0.75 + fraction/2))
}

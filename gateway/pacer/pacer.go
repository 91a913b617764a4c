// Package pacer divides the request rate that a target takes from all daemons together
// among the daemons, and spreads the requests of each one over time. It does no I/O;
// callers pass the time.
//
// A daemon gets a share of the rate and may send one request in each slot. Slots open at
// regular times and expire if no request comes, so that hundreds of daemons cannot save
// them and send at once. A daemon that gets few requests would miss most of its slots;
// therefore each request that arrives opens a slot with the probability that makes up for
// the missed ones.
package pacer

import (
	"math"
	"slices"
	"time"
)

const (
	// slotLifetime is how long a slot can be used. The unused slots of all daemons
	// together are at most what the target takes in this time, so that they cannot send
	// more than that at once.
	slotLifetime = time.Second
	// arrivalSlotLifetime is how long a slot that a request opened can be used: the request
	// may choose another target.
	arrivalSlotLifetime = 250 * time.Millisecond
	// minRate is the rate of all daemons together, in requests per second, at a target
	// that takes none: an answer must show when that ends.
	minRate = 0.1
	// maxSlots bounds the open slots of one daemon.
	maxSlots = 1 << 12
)

// Share returns the part of a target's rate that a daemon may use if it wants to send the
// given number of requests per second and all others together want to send the other
// number. It is 1 if nobody wants to send.
func Share(own, others float64) float64 {
	if own <= 0 && others <= 0 {
		return 1
	}
	return max(own, 0) / (max(own, 0) + max(others, 0))
}

// Pacer opens slots, at a given rate, in each of which one request may be sent. It is not
// safe for concurrent use.
type Pacer struct {
	// progress is the part of the next slot that has accrued, between 0 and 1.
	progress float64
	updated  time.Duration
	// open holds the times at which the unused slots expire, in ascending order.
	open []time.Duration
}

// New returns a Pacer without open slots. progress, between 0 and 1, is the part of the
// first slot that has accrued; it should be random, so that daemons with small shares do
// not open their slots together.
func New(now time.Duration, progress float64) *Pacer {
	return &Pacer{progress: progress, updated: now}
}

// Wait returns the time until a request may be sent, at the given rate in requests per
// second; 0 if it may be sent now.
func (p *Pacer) Wait(now time.Duration, perSecond float64) time.Duration {
	p.advance(now, perSecond)
	if len(p.open) > 0 {
		return 0
	}
	if perSecond <= 0 {
		return time.Duration(float64(time.Second) / minRate)
	}
	return max(time.Duration((1-p.progress)/perSecond*float64(time.Second)), 1)
}

// Use uses the oldest open slot, if there is one.
func (p *Pacer) Use() {
	if len(p.open) > 0 {
		p.open = p.open[1:]
	}
}

// Arrive records that a request has arrived at a daemon that gets the given number of
// requests per second and may send perSecond of them. draw is a random number between 0
// and 1.
func (p *Pacer) Arrive(now time.Duration, perSecond, arrivals, draw float64) {
	p.advance(now, perSecond)
	if len(p.open) > 0 || arrivals <= 0 {
		return
	}
	// Requests arrive at random times: this part of the slots expires before one comes.
	missed := math.Exp(-arrivals * slotLifetime.Seconds())
	if draw < missed*perSecond/arrivals {
		p.open = append(p.open, now+arrivalSlotLifetime)
	}
}

// advance opens the slots that have accrued since the last call and closes the expired
// ones.
func (p *Pacer) advance(now time.Duration, perSecond float64) {
	elapsed := now - p.updated
	p.updated = now
	p.progress += perSecond * elapsed.Seconds()
	if p.progress >= 1 {
		var whole float64
		whole, p.progress = math.Modf(p.progress)
		opened := int(min(whole, float64(maxSlots-len(p.open))))
		for i := opened - 1; i >= 0; i-- {
			age := (p.progress + float64(i)) / perSecond
			p.open = append(p.open, now-time.Duration(age*float64(time.Second))+slotLifetime)
		}
		slices.Sort(p.open)
	}
	for len(p.open) > 0 && now > p.open[0] {
		p.open = p.open[1:]
	}
}

// Rate returns the rate that a daemon may use at a target that takes the given number of
// requests per second from all daemons together, given the daemon's share of it.
func Rate(perSecond, share float64) float64 { return max(perSecond, minRate) * share }

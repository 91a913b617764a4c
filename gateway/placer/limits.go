package placer

import (
	"time"

	"monsoondeck.example/gateway/pacer"
)

const (
	// limitTTL is how long a limit is in force without an answer of the target.
	limitTTL = 30 * time.Second
	// limitSettleTime is the time after a limit became known in which the other daemons
	// may not have reported yet how much they want to send.
	limitSettleTime = 1500 * time.Millisecond
	// demandTimeConstant is the time constant over which the requests for a service are
	// averaged. It is longer than the time in which reports reach all daemons.
	demandTimeConstant = 3 * time.Second
	// wantedResolution is the relative change of a demand that is reported at once.
	wantedResolution = 0.1
)

// RequestLimit is what a target says of the number of requests that it takes.
type RequestLimit struct {
	// Limited is set if the target takes only PerSecond requests per second from all
	// daemons together.
	Limited   bool
	PerSecond float64
}

// observedLimit is a RequestLimit with the time of the answer that named it.
type observedLimit struct {
	RequestLimit
	// known is set once a limit was named.
	known bool
	at    time.Duration
}

// RecordLimit records the limit that a target named in an answer to this daemon, or that
// it named none.
func (f *Fleet) RecordLimit(now time.Duration, id string, limit RequestLimit) {
	t := f.targets[id]
	if t == nil || !limit.Limited && !t.limit.known {
		return
	}
	t.ownLimit = observedLimit{RequestLimit: limit, known: true, at: now}
	f.applyLimit(now, t, t.ownLimit)
}

// applyLimit applies an observation unless a newer one is known.
func (f *Fleet) applyLimit(now time.Duration, t *target, l observedLimit) {
	if t.limit.known && l.at <= t.limit.at {
		return
	}
	wasLimited := t.limited(now)
	t.limit = l
	switch {
	case !t.limited(now):
		if t.pacer != nil {
			t.pacer = nil
			f.limitedTargets--
		}
	case !wasLimited:
		if t.pacer == nil {
			f.limitedTargets++
		}
		t.limitedSince = now
		t.pacer = pacer.New(now, f.random.Float64())
	}
}

// limited reports whether a limit of the target is in force.
func (t *target) limited(now time.Duration) bool {
	return t.limit.known && t.limit.Limited && now-t.limit.at <= limitTTL
}

// RecordDemand counts a new request for a service.
func (f *Fleet) RecordDemand(now time.Duration, service string) {
	d := f.demand[service]
	if d == nil {
		d = &decayingSum{timeConstant: demandTimeConstant}
		f.demand[service] = d
	}
	d.add(now, 1, 0)
	if f.limitedTargets == 0 {
		return
	}
	for _, t := range f.targetsByService[service] {
		if t.pacer != nil && t.limited(now) {
			t.pacer.Arrive(now, f.paceRate(now, t), f.demandRate(now, service), f.random.Float64())
		}
	}
}

// demandRate returns the requests per second for a service at this daemon.
func (f *Fleet) demandRate(now time.Duration, service string) float64 {
	d := f.demand[service]
	if d == nil {
		return 0
	}
	d.decay(now)
	return d.count / demandTimeConstant.Seconds()
}

// SetPeers sets the number of other daemons.
func (f *Fleet) SetPeers(n int) { f.peers = n }

// paceWait returns the time until the target may get a request of this daemon without
// exceeding its limit.
func (f *Fleet) paceWait(now time.Duration, t *target) time.Duration {
	if t.pacer == nil || !t.limited(now) {
		return 0
	}
	return t.pacer.Wait(now, f.paceRate(now, t))
}

// paceRate returns the requests per second that this daemon may send to a limited
// target.
func (f *Fleet) paceRate(now time.Duration, t *target) float64 {
	share := pacer.Share(f.demandRate(now, t.entry.Service), t.peerTotal.Wanted)
	if now-t.limitedSince < limitSettleTime {
		share = min(share, 1/float64(f.peers+1))
	}
	return pacer.Rate(t.limit.PerSecond, share)
}

// limitLoad returns the part of the own load that tells the peers of the target's limit.
func (f *Fleet) limitLoad(now time.Duration, t *target) Load {
	var l Load
	if t.ownLimit.known && now-t.ownLimit.at <= limitTTL {
		l.Limit, l.LimitKnown, l.LimitAge = t.ownLimit.RequestLimit, true, now-t.ownLimit.at
	}
	if t.limited(now) {
		l.Wanted = f.demandRate(now, t.entry.Service)
	}
	return l
}

// Limits returns the limits that are in force, by target.
func (f *Fleet) Limits(now time.Duration) map[string]float64 {
	limits := map[string]float64{}
	for id, t := range f.targets {
		if t.limited(now) {
			limits[id] = t.limit.PerSecond
		}
	}
	return limits
}

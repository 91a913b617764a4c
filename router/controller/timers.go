package controller

import "time"

// probePeriod is the resolution of the membership timers.
const probePeriod = 100 * time.Millisecond

// timers are the time sources of the control loop.
type timers struct {
	spill *time.Timer
	// armed is when spill fires next.
	armed    time.Time
	probe    *time.Ticker
	exchange *time.Ticker
	holdings *time.Ticker
}

func newTimers(t Timing) *timers {
	return &timers{
		spill:    time.NewTimer(t.Spill),
		probe:    time.NewTicker(probePeriod),
		exchange: time.NewTicker(t.Exchange),
		holdings: time.NewTicker(t.Holdings),
	}
}

// armSpill starts the spill timer unless it is already running, so that a
// steady flow of requests cannot postpone the check.
func (t *timers) armSpill(d time.Duration) {
	now := time.Now()
	if now.Before(t.armed) {
		return
	}
	t.armed = now.Add(d)
	t.spill.Reset(d)
}

func (t *timers) stop() {
	t.spill.Stop()
	t.probe.Stop()
	t.exchange.Stop()
	t.holdings.Stop()
}

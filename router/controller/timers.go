package controller

import "time"

// probePeriod is the resolution of the membership timers.
const probePeriod = 100 * time.Millisecond

// timers are the time sources of the control loop.
type timers struct {
	coalesce *time.Timer
	armed    time.Time
	probe    *time.Ticker
	exchange *time.Ticker
	holdings *time.Ticker
}

func newTimers(t Timing) *timers {
	ts := &timers{
		coalesce: time.NewTimer(time.Hour),
		probe:    time.NewTicker(probePeriod),
		exchange: time.NewTicker(t.Exchange),
		holdings: time.NewTicker(t.Holdings),
	}
	return ts
}

// armCoalesce starts the coalescing timer unless it is already running, so
// that a steady flow of changes cannot postpone the flush.
func (t *timers) armCoalesce(d time.Duration) {
	now := time.Now()
	if now.Before(t.armed) {
		return
	}
	t.armed = now.Add(d)
	t.coalesce.Reset(d)
}

func (t *timers) stop() {
	t.coalesce.Stop()
	t.probe.Stop()
	t.exchange.Stop()
	t.holdings.Stop()
}

package controller

import "time"

// probePeriod is the interval of membership ticks and thus the resolution of the
// membership timers.
const probePeriod = 100 * time.Millisecond

// timers holds the timers and tickers of the control loop.
type timers struct {
	spill *time.Timer
	// spillAt is when the spill timer that armSpill started fires.
	spillAt time.Time
	probe   *time.Ticker
	report  *time.Ticker
	refresh *time.Ticker
}

func newTimers(t Timing) *timers {
	return &timers{
		spill:   time.NewTimer(t.SpillDelay),
		probe:   time.NewTicker(probePeriod),
		report:  time.NewTicker(t.ReportInterval),
		refresh: time.NewTicker(t.RefreshInterval),
	}
}

// armSpill starts the spill timer unless it is already running, so that a steady
// flow of requests cannot postpone the spill check.
func (t *timers) armSpill(d time.Duration) {
	now := time.Now()
	if now.Before(t.spillAt) {
		return
	}
	t.spillAt = now.Add(d)
	t.spill.Reset(d)
}

func (t *timers) stop() {
	t.spill.Stop()
	t.probe.Stop()
	t.report.Stop()
	t.refresh.Stop()
}

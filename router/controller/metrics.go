package controller

import (
	"sync/atomic"
	"time"
)

// meter adds up the time that the control goroutine spends on events. The
// goroutine is not bound to a thread to measure its processor time: the switch
// of threads at every event cost several times the work itself.
type meter struct {
	busy  atomic.Int64
	clock func() time.Duration
	since time.Duration
}

// begin marks the start of an event.
func (m *meter) begin() { m.since = m.clock() }

// end adds the time since begin.
func (m *meter) end() { m.busy.Add(int64(m.clock() - m.since)) }

// CPUSeconds is the time that the control goroutine has spent on events.
func (c *Controller) CPUSeconds() float64 { return time.Duration(c.meter.busy.Load()).Seconds() }

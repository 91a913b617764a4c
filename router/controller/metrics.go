package controller

import (
	"math"
	"runtime"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// metrics are written by the control goroutine and read by the admin listener.
type metrics struct {
	// cpuSeconds holds the bits of a float64.
	cpuSeconds atomic.Uint64
}

// lockThread binds the control goroutine to a thread, so that the processor
// time of control can be told from that of traffic.
func (*metrics) lockThread() func() {
	runtime.LockOSThread()
	return runtime.UnlockOSThread
}

// readThread stores the processor time of the calling thread.
func (m *metrics) readThread() {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &usage) != nil {
		return
	}
	seconds := float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
	m.cpuSeconds.Store(math.Float64bits(seconds))
}

// CPUSeconds is the processor time that the control goroutine has used.
func (c *Controller) CPUSeconds() float64 {
	return math.Float64frombits(c.metrics.cpuSeconds.Load())
}

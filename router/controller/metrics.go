package controller

import (
	"math"
	"runtime"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// metrics holds values that the control goroutine writes and the admin listener
// reads.
type metrics struct {
	// cpuSeconds holds the bits of a float64.
	cpuSeconds atomic.Uint64
}

// lockThread binds the control goroutine to an operating system thread. The CPU time
// is measured per thread, so this separates it from that of traffic. lockThread
// returns the function that releases the thread.
func (*metrics) lockThread() func() {
	runtime.LockOSThread()
	return runtime.UnlockOSThread
}

// recordCPUTime stores the CPU time of the calling thread.
func (m *metrics) recordCPUTime() {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &usage) != nil {
		return
	}
	seconds := float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
	m.cpuSeconds.Store(math.Float64bits(seconds))
}

// CPUSeconds returns the CPU time in seconds that the control goroutine has used.
func (c *Controller) CPUSeconds() float64 {
	return math.Float64frombits(c.metrics.cpuSeconds.Load())
}

package bench

import (
	"context"
	"time"

	"monsoondeck.example/generator/launcher"
)

// cost is the resource usage of the daemons within the measured window.
type cost struct {
	// control is the control traffic and its processor time, summed over all daemons.
	control launcher.Control
	// cpuSeconds is the processor time, summed over all daemons.
	cpuSeconds float64
	// residentBytes is the largest resident memory of a daemon.
	residentBytes float64
	// daemonSeconds is the length of the window times the number of daemons.
	daemonSeconds float64
}

// costPollInterval is the time between two readings of all daemons.
const costPollInterval = time.Second

// counters is one reading of the counters of a daemon.
type counters struct {
	launcher.Control
	pid   int
	usage launcher.Usage
}

// watchCost reads the daemons during the window and sends their cost at its end.
// It sums the increases between readings, because the counters of a restarted
// daemon begin at zero again.
func (r *run) watchCost(ctx context.Context) <-chan cost {
	out := make(chan cost, 1)
	go func() {
		var sum cost
		last := map[string]counters{}
		if sleepUntil(ctx, r.from) != nil {
			out <- sum
			return
		}
		begin := time.Now()
		r.readCost(ctx, last)
		for {
			next := time.Now().Add(costPollInterval)
			if next.After(r.to) || sleepUntil(ctx, next) != nil {
				break
			}
			sum.add(r.readCost(ctx, last))
		}
		sum.daemonSeconds = time.Since(begin).Seconds() * float64(len(r.fleet.Daemons))
		out <- sum
	}()
	return out
}

// readCost reads all daemons and returns the increase since the readings in last,
// which it replaces. It skips daemons that are down.
func (r *run) readCost(ctx context.Context, last map[string]counters) cost {
	var sum cost
	for _, d := range r.fleet.Daemons {
		control, err := d.Control(ctx)
		if err != nil {
			continue
		}
		usage, err := d.Process().Usage()
		if err != nil {
			continue
		}
		c, old := counters{control, d.Process().ID(), usage}, last[d.ID]
		if old.pid != c.pid {
			old = counters{}
		}
		last[d.ID] = c
		sum.add(cost{
			control:    launcher.Control{Bytes: c.Bytes - old.Bytes, CPUSeconds: c.CPUSeconds - old.CPUSeconds},
			cpuSeconds: usage.CPUSeconds - old.usage.CPUSeconds, residentBytes: usage.ResidentBytes,
		})
	}
	return sum
}

func (c *cost) add(o cost) {
	c.control.Bytes += o.control.Bytes
	c.control.CPUSeconds += o.control.CPUSeconds
	c.cpuSeconds += o.cpuSeconds
	c.residentBytes = max(c.residentBytes, o.residentBytes)
}

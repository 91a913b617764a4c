package bench

import (
	"context"
	"time"

	"monsoondeck.example/generator/launcher"
)

// cost is what the daemons used within the window.
type cost struct {
	// control is the sum over all daemons.
	control launcher.Control
	// cpuSeconds is the processor time of all daemons.
	cpuSeconds float64
	// residentBytes is the memory of the largest daemon.
	residentBytes float64
	// daemonSeconds is the length of the window times the number of daemons.
	daemonSeconds float64
}

const costPoll = time.Second

// counters are one reading of a daemon.
type counters struct {
	launcher.Control
	pid   int
	usage launcher.Usage
}

// watchCost reads the daemons during the window and sends their cost at its end.
// It adds the increases between two readings, so that a restarted daemon, whose
// counters begin again, is counted.
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
			next := time.Now().Add(costPoll)
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

// readCost reads all daemons and returns the increase since the last readings,
// which it replaces. A daemon that is down is left out.
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

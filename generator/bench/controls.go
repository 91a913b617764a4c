package bench

import (
	"context"
	"time"

	"monsoondeck.example/generator/launcher"
)

// controlRates are the mean control traffic and processor time of one daemon.
type controlRates struct {
	bytes, cores float64
}

const controlPoll = time.Second

// watchControls reads the daemons' counters during the window and sends the
// rates at its end. It adds the increases between two readings, so that a
// restarted daemon, whose counters begin again, is counted.
func (r *run) watchControls(ctx context.Context) <-chan controlRates {
	out := make(chan controlRates, 1)
	go func() {
		var sum launcher.Control
		last := map[string]launcher.Control{}
		if sleepUntil(ctx, r.from) != nil {
			out <- controlRates{}
			return
		}
		begin := time.Now()
		for first := true; ; first = false {
			for _, d := range r.fleet.Daemons {
				c, err := d.Control(ctx)
				if err != nil {
					continue // the daemon is down
				}
				old := last[d.ID]
				if c.Bytes < old.Bytes {
					old = launcher.Control{}
				}
				last[d.ID] = c
				if !first {
					sum.Bytes += c.Bytes - old.Bytes
					sum.CPUSeconds += c.CPUSeconds - old.CPUSeconds
				}
			}
			next := time.Now().Add(controlPoll)
			if next.After(r.to) || sleepUntil(ctx, next) != nil {
				break
			}
		}
		daemonSeconds := time.Since(begin).Seconds() * float64(len(r.fleet.Daemons))
		out <- controlRates{bytes: sum.Bytes / daemonSeconds, cores: sum.CPUSeconds / daemonSeconds}
	}()
	return out
}

package bench

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator"
	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/generator/deployment"
	"monsoondeck.example/generator/launcher"
)

const (
	// slowFactor makes the fastest engine as slow as the slowest one.
	slowFactor = 4
	// restartGap is the pause between the restarts of two routers, in addition to
	// the graceful stop, which takes at least the lame-duck time.
	restartGap = 2 * time.Second
)

// flood returns when the flooding account begins: after a third of the measured
// time in scenario flood, otherwise at once.
func (r *run) flood() deployment.Flood {
	if r.options.Scenario != "flood" {
		return deployment.Flood{}
	}
	return deployment.Flood{After: r.options.Warmup + (r.options.Duration-r.options.Warmup)/3}
}

// third returns the time at which the nth third of the measured time ends.
func (r *run) third(n int) time.Time {
	return r.from.Add(r.to.Sub(r.from) / 3 * time.Duration(n))
}

// injectFaults injects the faults of the scenario.
func (r *run) injectFaults(ctx context.Context) error {
	switch r.options.Scenario {
	case "schedulerKilled":
		return r.killScheduler(ctx)
	case "dataCentreCut":
		centre := r.deployment.DataCentres[0]
		return r.during(ctx, call(func() error { return r.fleet.CutDataCentre(centre) }), call(func() error { return r.fleet.ReconnectDataCentre(centre) }))
	case "routerRestart":
		return r.restartRouters(ctx)
	case "engineSlowed":
		return r.slowEngine(ctx)
	case "platformOut":
		return r.during(ctx, r.platform(fault.OutageAbort), r.platform(fault.OutageNone))
	}
	return nil
}

// during calls begin after the first third of the measured time and end after the
// second.
func (r *run) during(ctx context.Context, begin, end func(context.Context) error) error {
	if err := sleepUntil(ctx, r.third(1)); err != nil {
		return err
	}
	r.progress("starting the fault")
	if err := begin(ctx); err != nil {
		return err
	}
	if err := sleepUntil(ctx, r.third(2)); err != nil {
		return err
	}
	r.progress("ending the fault")
	return end(ctx)
}

// call adapts a function without a context parameter.
func call(f func() error) func(context.Context) error {
	return func(context.Context) error { return f() }
}

func (r *run) platform(o fault.Outage) func(context.Context) error {
	return func(ctx context.Context) error { return r.fleet.SetPlatformFault(ctx, fault.Change{Outage: &o}) }
}

// killScheduler kills a daemon that owns a shard of the model after the first third
// of the measured time, and restarts it after the second.
func (r *run) killScheduler(ctx context.Context) error {
	if err := sleepUntil(ctx, r.third(1)); err != nil {
		return err
	}
	d, err := r.owner(ctx)
	if err != nil {
		return err
	}
	r.progress("killing %s", d.ID)
	d.Process().Kill()
	if err := sleepUntil(ctx, r.third(2)); err != nil {
		return err
	}
	r.progress("restarting %s", d.ID)
	return d.Start()
}

// owner returns a daemon that owns a shard of the model.
func (r *run) owner(ctx context.Context) (*launcher.Daemon, error) {
	for _, d := range r.fleet.Daemons {
		s, err := d.Status(ctx)
		if err != nil {
			return nil, err
		}
		for _, shard := range s.ShardsOwned {
			if strings.HasPrefix(shard, r.deployment.Model) {
				return d, nil
			}
		}
	}
	return nil, errors.New("no daemon owns a shard of the model")
}

// restartRouters gracefully restarts the routers one after another. It begins no
// restart after the second third of the measured time.
func (r *run) restartRouters(ctx context.Context) error {
	if err := sleepUntil(ctx, r.from); err != nil {
		return err
	}
	for _, d := range r.fleet.Daemons {
		if time.Now().After(r.third(2)) {
			return nil
		}
		r.progress("restarting %s", d.ID)
		d.Process().Terminate()
		select {
		case <-d.Process().Done():
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := d.Start(); err != nil {
			return err
		}
		if err := sleepUntil(ctx, time.Now().Add(restartGap)); err != nil {
			return err
		}
	}
	return nil
}

// slowEngine slows the fastest engine down after the first third of the measured
// time.
func (r *run) slowEngine(ctx context.Context) error {
	if err := sleepUntil(ctx, r.third(1)); err != nil {
		return err
	}
	factor := float64(slowFactor)
	fastest := r.deployment.Engines[len(r.deployment.Engines)-1]
	r.progress("slowing down %s", fastest.ID)
	return r.fleet.SetFault(ctx, emulator.KindEngine, fastest.ID, fault.Change{Slowdown: &factor})
}

package chaos

import (
	"context"
	"time"

	"monsoondeck.example/emulator"
	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/generator/launcher"
)

const (
	// detectionTime is the least time from the start of a fault until changes count
	// as undisturbed. Until then the poller of a data centre has been replaced:
	// probing and suspicion take about 4.3 s from the fault, and polling and
	// rejoining another second.
	detectionTime = 6 * time.Second
	// recoveryTime is the least time from the end of a fault until changes count as
	// undisturbed.
	recoveryTime = 2 * time.Second

	lostAnswers       = 3
	brokenStreams     = 3
	breakAfterTokens  = 5
	foreignAnswers    = 2
	platformLatencyMs = 400
	slowdownFactor    = 4
)

// runEvent runs one event to its end.
func (r *run) runEvent(ctx context.Context, e Event) error {
	if e.Kind.disturbing() {
		defer r.recordDisturbance(e.Kind, time.Now())
	}
	switch e.Kind {
	case KindKill, KindPause, KindStop:
		return r.actOnDaemon(ctx, e, r.fleet.Daemons[e.Subject])
	case KindCut:
		centre := r.deployment.DataCentres[e.Subject%len(r.deployment.DataCentres)]
		return during(ctx, e.Length, call(func() error { return r.fleet.CutDataCentre(centre) }), call(func() error { return r.fleet.ReconnectDataCentre(centre) }))
	case KindCutOneWay:
		d := r.fleet.Daemons[e.Subject]
		return during(ctx, e.Length, call(d.CutOutgoing), call(d.ReconnectOutgoing))
	case KindPlatformOut:
		outages := []fault.Outage{fault.OutageRefuse, fault.OutageHang, fault.OutageAbort}
		begin, end := outages[e.Subject%len(outages)], fault.OutageNone
		return during(ctx, e.Length, r.platform(fault.Change{Outage: &begin}), r.platform(fault.Change{Outage: &end}))
	case KindPlatformSlow:
		slow, normal := platformLatencyMs, 0
		return during(ctx, e.Length, r.platform(fault.Change{LatencyMs: &slow}), r.platform(fault.Change{LatencyMs: &normal}))
	case KindRace:
		return r.race(ctx)
	case KindDrain:
		return r.drain(ctx, e)
	case KindChange:
		return r.change(ctx)
	}
	return r.actOnTarget(ctx, e)
}

// recordDisturbance records a disturbance that began at from and whose fault ends
// now. A kill disturbs only until the other daemons have detected it, because the
// restarted daemon is not ready before it has the configuration.
func (r *run) recordDisturbance(k Kind, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	to := from.Add(detectionTime)
	if end := time.Now().Add(recoveryTime); k != KindKill && end.After(to) {
		to = end
	}
	r.disturbances = append(r.disturbances, span{from, to})
}

// during calls begin, waits for length and calls end.
func during(ctx context.Context, length time.Duration, begin, end func(context.Context) error) error {
	if err := begin(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, length); err != nil {
		return err
	}
	return end(ctx)
}

// call adapts a function without a context parameter.
func call(f func() error) func(context.Context) error {
	return func(context.Context) error { return f() }
}

func (r *run) platform(c fault.Change) func(context.Context) error {
	return func(ctx context.Context) error { return r.fleet.SetPlatformFault(ctx, c) }
}

func (r *run) actOnDaemon(ctx context.Context, e Event, d *launcher.Daemon) error {
	p := d.Process()
	switch e.Kind {
	case KindPause:
		p.Pause()
		defer p.Continue()
		return sleep(ctx, e.Length)
	case KindKill:
		p.Kill()
		if err := sleep(ctx, e.Length); err != nil {
			return err
		}
	case KindStop:
		s := stop{router: d.Caller, from: time.Now()}
		p.Terminate()
		select {
		case <-p.Done():
		case <-ctx.Done():
			return ctx.Err()
		}
		s.to = time.Now()
		r.mu.Lock()
		r.stops = append(r.stops, s)
		r.mu.Unlock()
	}
	return d.Start()
}

func (r *run) actOnTarget(ctx context.Context, e Event) error {
	engine := r.deployment.Engines[e.Subject].ID
	some, tokens, factor, normal := lostAnswers, breakAfterTokens, float64(slowdownFactor), 1.0
	switch e.Kind {
	case KindLoseCommits:
		return r.fleet.SetFault(ctx, emulator.KindTable, "", fault.Change{LoseAnswers: &some})
	case KindLoseAnswers:
		desk := r.deployment.Services[e.Subject%len(r.deployment.Services)].ID
		if err := r.fleet.SetFault(ctx, emulator.KindService, desk, fault.Change{LoseAnswers: &some}); err != nil {
			return err
		}
		return r.fleet.SetFault(ctx, emulator.KindEngine, engine, fault.Change{LoseAnswers: &some})
	case KindBreakStreams:
		some = brokenStreams
		return r.fleet.SetFault(ctx, emulator.KindEngine, engine, fault.Change{BreakStreams: &some, BreakAfterTokens: &tokens})
	case KindForeignIDs:
		some = foreignAnswers
		return r.fleet.SetFault(ctx, emulator.KindEngine, engine, fault.Change{ForeignIDs: &some})
	case KindRestart:
		return r.fleet.SetFault(ctx, emulator.KindEngine, engine, fault.Change{Restart: true})
	case KindSlow:
		set := func(f *float64) func(context.Context) error {
			return func(ctx context.Context) error {
				return r.fleet.SetFault(ctx, emulator.KindEngine, engine, fault.Change{Slowdown: f})
			}
		}
		return during(ctx, e.Length, set(&factor), set(&normal))
	}
	return nil
}

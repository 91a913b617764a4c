package soaker

import (
	"context"
	"fmt"
	"strings"
	"time"

	"monsoondeck.example/emulator/server"
	"monsoondeck.example/platform/wire"
	"monsoondeck.example/sleeper"
)

// startTargets starts the targets: the first half are engines, the others servers
// of the plain service.
func (f *fleet) startTargets() error {
	n := f.options.Targets
	addresses, err := f.reserve(n)
	if err != nil {
		return err
	}
	for i, a := range addresses {
		l, err := f.link("target>"+a, a)
		if err != nil {
			return err
		}
		o := server.Options{
			Name: fmt.Sprintf("t-%d", i), DataCentre: dataCentre(i), Address: a, Advertised: l.Address(), Registry: f.store,
			Service: plainService, Slots: plainSlots, FirstByteDelay: plainWork,
		}
		if i < f.engineCount() {
			o.Service, o.Slots, o.FirstByteDelay, o.Events, o.EventInterval = engineService, engineSlots, engineWork, engineEvents, enginePause
		}
		if f.options.Deadly > 0 {
			// A link accepts connections while its target is down. A crash must show by a
			// refused connection.
			o.Advertised = a
		}
		var s *server.Server
		o.FaultFor, o.Crashing = func(path string) server.Fault { return faultForPath(path, o.Events > 0) }, func() { f.onCrash(s) }
		s = server.New(o)
		if err := s.Start(); err != nil {
			return err
		}
		f.targets, f.targetLinks = append(f.targets, s), append(f.targetLinks, l)
	}
	return nil
}

// engineCount returns the number of targets that are engines; they come first.
func (f *fleet) engineCount() int { return (f.options.Targets + 1) / 2 }

// The services of a fleet: an inference engine that streams events, and a plain
// service that responds with one body.
const (
	engineService = "engine"
	engineSlots   = 32
	engineWork    = 30 * time.Millisecond
	engineEvents  = 8
	enginePause   = 40 * time.Millisecond
	plainService  = "desk"
	plainSlots    = 8
	plainWork     = 15 * time.Millisecond
)

// Prefixes of the names of requests with a fault of their own, which every target
// injects.
const (
	// deadlyPrefix marks requests that crash the target.
	deadlyPrefix = "deadly-"
	// slowPrefix marks requests that take three seconds.
	slowPrefix = "slow-"
	// holdPrefix marks streams that hold a slot for seven seconds.
	holdPrefix = "hold-"
	// silentPrefix marks streams that are silent in the middle. The length of the silence in
	// milliseconds follows, and another hyphen.
	silentPrefix = "silent-"
)

// Factors of the times of marked requests. The silence of a stream begins a second after
// its start, when the slots of all engines have been taken.
const (
	slowEngineFactor = 10
	slowPlainFactor  = 200
	holdFactor       = 24
	silentFactor     = 8
)

// faultForPath returns the fault of the requests with a path.
func faultForPath(path string, engine bool) server.Fault {
	name := path[strings.LastIndexByte(path, '/')+1:]
	switch {
	case strings.HasPrefix(name, deadlyPrefix):
		return server.Fault{Kind: server.FaultCrash}
	case strings.HasPrefix(name, slowPrefix) && engine:
		return server.Fault{Kind: server.FaultSlow, Factor: slowEngineFactor}
	case strings.HasPrefix(name, slowPrefix):
		return server.Fault{Kind: server.FaultSlow, Factor: slowPlainFactor}
	case strings.HasPrefix(name, holdPrefix):
		return server.Fault{Kind: server.FaultSlow, Factor: holdFactor}
	}
	var pauseMs int64
	if _, err := fmt.Sscanf(name, silentPrefix+"%d-", &pauseMs); err == nil {
		return server.Fault{Kind: server.FaultSilent, Factor: silentFactor, Pause: time.Duration(pauseMs) * time.Millisecond}
	}
	return server.Fault{}
}

// setTargetFault makes a target fail a share of its requests, which choice selects.
func (r *run) setTargetFault(ctx context.Context, t *server.Server, kind server.Kind, choice int, length time.Duration) {
	defer r.beginFault(t.Name())()
	t.SetFault(server.Fault{Kind: kind, Share: []float64{0.1, 0.4, 1}[choice%3], Factor: 8})
	sleeper.Sleep(ctx, length)
	t.SetFault(server.Fault{})
}

// crashTarget ends a target abruptly and starts it again. One time in three its
// clock is then an hour behind, so that the new instance seems older than the last.
func (r *run) crashTarget(ctx context.Context, t *server.Server, e Event) error {
	return r.exclusively(t.Name(), func() error {
		defer r.beginFault(t.Name())()
		t.Crash()
		sleeper.Sleep(ctx, e.Length)
		if e.Choice%2 == 0 {
			t.Deregister() // the registry has removed the entry already
		} else {
			gone := t.InstanceID()
			time.AfterFunc(registryEntryLifetime, func() { r.fleet.store.Delete(wire.TargetsTable, gone) })
		}
		t.SetClockOffset(time.Duration(e.Choice%3-1) * time.Hour)
		return t.Start()
	})
}

// registryEntryLifetime is how long the registry keeps the entry of a target that
// has ended: three heartbeats and some delay.
const registryEntryLifetime = 4 * time.Second

// replaceTarget drains a target for at least drainTimeout, removes it and starts
// another instance at its address.
func (r *run) replaceTarget(ctx context.Context, t *server.Server, length time.Duration) error {
	return r.exclusively(t.Name(), func() error {
		r.recordDrain(t.Drain())
		sleeper.Sleep(ctx, max(length, drainTimeout))
		defer r.beginFault(t.Name())()
		t.DeregisterAndStop()
		return t.Start()
	})
}

// replaceHalf replaces half of the targets one after the other, as a release does.
func (r *run) replaceHalf(ctx context.Context, e Event) error {
	var half []*server.Server
	for i := range len(r.fleet.targets) / 2 {
		half = append(half, r.fleet.targets[(e.Subject+2*i)%len(r.fleet.targets)])
	}
	return r.replaceInTurn(ctx, half, e.Length, e.Length/2, nil)
}

// replaceInTurn replaces targets, the next one each time that a pause has passed. before,
// unless nil, is called with each one when its turn comes.
func (r *run) replaceInTurn(ctx context.Context, targets []*server.Server, length, pause time.Duration, before func(*server.Server)) error {
	done := make(chan error, len(targets))
	for _, t := range targets {
		if before != nil {
			before(t)
		}
		go func() { done <- r.replaceTarget(ctx, t, length) }()
		sleeper.Sleep(ctx, pause)
	}
	return firstError(done, len(targets))
}

package soaker

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"monsoondeck.example/emulator/server"
	"monsoondeck.example/emulator/storer"
	"monsoondeck.example/injector"
	"monsoondeck.example/platform/wire"
	"monsoondeck.example/sleeper"
)

// runEvent carries out one event and returns when it is over.
func (r *run) runEvent(ctx context.Context, e Event) error {
	f := r.fleet
	d := f.daemons[e.Subject%len(f.daemons)]
	n := e.Subject % len(f.targets)
	t, l := f.targets[n], f.targetLinks[n]
	switch e.Kind {
	case KindKill:
		return r.kill(ctx, d, e.Length)
	case KindHerdKill:
		return r.killHalf(ctx, e)
	case KindPause:
		return r.pause(ctx, d, e.Length)
	case KindStop:
		return r.restart(ctx, d, e.Length)
	case KindRoll:
		return r.rollingRestart(ctx, e)
	case KindReload, KindQuietReload:
		return r.reload(d, e)
	case KindStoreAway, KindStoreBusy, KindStoreSilent, KindStoreSlow, KindStoreLoses, KindStoreForgets, KindRegistryLost:
		return r.injectStoreFault(ctx, e)
	case KindStoreRestored:
		return r.restoreStore(ctx, e)
	case KindStoreLink:
		defer r.beginFault(storeSubject)()
		return r.injectLinkFault(ctx, d.currentStoreLink(), e)
	case KindPeerLink:
		if d.peerLink == nil {
			return nil
		}
		defer r.beginFault(d.contactSubject())()
		return r.injectLinkFault(ctx, d.peerLink, e)
	case KindTargetLink:
		defer r.beginFault(t.Name())()
		return r.injectLinkFault(ctx, l, e)
	case KindIdleDrop:
		defer r.beginFault(t.Name())()
		return r.setLinkFault(ctx, l, injector.Fault{Kind: injector.KindLoseAnswer, Direction: injector.Forward}, e.Length)
	case KindTargetCrash:
		return r.crashTarget(ctx, t, e)
	case KindTargetFlap:
		for range 3 {
			if err := r.crashTarget(ctx, t, e); err != nil {
				return err
			}
			sleeper.Sleep(ctx, e.Length)
		}
		return nil
	case KindTargetLeave:
		return r.replaceTarget(ctx, t, e.Length)
	case KindNewVersion:
		return r.replaceEngines(ctx, e)
	case KindMassKill:
		return r.killTogether(ctx, r.fleet.daemons, e.Length)
	case KindRelease:
		return r.replaceHalf(ctx, e)
	case KindTargetFault:
		all := server.FaultKinds()
		r.setTargetFault(ctx, t, all[e.Choice%len(all)], e.Choice/len(all), e.Length)
		return nil
	case KindTornHead:
		r.setTargetFault(ctx, t, server.FaultTornHead, e.Choice, e.Length)
		return nil
	case KindDeadly:
		r.sendDeadly(ctx, e)
		return nil
	case KindLateStop:
		return r.stopInCalm(ctx, d, e)
	case KindSilence:
		r.silence(ctx, e)
		return nil
	case KindForeignEntries:
		return r.putForeignEntries(ctx, e.Length)
	case KindChange:
		f.putNextVersion()
		return nil
	case KindChanges:
		for range 4 {
			f.putNextVersion()
			sleeper.Sleep(ctx, 100*time.Millisecond)
		}
		return nil
	}
	return fmt.Errorf("unknown kind of event %s", e.Kind)
}

// exclusively calls act unless another event acts on the same daemon or target.
// The subject is its name.
func (r *run) exclusively(subject string, act func() error) error {
	r.mutex.Lock()
	locked := r.lockedSubjects[subject]
	r.lockedSubjects[subject] = true
	r.mutex.Unlock()
	if locked {
		return nil
	}
	defer func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.lockedSubjects, subject)
	}()
	return act()
}

// kill kills a daemon and starts it again.
func (r *run) kill(ctx context.Context, d *daemon, down time.Duration) error {
	return r.exclusively(d.name, func() error {
		defer r.beginFault(d.name)()
		d.kill()
		sleeper.Sleep(ctx, down)
		return d.start()
	})
}

// killHalf kills every second daemon at the same time.
func (r *run) killHalf(ctx context.Context, e Event) error {
	var half []*daemon
	for i, d := range r.fleet.daemons {
		if (i+e.Subject)%2 == 0 {
			half = append(half, d)
		}
	}
	return r.killTogether(ctx, half, e.Length)
}

// killTogether kills daemons at the same time and starts them again.
func (r *run) killTogether(ctx context.Context, daemons []*daemon, down time.Duration) error {
	done := make(chan error, len(daemons))
	for _, d := range daemons {
		go func() { done <- r.kill(ctx, d, down) }()
	}
	return firstError(done, len(daemons))
}

// firstError waits for n results and returns the first error among them.
func firstError(done <-chan error, n int) error {
	var failed error
	for range n {
		if err := <-done; err != nil && failed == nil {
			failed = err
		}
	}
	return failed
}

// pause suspends the process of a daemon.
func (r *run) pause(ctx context.Context, d *daemon, length time.Duration) error {
	return r.exclusively(d.name, func() error {
		defer r.beginFault(d.name)()
		p := d.currentProcess()
		p.Pause()
		sleeper.Sleep(ctx, length)
		p.Continue()
		return nil
	})
}

// restart stops a daemon gracefully and starts it again. Callers keep using their
// connections until the process has exited.
func (r *run) restart(ctx context.Context, d *daemon, down time.Duration) error {
	return r.exclusively(d.name, func() error {
		defer r.beginFault(d.contactSubject())()
		d.requestStop().Stop(stopTimeout) // kills the process after stopTimeout, as the platform does
		sleeper.Sleep(ctx, down)
		return d.start()
	})
}

// rollingRestart restarts several daemons, one second apart, so that the restarts
// can overlap.
func (r *run) rollingRestart(ctx context.Context, e Event) error {
	n := min(3, len(r.fleet.daemons)-1)
	done := make(chan error, n)
	for i := range n {
		d := r.fleet.daemons[(e.Subject+i)%len(r.fleet.daemons)]
		go func() { done <- r.restart(ctx, d, e.Length) }()
		sleeper.Sleep(ctx, time.Second)
	}
	return firstError(done, n)
}

// reload switches a daemon to its other link to the store by new settings.
func (r *run) reload(d *daemon, e Event) error {
	return r.exclusively(d.name, func() error {
		if err := d.switchStoreLink(); err != nil {
			return err
		}
		if e.Kind == KindReload {
			d.currentProcess().Reload()
		}
		return nil
	})
}

// injectStoreFault makes the store fail in the way that the kind of event names.
func (r *run) injectStoreFault(ctx context.Context, e Event) error {
	f := map[Kind]storer.Fault{
		KindStoreAway: {Status: 503}, KindStoreBusy: {Status: 429}, KindStoreSilent: {Silent: true}, KindRegistryLost: {Status: 503},
		KindStoreSlow: {Delay: 200 * time.Millisecond}, KindStoreLoses: {LoseAnswers: true},
	}[e.Kind]
	s := r.fleet.store
	if e.Kind == KindStoreForgets {
		s.DropHistory()
		return nil
	}
	defer r.beginFault(storeSubject)()
	s.SetFault(f)
	if e.Kind == KindRegistryLost {
		// The entries expire while the store is unavailable. Afterwards all targets
		// register again within two seconds.
		for _, t := range r.fleet.targets {
			if t.Running() {
				t.Deregister()
			}
		}
	}
	sleeper.Sleep(ctx, e.Length)
	s.SetFault(storer.Fault{})
	if e.Kind == KindRegistryLost {
		for _, t := range r.fleet.targets {
			sleeper.Sleep(ctx, 50*time.Millisecond)
			t.Register()
		}
	}
	return nil
}

// restoreStore restores the store from a copy that is e.Length old. One time in two it does
// not respond for a second before.
func (r *run) restoreStore(ctx context.Context, e Event) error {
	s := r.fleet.store
	old := s.Copy()
	sleeper.Sleep(ctx, e.Length)
	defer r.beginFault(storeSubject)()
	if e.Choice%2 == 0 {
		s.SetFault(storer.Fault{Status: 503})
		sleeper.Sleep(ctx, time.Second)
	}
	s.Restore(old, wire.ConfigTable, wire.TargetsTable)
	s.SetFault(storer.Fault{})
	return nil
}

// injectLinkFault makes a link fail in the way that e.Choice selects.
func (r *run) injectLinkFault(ctx context.Context, l *injector.Link, e Event) error {
	faults := []injector.Fault{
		{Kind: injector.KindDelay, DelayMs: 100}, {Kind: injector.KindDelay, DelayMs: 600}, {Kind: injector.KindFreeze}, {Kind: injector.KindCut},
		{Kind: injector.KindCut, Count: 2}, {Kind: injector.KindCutOneWay, Direction: injector.Forward},
		{Kind: injector.KindCutOneWay, Direction: injector.Backward}, {Kind: injector.KindHalfClose, Direction: injector.Forward, Count: 2},
		{Kind: injector.KindHalfClose, Direction: injector.Backward, Count: 2}, {Kind: injector.KindLoseAnswer, Count: 3},
	}
	return r.setLinkFault(ctx, l, faults[e.Choice%len(faults)], e.Length)
}

// setLinkFault applies a fault to a link for the given time.
func (r *run) setLinkFault(ctx context.Context, l *injector.Link, f injector.Fault, length time.Duration) error {
	if err := l.SetFault(f); err != nil {
		return err
	}
	sleeper.Sleep(ctx, length)
	return l.SetFault(injector.Fault{Kind: injector.KindNone})
}

// putForeignEntries adds rows to the registry that do not describe a valid target,
// and removes them again.
func (r *run) putForeignEntries(ctx context.Context, length time.Duration) error {
	service, nowhere, loopback, ready, lost := plainService, "nowhere", "127.0.0.1:9", wire.StateReady, "lost"
	noAddress := encode(wire.Target{Service: &service, Address: &nowhere, State: &ready})
	rows := map[string][]byte{
		"x-1": []byte("{"), "x-2": []byte("null"), "x-3": bytes.Replace(noAddress, []byte(`"`+service+`"`), []byte("7"), 1),
		"x-4": noAddress, "x-5": encode(wire.Target{Service: &service, Address: &loopback, State: &lost}), "x-6": []byte("\x00\xff"),
	}
	for key, payload := range rows {
		r.fleet.store.Put(wire.TargetsTable, key, payload)
	}
	sleeper.Sleep(ctx, length)
	for key := range rows {
		r.fleet.store.Delete(wire.TargetsTable, key)
	}
	return nil
}

package controller_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// control is a running controller with two slots of a plain service.
type control struct {
	*controller.Controller
	mutex   sync.Mutex
	reports []controller.Report
}

func start(t *testing.T, change ...func(*controller.Options)) *control {
	t.Helper()
	c := &control{}
	began := time.Now()
	options := controller.Options{
		DataCentre: "d", Policy: placer.Expected, Queue: queuer.DefaultSettings(), ShareWindow: 4 * time.Second,
		Send: func(r controller.Report, _ []string) {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.reports = append(c.reports, r)
		},
		Host: "self", SendChange: func(controller.RegistryChange) {}, Probe: func(registrar.Entry) {}, Behind: func() {}, AskConfig: func(string, uint64) {}, SendConfig: func(resolver.Config) {},
		ReportInterval: func(int) time.Duration { return time.Millisecond },
		Peers:          func() []string { return nil }, Address: func(string) string { return "" }, Learn: func([]controller.Daemon) {},
		Clock: func() time.Duration { return time.Since(began) }, Logger: slog.New(slog.DiscardHandler),
	}
	for _, f := range change {
		f(&options)
	}
	c.Controller = controller.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	c.SetConfig(0, config(1))
	c.SetRegistry(0, 1, []registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}})
	return c
}

func config(version uint64) resolver.Config {
	return resolver.New(resolver.Content{Version: version, Services: []resolver.Service{{Name: "s"}}})
}

func demand(id uint64) receiver.Demand {
	return receiver.Demand{
		Request: placer.Request{ID: id, Service: "s"}, Objective: time.Hour, Deadline: time.Hour, First: true,
	}
}

func wait(ctx context.Context, t *testing.T, c *control, id uint64) receiver.Permit {
	t.Helper()
	p, err := c.Wait(ctx, demand(id))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// places is what the target takes: as long as nothing is known of its speed, three
// times its slots.
const places = 6

// full takes all places.
func full(t *testing.T, c *control) []receiver.Permit {
	t.Helper()
	var permits []receiver.Permit
	for id := range uint64(places) {
		permits = append(permits, wait(context.Background(), t, c, id+1))
	}
	return permits
}

// Guards against requests that wait although a place became free.
func TestEndedRequestMakesRoom(t *testing.T) {
	c := start(t)
	permits := full(t, c)
	got := make(chan receiver.Permit, 1)
	go func() {
		p, err := c.Wait(context.Background(), demand(100))
		if err != nil {
			t.Error(err)
		}
		got <- p
	}()
	permits[0].End(placer.Complete)
	(<-got).End(placer.Complete)
}

// Guards against places that are lost when callers leave while they wait or at
// the moment of the decision.
func TestCallersThatLeaveGiveTheirPlaceBack(t *testing.T) {
	c := start(t)
	permits := full(t, c)
	ctx, leave := context.WithCancelCause(context.Background())
	errLeft := errors.New("left")
	left := make(chan error, 1)
	go func() {
		_, err := c.Wait(ctx, demand(100))
		left <- err
	}()
	select {
	case err := <-left:
		t.Fatalf("a request beyond the places was decided: %v", err)
	default:
	}
	leave(errLeft)
	if err := <-left; !errors.Is(err, errLeft) {
		t.Errorf("error %v", err)
	}
	for _, p := range permits {
		p.End(placer.Cancelled)
	}
	for id := range uint64(len(permits)) {
		wait(context.Background(), t, c, 200+id)
	}
}

// Guards against a configuration that goes back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	c := start(t)
	for _, v := range []uint64{5, 3, 7, 6} {
		c.SetConfig(0, config(v))
	}
	wait(context.Background(), t, c, 1) // the messages before it have been handled
	if current, ok := c.Current(); !ok || current.Version() != 7 {
		t.Errorf("version %d", current.Version())
	}
}

// Guards against requests that are sent by a state of the registry that a busy
// daemon has not read for too long.
func TestOldRegistryIsNotUsed(t *testing.T) {
	c := start(t, func(o *controller.Options) { o.StaleLimit = time.Nanosecond })
	got := make(chan receiver.Permit, 1)
	go func() {
		p, err := c.Wait(context.Background(), demand(1))
		if err != nil {
			t.Error(err)
		}
		got <- p
	}()
	for range 50 { // looks at the queue while the registry is old
		c.SetConfig(0, config(1))
	}
	select {
	case <-got:
		t.Fatal("sent by an old state of the registry")
	default:
	}
	for len(got) == 0 { // while the store is away there is nothing better
		c.RegistryFailed()
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against refusals without a reason or a time to come back.
func TestRefusalsCarryTheDecision(t *testing.T) {
	c := start(t)
	d := demand(1)
	d.Request.Service, d.Objective = "none", time.Millisecond
	p, err := c.Wait(context.Background(), d)
	if !errors.Is(err, receiver.ErrRefused) || p.Decision().Reason != queuer.ReasonNoTarget || p.Decision().RetryAfter <= 0 {
		t.Errorf("error %v, decision %+v", err, p)
	}
}

// Guards against peers that are not told of work, or not of its end.
func TestPeersAreToldOfWork(t *testing.T) {
	c := start(t)
	reported := func(running int) bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		for _, r := range c.reports {
			for _, l := range r.Loads {
				if l.Target == placer.KeyOf("t") && l.Running == running {
					return true
				}
			}
		}
		return false
	}
	p := wait(context.Background(), t, c, 1)
	for !reported(1) {
		time.Sleep(time.Millisecond)
	}
	p.End(placer.Complete)
	for !reported(0) {
		time.Sleep(time.Millisecond)
	}
}

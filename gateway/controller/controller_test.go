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

// testController is a running controller that knows one target with two slots and
// records the reports that it sends.
type testController struct {
	*controller.Controller
	mutex   sync.Mutex
	reports []controller.Report
}

func start(t *testing.T, change ...func(*controller.Options)) *testController {
	t.Helper()
	c := &testController{}
	began := time.Now()
	options := controller.Options{
		DataCentre: "d", Policy: placer.ShortestExpectedTime, Queue: queuer.DefaultSettings(), ShareWindow: 4 * time.Second,
		SendReport: func(r controller.Report, _ []string) {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.reports = append(c.reports, r)
		},
		Host: "self", SendRegistryChange: func(controller.RegistryChange, []string) {}, Probe: func(registrar.Entry) {}, RefetchConfig: func() {}, NoticeEra: func(uint64) {}, RequestConfig: func(string, uint64) {}, SendConfig: func(resolver.Config, []string) {},
		ReportInterval: func(int) time.Duration { return time.Millisecond },
		Peers:          func() []controller.Daemon { return nil }, AddPeers: func([]controller.Daemon) {},
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
	c.SetRegistry(0, registrar.Read{Moment: registrar.Moment{Revision: 1}, Entries: []registrar.Entry{{ID: "t", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 2}}})
	return c
}

func config(version uint64) resolver.Config {
	return resolver.New(resolver.Content{Version: version, Services: []resolver.Service{{Name: "s"}}})
}

func demand(id uint64) receiver.Demand {
	return receiver.Demand{
		Request: placer.Request{ID: id, Service: "s", Fingerprint: id}, Objective: time.Hour, TimeLeft: time.Hour, FirstWait: true,
	}
}

func wait(ctx context.Context, t *testing.T, c *testController, id uint64) receiver.Permit {
	t.Helper()
	p, err := c.Wait(ctx, demand(id))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// targetCapacity is the number of requests that are placed at the target: three
// times its slots while its speed is unknown.
const targetCapacity = 6

// fillTarget places as many requests at the target as it takes.
func fillTarget(t *testing.T, c *testController) []receiver.Permit {
	t.Helper()
	var permits []receiver.Permit
	for id := range uint64(targetCapacity) {
		permits = append(permits, wait(context.Background(), t, c, id+1))
	}
	return permits
}

// Guards against requests that stay in the queue although another request at the
// target ended.
func TestEndedRequestFreesItsSlot(t *testing.T) {
	c := start(t)
	permits := fillTarget(t, c)
	granted := make(chan receiver.Permit, 1)
	go func() {
		p, err := c.Wait(context.Background(), demand(100))
		if err != nil {
			t.Error(err)
		}
		granted <- p
	}()
	permits[0].End(placer.Complete)
	(<-granted).End(placer.Complete)
}

// Guards against capacity that is lost when callers disconnect while their requests
// are queued or at the moment of the decision.
func TestCancelledRequestsFreeTheirSlots(t *testing.T) {
	c := start(t)
	permits := fillTarget(t, c)
	ctx, disconnect := context.WithCancelCause(context.Background())
	errDisconnected := errors.New("left")
	left := make(chan error, 1)
	go func() {
		_, err := c.Wait(ctx, demand(100))
		left <- err
	}()
	select {
	case err := <-left:
		t.Fatalf("a request beyond the capacity of the target was decided: %v", err)
	default:
	}
	disconnect(errDisconnected)
	if err := <-left; !errors.Is(err, errDisconnected) {
		t.Errorf("Wait returned error %v, want the cause of the context", err)
	}
	for _, p := range permits {
		p.End(placer.Cancelled)
	}
	for id := range uint64(len(permits)) {
		wait(context.Background(), t, c, 200+id)
	}
}

// Guards against replacing a configuration by an older one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	c := start(t)
	for _, v := range []uint64{5, 3, 7, 6} {
		c.SetConfig(0, config(v))
	}
	wait(context.Background(), t, c, 1) // the events sent before have been applied
	if current, ok := c.Current(); !ok || current.Version() != 7 {
		t.Errorf("version %d is in force, want 7", current.Version())
	}
}

// Guards against requests that are sent to targets of a stale state of the
// registry, because the daemon was too busy to read it.
func TestStaleRegistryIsNotUsed(t *testing.T) {
	c := start(t, func(o *controller.Options) { o.MaxRegistryAge = time.Nanosecond })
	granted := make(chan receiver.Permit, 1)
	go func() {
		p, err := c.Wait(context.Background(), demand(1))
		if err != nil {
			t.Error(err)
		}
		granted <- p
	}()
	for range 50 { // each event runs the loop of the controller while the registry is stale
		c.SetConfig(0, config(1))
	}
	select {
	case <-granted:
		t.Fatal("a permit was granted with a stale state of the registry")
	default:
	}
	for len(granted) == 0 { // during an outage of the store the last known state is used
		c.RegistryFailed(0)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against refusals without a reason or without a retry time.
func TestRefusalHasReasonAndRetryAfter(t *testing.T) {
	c := start(t)
	d := demand(1)
	d.Request.Service, d.Objective = "none", time.Millisecond
	p, err := c.Wait(context.Background(), d)
	if !errors.Is(err, receiver.ErrRefused) || p.Decision().Reason != queuer.ReasonNoTarget || p.Decision().RetryAfter <= 0 {
		t.Errorf("Wait returned error %v and permit %+v, want ErrRefused with a reason and a retry time", err, p)
	}
}

// Guards against reports that lack the start or the end of work at a target.
func TestReportsShowStartAndEndOfWork(t *testing.T) {
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

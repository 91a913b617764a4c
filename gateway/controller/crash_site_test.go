package controller_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/receiver"
	"monsoondeck.example/gateway/registrar"
)

// crashSite is a fleet of daemons with emulated targets, which crash and come back under a
// new ID. All times are by the clocks of the daemons.
type crashSite struct {
	network *network
	daemons int

	mutex    sync.Mutex
	revision uint64
	nextID   uint64
	targets  map[string]*siteTarget
	// arrivals holds the times at which deadly requests reached targets that ran, crashes
	// those of all crashes.
	arrivals, crashes []time.Duration
	// requests are the requests in progress.
	requests sync.WaitGroup
	// pending counts the targets that come back later.
	pending sync.WaitGroup
	stopped bool
}

// siteTarget is one incarnation of an emulated target.
type siteTarget struct {
	entry registrar.Entry
	// dead is closed when the target crashes.
	dead chan struct{}
}

const (
	// targetBackAfter is the time after which a target that crashed is back.
	targetBackAfter = 3 * time.Second
	// targetLease is the time for which a target that crashed stays in the registry.
	targetLease = 500 * time.Millisecond
	// connectivityTime is the time after which daemons in touch know of a crash.
	connectivityTime = 3 * time.Second
	// requestTimeout is long enough for a busy machine.
	requestTimeout = 20 * time.Second
	// maxLaterRetries is the number of times that a request that has crashed three
	// targets may reach one later than that.
	maxLaterRetries = 3
)

// startCrashSite starts the daemons and targets of a site. In real time, a busy machine
// does not separate crashes of one moment.
func startCrashSite(t *testing.T, daemons, targets int, realTime bool) *crashSite {
	t.Helper()
	s := &crashSite{network: newNetwork(), daemons: daemons, targets: map[string]*siteTarget{}, revision: 1}
	s.network.realTimeOnly = realTime
	s.network.options = func(o *controller.Options) {
		host := o.Host
		o.Probe = func(e registrar.Entry) { go s.probe(host, e) }
	}
	s.network.fill(t, daemons)
	for range targets {
		s.register()
	}
	s.publish()
	t.Cleanup(func() {
		s.mutex.Lock()
		s.stopped = true
		s.mutex.Unlock()
		s.requests.Wait()
		s.pending.Wait()
	})
	return s
}

func (s *crashSite) now() time.Duration { return s.network.clock() }

func (s *crashSite) sleep(d time.Duration) { time.Sleep(s.network.realTime(d)) }

func (s *crashSite) node(i int) *testController {
	s.network.mutex.Lock()
	defer s.network.mutex.Unlock()
	return s.network.nodes[daemonName(i)]
}

// register starts a target with a new ID.
func (s *crashSite) register() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nextID++
	id := fmt.Sprint("i-", s.nextID)
	entry := registrar.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", DataCentre: dataCentreName(int(s.nextID)), Slots: 100, Incarnation: int64(s.nextID)}
	s.targets[id] = &siteTarget{entry: entry, dead: make(chan struct{})}
}

// publish tells all daemons the targets.
func (s *crashSite) publish() {
	s.mutex.Lock()
	s.revision++
	read := registrar.Read{Moment: registrar.Moment{Revision: s.revision}}
	for _, t := range s.targets {
		read.Entries = append(read.Entries, t.entry)
	}
	s.mutex.Unlock()
	slices.SortFunc(read.Entries, func(a, b registrar.Entry) int { return int(a.Incarnation - b.Incarnation) })
	for i := range s.daemons {
		s.node(i).SetRegistry(s.now(), read)
	}
}

// alive returns the target with the ID, nil if it has crashed.
func (s *crashSite) alive(id string) *siteTarget {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.targets[id]
	if t == nil {
		return nil
	}
	select {
	case <-t.dead:
		return nil
	default:
		return t
	}
}

// probe is the probe of a target by a daemon.
func (s *crashSite) probe(host string, e registrar.Entry) {
	result := controller.ProbeRefused
	if s.alive(e.ID) != nil {
		result = controller.ProbeReached
	}
	s.network.mutex.Lock()
	c := s.network.nodes[host]
	s.network.mutex.Unlock()
	c.ProbeFinished(e.ID, result)
}

// crash ends a target, which is back later under a new ID.
func (s *crashSite) crash(t *siteTarget) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-t.dead:
		return
	default:
	}
	close(t.dead)
	s.crashes = append(s.crashes, s.now())
	if s.stopped {
		return
	}
	s.pending.Go(func() {
		s.sleep(targetLease)
		s.mutex.Lock()
		delete(s.targets, t.entry.ID)
		s.mutex.Unlock()
		s.publish()
		s.sleep(targetBackAfter - targetLease)
		s.register()
		s.publish()
	})
}

// siteRequest is a request of a caller, sent at most twice to a target.
type siteRequest struct {
	fingerprint uint64
	parts       []string
	deadly      bool
	// duration is the time that a target takes; 0 stands for 30 ms.
	duration time.Duration
}

// outcomes of requests at a site; a refused one has the reason.
const (
	siteAnswered = queuer.Reason("answered")
	siteFailed   = queuer.Reason("failed")
)

// send sends a request to a daemon, as the receiver does, and returns the outcome.
func (s *crashSite) send(daemon int, r siteRequest) queuer.Reason {
	ctx, cancel := context.WithTimeout(context.Background(), s.network.realTime(requestTimeout))
	defer cancel()
	d := receiver.Demand{Objective: requestTimeout / 4, TimeLeft: requestTimeout, FirstWait: true}
	d.Request = placer.Request{Service: "s", Fingerprint: r.fingerprint}
	if len(r.parts) > 0 {
		d.Request.Parts = placer.NewPromptParts("m", r.parts, make([]int, len(r.parts)))
	}
	attempts := 0
	for range 4 {
		s.mutex.Lock()
		s.nextID++
		d.Request.ID = s.nextID
		s.mutex.Unlock()
		d.Request.Retry = attempts > 0
		p, err := s.node(daemon).Wait(ctx, d)
		switch {
		case errors.Is(err, receiver.ErrRefused) && attempts == 0:
			return p.Decision().Reason
		case err != nil:
			return siteFailed
		}
		d.FirstWait = false
		id := p.Decision().Choice.Target.ID
		target := s.alive(id)
		d.Request.Excluded = append(d.Request.Excluded, id)
		if target == nil {
			p.End(placer.Absent)
			continue
		}
		if s.run(target, r) {
			p.FirstEvent()
			p.End(placer.Complete)
			return siteAnswered
		}
		p.End(placer.Broken)
		if attempts++; attempts == 2 {
			break
		}
	}
	return siteFailed
}

// run runs a request at a target and reports whether it was answered.
func (s *crashSite) run(t *siteTarget, r siteRequest) bool {
	if r.deadly {
		s.mutex.Lock()
		s.arrivals = append(s.arrivals, s.now())
		s.mutex.Unlock()
	}
	select {
	case <-t.dead:
		return false
	case <-time.After(s.network.realTime(cmp.Or(r.duration, 30*time.Millisecond))):
	}
	if r.deadly {
		s.crash(t)
	}
	select {
	case <-t.dead:
		return false
	default:
		return true
	}
}

// kill ends up to count running targets at once, the oldest first.
func (s *crashSite) kill(count int) {
	s.mutex.Lock()
	var running []*siteTarget
	for _, t := range s.targets {
		select {
		case <-t.dead:
		default:
			running = append(running, t)
		}
	}
	s.mutex.Unlock()
	slices.SortFunc(running, func(a, b *siteTarget) int { return int(a.entry.Incarnation - b.entry.Incarnation) })
	for _, t := range running[:min(count, len(running))] {
		s.crash(t)
	}
}

// later returns the number of deadly requests that reached a target later than the
// daemons know of the third crash.
func (s *crashSite) later() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.crashes) < 3 {
		return 0
	}
	limit, count := s.crashes[2]+connectivityTime, 0
	for _, at := range s.arrivals {
		if at > limit {
			count++
		}
	}
	return count
}

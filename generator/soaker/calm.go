package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"monsoondeck.example/platform/wire"
	"monsoondeck.example/sleeper"
)

const (
	// lateCallerCount is the number of callers that keep their connections to a daemon
	// that stops.
	lateCallerCount = 12
	// stopNotice is the time after the stop signal for which the balancer may still send
	// requests to the daemon.
	stopNotice = 3 * time.Second
	// maxLateThinkTime is the longest pause of such a caller.
	maxLateThinkTime = 100 * time.Millisecond
	// silentCount is the number of streams that are silent at the same time.
	silentCount = 6
	// fillFactor times the slots of all engines is the number of streams that fill them.
	fillFactor = 1.5
	// fillTime is the time in which they do.
	fillTime = 1500 * time.Millisecond
	// fullCheckInterval is the time between two checks of whether all engines are full.
	fullCheckInterval = 50 * time.Millisecond
)

// quickRoute is the route of silent streams. Its objectives are short, so that daemons
// take the silence for a stall.
var quickRoute = route{name: "quick", kind: wire.KindStreaming, service: engineService, resumable: true}

// plannedStop is a stop of a daemon while nothing had a fault.
type plannedStop struct {
	daemon            *daemon
	signalled, exited time.Time
}

// runCalmEvents runs the events of the calm schedule one after the other, without any
// fault. It returns what is unsettled after one of them.
func (r *run) runCalmEvents(ctx context.Context) ([]string, error) {
	for i, e := range calmSchedule(r.options.Seed, r.options.LateStops, r.options.Silences) {
		if !sleeper.Sleep(ctx, faultAfterEffect) {
			return nil, ctx.Err()
		}
		r.countEvent(e)
		loadCtx, stopLoad := context.WithCancel(ctx)
		var group sync.WaitGroup
		if e.Kind != KindSilence { // other streams would free their slots again and again
			group.Go(func() { r.callers.run(loadCtx, (i+1)*maxCallers, r.callerCount()) })
		}
		err := r.runEvent(ctx, e)
		stopLoad()
		group.Wait()
		if err != nil {
			return nil, err
		}
		if unsettled := r.awaitSettled(ctx); len(unsettled) > 0 {
			return unsettled, nil
		}
	}
	return nil, nil
}

// stopInCalm stops a daemon while callers go on sending on connections that they opened
// before. Two thirds of the connections are idle until late in the grace.
func (r *run) stopInCalm(ctx context.Context, d *daemon, e Event) error {
	var group sync.WaitGroup
	all := make([]*lateCaller, lateCallerCount)
	for i := range all {
		all[i] = &lateCaller{callers: r.callers, daemon: d, random: rand.New(rand.NewPCG(r.options.Seed, uint64(e.Choice+i))), name: fmt.Sprintf("%d-late-%d-%d", r.options.Seed, e.Choice, i)}
		defer all[i].close()
		group.Go(func() { all[i].send() })
	}
	group.Wait()
	s := plannedStop{daemon: d, signalled: time.Now()}
	p := d.requestStop()
	group.Go(func() {
		p.Stop(stopTimeout)
		s.exited = time.Now()
	})
	for i, l := range all {
		// More of them begin soon after the notice, since a daemon without work exits early.
		begin := s.signalled.Add(stopNotice + (stopTimeout-stopNotice)*time.Duration(i*i)/(lateCallerCount*lateCallerCount))
		if i%3 == 0 {
			begin = s.signalled
		}
		group.Go(func() {
			for sleeper.Sleep(ctx, max(time.Until(begin), time.Duration(l.random.Int64N(int64(maxLateThinkTime))))) && p.Alive() {
				l.send()
			}
		})
	}
	group.Wait()
	r.progress("%s exited %v after the stop signal", d.name, s.exited.Sub(s.signalled).Round(time.Millisecond))
	r.mutex.Lock()
	r.stops = append(r.stops, s)
	r.mutex.Unlock()
	return d.start()
}

// silence sends streams that are silent for e.Length and fills all engines, so that no
// target has room to resume them.
func (r *run) silence(ctx context.Context, e Event) {
	client, closeClient := newClient()
	defer closeClient()
	start := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	send := func(n int, to route, prefix string) {
		id := fmt.Sprintf("%s%d-%d-%d", prefix, r.options.Seed, e.Choice, n)
		q := request{route: to, id: id, name: id, account: n % accountCount, size: 100}
		group.Go(func() { r.callers.do(ctx, client, r.fleet.daemons[n%len(r.fleet.daemons)], q) })
	}
	for n := range silentCount {
		send(n, quickRoute, fmt.Sprintf("%s%d-", silentPrefix, e.Length.Milliseconds()))
	}
	engines := r.fleet.targets[:r.fleet.engineCount()]
	for n := range int(fillFactor * engineSlots * float64(len(engines))) {
		send(n, routes()[1], holdPrefix)
	}
	full, checks := 0, 0
	for sleeper.Sleep(ctx, max(time.Until(start.Add(fillTime)), fullCheckInterval)) && time.Since(start) < e.Length+time.Second {
		checks++
		active := 0
		for _, t := range engines {
			active += t.ActiveRequests()
		}
		if active == engineSlots*len(engines) {
			full++
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fullShares = append(r.fullShares, float64(full)/float64(max(checks, 1)))
}

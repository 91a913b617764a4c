package soaker

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/server"
	"monsoondeck.example/sleeper"
)

const (
	// deadlyGap is the time between two occurrences of a deadly request.
	deadlyGap = 400 * time.Millisecond
	// deadlyDown is how long a target refuses connections after a deadly request.
	deadlyDown = 3 * time.Second
	// restartRetryDelay is the time between two attempts to restart a target on which
	// another event acts.
	restartRetryDelay = 50 * time.Millisecond
	// After deadlyCrashes crashes and connectivityBound, which is the time in which
	// daemons learn what others know, a deadly request may reach deadlyRest more targets.
	deadlyCrashes     = 3
	connectivityBound = 3 * time.Second
	deadlyRest        = 3
	// Sound requests of the route must be served at least minServedShare as often as
	// without the deadly request, if there are minSoundRequests with and without.
	minServedShare   = 0.5
	minSoundRequests = 20
)

// sendDeadly sends a deadly request again and again, through any daemon. e.Choice is its
// number; every second one has no prompt. Every other failure is retried at once.
func (r *run) sendDeadly(ctx context.Context, e Event) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(e.Subject)))
	client, closeClient := newClient()
	defer closeClient()
	all := routes()
	q := request{
		route: all[[]int{3, 0, 2, 1}[e.Choice%len(all)]], name: fmt.Sprintf("%s%d", deadlyPrefix, e.Choice),
		account: e.Choice % accountCount, size: 100 * (e.Choice + 1),
	}
	var group sync.WaitGroup
	defer group.Wait()
	for n, end := 0, time.Now().Add(e.Length); time.Now().Before(end); n++ {
		d, other := r.fleet.daemons[random.IntN(len(r.fleet.daemons))], r.fleet.daemons[random.IntN(len(r.fleet.daemons))]
		q.id = fmt.Sprintf("%d-%s-%d", r.options.Seed, q.name, n)
		group.Go(func() {
			q := q
			if x := r.callers.do(ctx, client, d, q); n%2 == 0 && !x.complete() {
				q.id += "-again"
				r.callers.do(ctx, client, other, q)
			}
		})
		if !sleeper.Sleep(ctx, deadlyGap) {
			return
		}
	}
}

// restartCrashed starts a target, which a deadly request crashes, again under a new ID.
// If another event acts on the target, that goes first.
func (r *run) restartCrashed(t *server.Server) {
	r.restarts.Add(1)
	endFault := r.beginFault(t.Name())
	go func() {
		defer r.restarts.Done()
		defer endFault()
		time.Sleep(deadlyDown)
		for acted := false; !acted; time.Sleep(restartRetryDelay) {
			err := r.exclusively(t.Name(), func() error {
				acted = true
				if t.Running() {
					return nil
				}
				t.Deregister()
				return t.Start()
			})
			if err != nil {
				r.mutex.Lock()
				r.restartError = errors.CombineErrors(r.restartError, err)
				r.mutex.Unlock()
			}
		}
	}()
}

// reach is a run of a deadly request and the daemon that sent it to the target.
type reach struct {
	run    server.Run
	daemon *daemon
}

// checkDeadly checks how often each deadly request reached targets, and that other
// requests of its route were served.
func (r *run) checkDeadly(v violations, results []result, runs map[string][]server.Run) {
	byPath := map[string][]result{}
	for _, x := range results {
		if strings.HasPrefix(x.name, deadlyPrefix) {
			byPath[x.path()] = append(byPath[x.path()], x)
		}
	}
	for path, deadly := range byPath {
		var reached []reach
		for _, x := range deadly {
			for _, run := range runs[x.id] {
				reached = append(reached, reach{run, x.daemon})
			}
		}
		slices.SortFunc(reached, func(a, b reach) int { return a.run.Started.Compare(b.run.Started) })
		crashes := crashTimes(reached)
		if len(crashes) == 0 {
			continue
		}
		known := crashes[min(deadlyCrashes, len(crashes))-1].Add(connectivityBound)
		var late []reach
		for _, x := range reached {
			from := x.run.Started.Add(-connectivityBound)
			if len(crashes) >= deadlyCrashes && x.run.Started.After(known) && !r.faultDuring(x.daemon.name, from, x.run.Started) && !r.faultDuring(x.daemon.contactSubject(), from, x.run.Started) {
				late = append(late, x)
			}
		}
		for _, x := range late[min(deadlyRest, len(late)):] {
			v.add("deadly", "%s reached %s through %s %v after it should have been known, with %d crashes in all", path, x.run.Instance, x.daemon.name, x.run.Started.Sub(known), len(crashes))
		}
		first := slices.MinFunc(deadly, func(a, b result) int { return a.start.Compare(b.start) }).start
		last := slices.MaxFunc(deadly, func(a, b result) int { return a.start.Compare(b.start) }).start
		r.checkSoundServed(v, deadly[0].route, results, func(x result) bool { return x.end.Before(first) }, func(x result) bool { return x.start.After(known) && x.start.Before(last) })
	}
}

// crashTimes returns the times at which targets crashed under a deadly request, in order.
func crashTimes(reached []reach) []time.Time {
	ended := map[string]time.Time{}
	for _, x := range reached {
		if at, ok := ended[x.run.Instance]; x.run.Lost && (!ok || x.run.Ended.Before(at)) {
			ended[x.run.Instance] = x.run.Ended
		}
	}
	var times []time.Time
	for _, at := range ended {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// checkSoundServed compares the shares of the sound requests of a route that were served
// without and with the deadly request. Requests to daemons with a fault do not count.
func (r *run) checkSoundServed(v violations, to route, results []result, without, with func(result) bool) {
	share := func(counts func(result) bool) (float64, int) {
		served, n := 0, 0
		for _, x := range results {
			if x.route != to || x.name != x.id || x.cancelled || !counts(x) || r.faultDuring(x.daemon.name, x.start, x.end) {
				continue
			}
			n++
			if x.status == http.StatusOK && x.err == nil {
				served++
			}
		}
		return float64(served) / float64(cmp.Or(n, 1)), n
	}
	before, n := share(without)
	after, m := share(with)
	if min(n, m) >= minSoundRequests && after < minServedShare*before {
		v.add("starved", "%.0f of 100 sound requests of route %s were served, %.0f without the deadly request (of %d and %d)", 100*after, to.name, 100*before, m, n)
	}
}

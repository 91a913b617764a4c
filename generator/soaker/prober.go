package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"monsoondeck.example/sleeper"
)

// probeInterval is the time between two looks at the configuration of a daemon.
const probeInterval = 150 * time.Millisecond

// prober follows which version of the configuration is in force in each daemon,
// by the routes that it serves.
type prober struct {
	soak *run

	mutex sync.Mutex
	// reverted describes the daemons that served an older version after a newer one.
	reverted []string
	// ids counts the requests of the prober, which targets see as well.
	ids map[string]bool
}

func newProber(r *run) *prober { return &prober{soak: r, ids: map[string]bool{}} }

// follow follows all daemons until the context ends.
func (p *prober) follow(ctx context.Context) {
	var group sync.WaitGroup
	for i, d := range p.soak.fleet.daemons {
		group.Go(func() { p.watch(ctx, d, rand.New(rand.NewPCG(p.soak.options.Seed, uint64(i)+10000))) })
	}
	group.Wait()
}

// watch asks for the route of the newest version and, once a version was seen,
// for that of an older one, which must no longer run.
func (p *prober) watch(ctx context.Context, d *daemon, r *rand.Rand) {
	client, closeClient := newClient()
	defer closeClient()
	seen, incarnation := uint64(0), 0
	for n := 0; sleeper.Sleep(ctx, probeInterval); n++ {
		if now := d.run(); now != incarnation {
			seen, incarnation = 0, now
		}
		latest := p.soak.fleet.latest()
		if p.ask(client, d, latest, n) == 200 {
			seen = max(seen, latest)
		}
		if seen < 2 {
			continue
		}
		older := 1 + r.Uint64N(seen-1)
		// A daemon that has started again meanwhile may know an older version.
		if p.ask(client, d, older, n) == 200 && d.run() == incarnation {
			p.mutex.Lock()
			p.reverted = append(p.reverted, fmt.Sprintf("%s served version %d after %d", d.name, older, seen))
			p.mutex.Unlock()
		}
	}
}

// ask returns the status of a request to the route of a version; 0 is none.
func (p *prober) ask(client *http.Client, d *daemon, version uint64, n int) int {
	id := fmt.Sprintf("probe-%s-%d-%d", d.name, version, n)
	p.mutex.Lock()
	p.ids[id] = true
	p.mutex.Unlock()
	status, _, _, err := post(context.Background(), client, d.callers, route{name: versionRoute(version), service: deskService}, id, 0, 10, false)
	if err != nil {
		return 0
	}
	return status
}

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

// probeInterval is the time between two probes of the configuration version of a
// daemon.
const probeInterval = 150 * time.Millisecond

// prober checks that no daemon goes back to an older version of the configuration.
// It recognises the version by the routes that a daemon serves.
type prober struct {
	run *run

	mutex sync.Mutex
	// reverted describes the daemons that served an older version after a newer one.
	reverted []string
	// ids holds the ids of the prober's requests, which targets record as well.
	ids map[string]bool
}

func newProber(r *run) *prober { return &prober{run: r, ids: map[string]bool{}} }

// probeAll probes all daemons until the context ends.
func (p *prober) probeAll(ctx context.Context) {
	var group sync.WaitGroup
	for i, d := range p.run.fleet.daemons {
		group.Go(func() { p.probeDaemon(ctx, d, rand.New(rand.NewPCG(p.run.options.Seed, uint64(i)+10000))) })
	}
	group.Wait()
}

// probeDaemon requests the route of the newest version and, once a version was
// served, that of an older one, which must no longer be served.
func (p *prober) probeDaemon(ctx context.Context, d *daemon, r *rand.Rand) {
	client, closeClient := newClient()
	defer closeClient()
	seen, incarnation := uint64(0), 0
	for n := 0; sleeper.Sleep(ctx, probeInterval); n++ {
		if now := d.currentIncarnation(); now != incarnation {
			seen, incarnation = 0, now
		}
		latest := p.run.fleet.latestVersion()
		if p.requestVersion(client, d, latest, n) == 200 {
			seen = max(seen, latest)
		}
		if seen < 2 {
			continue
		}
		older := 1 + r.Uint64N(seen-1)
		// A daemon that was restarted in the meantime may use an older version.
		if p.requestVersion(client, d, older, n) == 200 && d.currentIncarnation() == incarnation {
			p.mutex.Lock()
			p.reverted = append(p.reverted, fmt.Sprintf("%s served version %d after %d", d.name, older, seen))
			p.mutex.Unlock()
		}
	}
}

// requestVersion sends a request to the route of a version and returns the status,
// or 0 without a response.
func (p *prober) requestVersion(client *http.Client, d *daemon, version uint64, n int) int {
	id := fmt.Sprintf("probe-%s-%d-%d", d.name, version, n)
	p.mutex.Lock()
	p.ids[id] = true
	p.mutex.Unlock()
	status, _, _, err := post(context.Background(), client, d.callerAddress, request{route: route{name: versionRoute(version), service: plainService}, id: id, name: id, size: 10})
	if err != nil {
		return 0
	}
	return status
}

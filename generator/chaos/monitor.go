package chaos

import (
	"context"
	"sync"
	"time"

	"monsoondeck.example/generator/launcher"
)

// pollInterval is the time between two readings of a daemon's status.
const pollInterval = 100 * time.Millisecond

// observation is one successful reading of a daemon's status.
type observation struct {
	at          time.Time
	incarnation uint64
	version     uint64
	ready       bool
}

// monitor polls the configuration version of every daemon.
type monitor struct {
	fleet *launcher.Fleet

	mu   sync.Mutex
	seen map[string][]observation // by daemon ID, in order of time
	// reverted counts the times that a daemon went back to an older version without
	// a restart.
	reverted int
}

func newMonitor(f *launcher.Fleet) *monitor {
	return &monitor{fleet: f, seen: map[string][]observation{}}
}

func (m *monitor) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, d := range m.fleet.Daemons {
		group.Go(func() {
			for sleep(ctx, pollInterval) == nil {
				if s, err := d.Status(ctx); err == nil {
					m.observe(d.ID, observation{time.Now(), s.Incarnation, s.ConfigVersion, s.Ready})
				}
			}
		})
	}
	group.Wait()
}

func (m *monitor) observe(daemon string, o observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.seen[daemon]
	if n := len(list); n > 0 && list[n-1].incarnation == o.incarnation && o.version < list[n-1].version {
		m.reverted++
	}
	m.seen[daemon] = append(list, o)
}

// lag returns how long after from the slowest daemon still had an older version. A
// daemon that cannot be read or is not ready is skipped meanwhile, as it is down,
// paused or stopping.
func (m *monitor) lag(version uint64, from time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var worst time.Duration
	for _, list := range m.seen {
		for _, o := range list {
			if o.at.Before(from) || !o.ready {
				continue
			}
			if o.version >= version {
				break
			}
			worst = max(worst, o.at.Sub(from))
		}
	}
	return worst
}

package gateway

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"monsoondeck.example/gateway/shedder"
	"monsoondeck.example/logger"
)

// connectionGate keeps the connections of callers within the descriptors of the host. It
// is safe for concurrent use.
type connectionGate struct {
	connections *connectionTracker
	clock       func() time.Duration
	logger      *slog.Logger
	// replaced is the number of idle connections that were closed to make room, refused
	// that of new connections for which there was no room.
	replaced, refused atomic.Int64

	// mutex guards the fields below.
	mutex sync.Mutex
	limit *shedder.ConnectionLimit
	// unready is set while the host asks for no new connections.
	unready bool
}

func newConnectionGate(limit int, connections *connectionTracker, clock func() time.Duration, l *slog.Logger) *connectionGate {
	return &connectionGate{limit: shedder.NewConnectionLimit(limit), connections: connections, clock: clock, logger: l}
}

// admit decides what happens to a new connection.
func (g *connectionGate) admit() shedding {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	o := g.connections.occupancy()
	admission := g.limit.Admit(g.clock(), o)
	g.updateReadiness(o)
	if admission == shedder.Replace {
		if g.connections.closeLongestIdle() {
			g.replaced.Add(1)
		} else {
			admission = shedder.Refuse
		}
	}
	if admission == shedder.Refuse {
		g.refused.Add(1)
		return refuseConnection
	}
	return keepConnection
}

// ready reports whether the balancer should send new connections to this host.
func (g *connectionGate) ready() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.updateReadiness(g.connections.occupancy())
}

// updateReadiness returns whether the host is ready and logs a change. The caller holds
// the mutex.
func (g *connectionGate) updateReadiness(o shedder.Occupancy) bool {
	ready := g.limit.Ready(g.clock(), o)
	if g.unready == ready {
		g.unready = !ready
		logger.Emit(g.logger, logger.HostFull, slog.Bool("unready", g.unready), slog.Int("open", o.Open), slog.Int("idle", o.Idle), slog.Int64("refused", g.refused.Load()))
	}
	return ready
}

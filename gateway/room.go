package gateway

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"monsoondeck.example/gateway/shedder"
	"monsoondeck.example/logger"
)

// overloadMonitor measures how late the timers of the process fire and decides from
// that whether the host can serve one more request. It implements receiver.LoadShedder.
type overloadMonitor struct {
	// maxActive is the maximum number of requests in progress.
	maxActive int64
	// shareBits holds the share of requests that is refused, as the bits of a float64.
	shareBits atomic.Uint64
	// unready is set while readiness is off, so that the balancer sends new callers to
	// other hosts.
	unready atomic.Bool
	// closeAfterAnswer is set while connections of callers are closed after their
	// answers, so that the callers connect to other hosts.
	closeAfterAnswer atomic.Bool
	accounts         accountService

	// mutex guards the fields below. spreader spreads the admitted connections and requests,
	// readmissions the connections that are taken back from the refuser.
	mutex                  sync.Mutex
	spreader, readmissions shedder.Spreader
	divider                shedder.Divider
	// refused is the number of requests that were refused since the last report, by account.
	refused map[string]int

	// shedder is only accessed by the goroutine of run.
	shedder *shedder.Shedder
	clock   func() time.Duration
	logger  *slog.Logger
}

// accountService knows the recent service of the accounts and adds to their demand.
type accountService interface {
	// Served returns the recent service of an account in the whole fleet; false if it is not
	// known.
	Served(account string) (float64, bool)
	// RecordRefused adds requests that were refused unread, by account; false if it could not.
	RecordRefused(requests map[string]int) bool
}

func newOverloadMonitor(memory int64, descriptors int, accounts accountService, clock func() time.Duration, l *slog.Logger) *overloadMonitor {
	s := shedder.New(memory)
	maxActive := s.Limit()
	if targets := shedder.Divide(descriptors).Targets; targets > 0 {
		maxActive = min(maxActive, int64(targets)) // each needs a connection to a target
	}
	return &overloadMonitor{maxActive: maxActive, shedder: s, accounts: accounts, refused: map[string]int{}, clock: clock, logger: l}
}

// Admit implements receiver.LoadShedder. The first request on a new connection was admitted
// with it.
func (m *overloadMonitor) Admit(r *http.Request, account string, active int64) bool {
	if active > m.maxActive {
		return false
	}
	if a, ok := r.Context().Value(admissionKey{}).(*connectionAdmission); ok && a.take() {
		return true
	}
	share := m.refusedShare()
	if share == 0 {
		return true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.spreader.Admit(m.refusedShareOf(account, share)) || m.countRefused(account)
}

// ShouldCloseConnections implements receiver.LoadShedder.
func (m *overloadMonitor) ShouldCloseConnections() bool { return m.closeAfterAnswer.Load() }

// shedConnection decides, in view of the refused share, whether a new connection should be
// refused.
func (m *overloadMonitor) shedConnection() shedding {
	share := m.refusedShare()
	if share < shedder.MinConnectionShare {
		return keepConnection
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.spreader.Admit(share) {
		return keepConnection
	}
	return refuseConnection
}

// readmit decides whether a connection that was refused unread is served nevertheless, because
// its request is of an account that has had less service than the others at this host.
func (m *overloadMonitor) readmit(account string) bool {
	share := m.refusedShare()
	if share == 0 {
		return true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	// Of the connections of the account, a part was kept unseen. The shares are such that the
	// refused part of all of them is that of the account.
	return m.readmissions.Admit(min(m.refusedShareOf(account, share)/share, 1)) || m.countRefused(account)
}

// countRefused counts a refused request and returns false. The caller holds the mutex.
func (m *overloadMonitor) countRefused(account string) bool {
	if account != "" {
		m.refused[account]++
	}
	return false
}

// reportRefused reports the refused requests that were counted since the last report.
func (m *overloadMonitor) reportRefused() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.refused) > 0 && m.accounts.RecordRefused(m.refused) {
		m.refused = map[string]int{}
	}
}

// refusedShareOf returns the share to refuse of the requests of an account, if the given share
// of all requests is refused. The caller holds the mutex.
func (m *overloadMonitor) refusedShareOf(account string, share float64) float64 {
	service, known := m.accounts.Served(account)
	if !known || account == "" {
		return share
	}
	m.divider.Record(service)
	return m.divider.RefusedShare(share, service)
}

// refusedShare returns the share of requests that is refused, between 0 and 1.
func (m *overloadMonitor) refusedShare() float64 { return math.Float64frombits(m.shareBits.Load()) }

// run measures the timer lag and updates the published values until the context
// ends.
func (m *overloadMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		start := m.clock()
		time.Sleep(shedder.TimerInterval)
		// A goroutine whose timer fires runs ahead of those that wait for a processor.
		// After yielding it waits behind them, so that their waiting time is measured.
		runtime.Gosched()
		now := m.clock()
		m.shedder.RecordTimerDelay(now, now-start-shedder.TimerInterval)
		m.shareBits.Store(math.Float64bits(m.shedder.RefusedShare()))
		m.closeAfterAnswer.Store(m.shedder.ShouldCloseConnections(now))
		m.reportRefused()
		if unready := m.shedder.Unready(now); m.unready.Swap(unready) != unready {
			logger.Emit(m.logger, logger.HostBusy, slog.Bool("resting", unready), slog.Float64("refusedShare", m.refusedShare()))
		}
	}
}

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

	"golang.org/x/sys/unix"

	"monsoondeck.example/gateway/shedder"
	"monsoondeck.example/logger"
)

// overloadMonitor decides whether the host can serve one more request: by the processor time
// that requests take, and by how late the timers of the process fire. It implements
// receiver.LoadShedder.
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
	budget                 *shedder.ProcessorBudget
	spreader, readmissions shedder.Spreader
	divider                shedder.Divider
	// refused is the number of requests that were refused since the last report, by account.
	refused map[string]int

	// shedder is only accessed by the goroutine of run.
	shedder *shedder.Shedder
	// processorTime returns the processor time that the process has used; false if it is not
	// known.
	processorTime func() (time.Duration, bool)
	clock         func() time.Duration
	logger        *slog.Logger
}

// accountService knows the recent service of the accounts and adds to their demand.
type accountService interface {
	// Served returns the recent service of an account in the whole fleet; false if it is not
	// known.
	Served(account string) (float64, bool)
	// RecordRefused adds requests that were refused unread, by account; false if it could not.
	RecordRefused(requests map[string]int) bool
}

// minPreference is the least multiple by which the mean service of the accounts at a host must
// exceed that of an account whose requests may exceed the budget.
const minPreference = 2

// hostSize is what a host can use; 0 means unknown.
type hostSize struct {
	memoryBytes int64
	descriptors int
	// cores is the processor time in seconds per second.
	cores float64
}

func newOverloadMonitor(h hostSize, accounts accountService, clock func() time.Duration, l *slog.Logger) *overloadMonitor {
	s := shedder.New(h.memoryBytes)
	maxActive := s.Limit()
	if targets := shedder.Divide(h.descriptors).Targets; targets > 0 {
		maxActive = min(maxActive, int64(targets)) // each needs a connection to a target
	}
	return &overloadMonitor{
		maxActive: maxActive, shedder: s, budget: shedder.NewProcessorBudget(h.cores), processorTime: processorTime,
		accounts: accounts, refused: map[string]int{}, clock: clock, logger: l,
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() (time.Duration, bool) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, false // cannot happen: the arguments are valid
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), true
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
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.budget.Known() {
		return m.admitByBudget(account, &m.spreader) || m.refuse(account)
	}
	share := m.refusedShare()
	return share == 0 || m.spreader.Admit(m.refusedShareOf(account, share)) || m.refuse(account)
}

// admitByBudget takes the processor time of a request of an account. One that has had less
// service than the others at this host may take what later requests would. The caller holds
// the mutex.
func (m *overloadMonitor) admitByBudget(account string, spread *shedder.Spreader) bool {
	now := m.clock()
	share := m.budget.RefusedShare(now)
	refused := m.refusedShareOf(account, share)
	if m.budget.Admit(now) {
		return true
	}
	// Only an account that is well below the mean of this host goes before the others.
	return refused <= max(1-minPreference*(1-share), 0) && share > 0 && spread.Admit(refused) && m.budget.AdmitPreferred(now)
}

// refuse counts a refused request and returns false. The caller holds the mutex.
func (m *overloadMonitor) refuse(account string) bool {
	m.budget.Refuse(m.clock())
	return m.countRefused(account)
}

// ShouldCloseConnections implements receiver.LoadShedder.
func (m *overloadMonitor) ShouldCloseConnections() bool { return m.closeAfterAnswer.Load() }

// shedConnection decides, in view of the refused share, whether a new connection should be
// refused.
func (m *overloadMonitor) shedConnection() shedding {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.budget.Known() {
		now := m.clock()
		if m.budget.Admit(now) {
			return keepConnection
		}
		if !m.budget.MayRefuse(now) {
			return holdConnection
		}
		m.budget.Refuse(now)
		return refuseConnection
	}
	share := m.refusedShare()
	if share < shedder.MinConnectionShare || m.spreader.Admit(share) {
		return keepConnection
	}
	return refuseConnection
}

// returnAdmission takes back that a connection was admitted, which is refused for another reason.
func (m *overloadMonitor) returnAdmission() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.budget.Return(m.clock())
}

// readmit decides whether a connection that was refused unread is served nevertheless, because
// its request is of an account that has had less service than the others at this host.
func (m *overloadMonitor) readmit(account string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.budget.Known() {
		if m.admitByBudget(account, &m.readmissions) {
			m.budget.TakeBackRefusal(m.clock())
			return true
		}
		return m.countRefused(account)
	}
	share := m.refusedShare()
	if share == 0 {
		return true
	}
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

// recordUse brings the budget and the readiness of the host up to date by the delay of a timer.
func (m *overloadMonitor) recordUse(now, delay time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if used, ok := m.processorTime(); ok && m.budget.Known() {
		m.budget.RecordUse(now, used, delay)
		m.shedder.RecordRefused(m.budget.RefusedShare(now))
	}
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
		delay := now - start - shedder.TimerInterval
		m.shedder.RecordTimerDelay(now, delay)
		m.recordUse(now, delay)
		m.shareBits.Store(math.Float64bits(m.shedder.RefusedShare()))
		m.closeAfterAnswer.Store(m.shedder.ShouldCloseConnections(now))
		m.reportRefused()
		if unready := m.shedder.Unready(now); m.unready.Swap(unready) != unready {
			logger.Emit(m.logger, logger.HostBusy, slog.Bool("resting", unready), slog.Float64("refusedShare", m.refusedShare()))
		}
	}
}

package gateway

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"

	"monsoondeck.example/gateway/shedder"
	"monsoondeck.example/logger"
)

// lagInterval is the time between two measurements of the delay of timers.
const lagInterval = 50 * time.Millisecond

// room measures the delay of timers and tells whether the host can take one
// more request. It implements receiver.Room.
type room struct {
	limit int64
	// share holds the bits of the part of the requests that is refused.
	share atomic.Uint64
	// resting is set while the balancer should send new callers elsewhere.
	resting atomic.Bool
	// moving is set while callers should connect elsewhere.
	moving atomic.Bool
	// shedder belongs to the goroutine of run.
	shedder *shedder.Shedder
	clock   func() time.Duration
	logger  *slog.Logger
}

func newRoom(memory int64, clock func() time.Duration, l *slog.Logger) *room {
	s := shedder.New(memory)
	return &room{limit: s.Limit(), shedder: s, clock: clock, logger: l}
}

// Take implements receiver.Room.
func (r *room) Take(active int64) bool {
	share := r.refused()
	return active <= r.limit && (share == 0 || rand.Float64() >= share)
}

// Moving implements receiver.Room.
func (r *room) Moving() bool { return r.moving.Load() }

// full reports whether a new connection should be closed unread.
func (r *room) full() bool {
	share := r.refused()
	return share >= closeShare && rand.Float64() < share
}

// closeShare is the refused part of the requests from which new connections are
// closed unread. Below it the host has the time to refuse with an answer.
const closeShare = 0.3

// refused returns the part of the requests that is refused.
func (r *room) refused() float64 { return math.Float64frombits(r.share.Load()) }

func (r *room) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := r.clock()
		time.Sleep(lagInterval)
		// A goroutine whose timer fires runs before those that wait for the processor;
		// one that yields waits behind them.
		runtime.Gosched()
		now := r.clock()
		r.shedder.Lag(now, now-began-lagInterval)
		r.share.Store(math.Float64bits(r.shedder.Share()))
		r.moving.Store(r.shedder.Moving(now))
		if resting := r.shedder.Resting(now); r.resting.Swap(resting) != resting {
			logger.Emit(r.logger, logger.HostBusy, slog.Bool("resting", resting), slog.Float64("refusedShare", r.refused()))
		}
	}
}

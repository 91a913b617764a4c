package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"monsoondeck.example/gateway/shedder"
)

// lagInterval is the time between two measurements of the delay of timers.
const lagInterval = 50 * time.Millisecond

// room measures the delay of timers and tells whether the host can take one
// more request. It implements receiver.Room.
type room struct {
	limit int64
	// share holds the bits of the part of the requests that is refused.
	share   atomic.Uint64
	shedder *shedder.Shedder
}

func newRoom(memory int64) *room {
	s := shedder.New(memory)
	return &room{limit: s.Limit(), shedder: s}
}

// Take implements receiver.Room.
func (r *room) Take(active int64) bool {
	share := math.Float64frombits(r.share.Load())
	return active <= r.limit && (share == 0 || rand.Float64() >= share)
}

func (r *room) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(lagInterval)
		r.shedder.Lag(time.Since(began) - lagInterval)
		r.share.Store(math.Float64bits(r.shedder.Share()))
	}
}

package watcher

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/logger"
	"monsoondeck.example/sleeper"
)

// followerGrowth is the factor between the times to the next calls of a follower:
// the first one is repeated soon, since only a connection may have been lost.
const followerGrowth = 4

// loop is the state of one sequence of calls.
type loop struct {
	watcher *Watcher
	name    string
	// lost is the time of the first failed call in a row.
	lost  time.Time
	retry time.Duration
}

func (w *Watcher) loop(name string) *loop { return &loop{watcher: w, name: name} }

// failed records a failed call and waits before the next one.
func (l *loop) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.watcher.failures.Add(1)
	if l.lost.IsZero() {
		l.lost = time.Now()
		logger.Emit(l.watcher.options.Logger, logger.PlatformUnavailable, slog.String("what", l.name), slog.String("error", err.Error()))
	}
	limit, growth := maxRetry, time.Duration(2)
	if l.watcher.options.Role().Follower {
		limit, growth = followerRetry, followerGrowth
	}
	l.retry = min(max(growth*l.retry, minRetry), limit)
	if errors.Is(err, ErrHistoryLost) {
		l.retry = minRetry
	}
	sleeper.Sleep(ctx, jitter(l.retry))
}

// succeeded records an answered call and reports whether the one before failed.
func (l *loop) succeeded() bool {
	back := !l.lost.IsZero()
	if back {
		logger.Emit(l.watcher.options.Logger, logger.PlatformAvailable, slog.String("what", l.name), slog.Duration("lost", time.Since(l.lost)))
	}
	l.lost, l.retry = time.Time{}, 0
	return back
}

// jitter varies a time by up to a quarter, so that daemons do not call together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

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

// followerBackoffFactor is the factor by which a follower increases the delay after
// each failed call. The first repetition still comes soon, since only a connection
// may have been lost.
const followerBackoffFactor = 4

// backoff is the retry state of one sequence of calls.
type backoff struct {
	watcher *Watcher
	name    string
	// failingSince is the time of the first of the current failed calls; zero if the
	// last call succeeded.
	failingSince time.Time
	// delay is the time until the next call, without jitter.
	delay time.Duration
}

// newBackoff returns the retry state of the calls for what name says, which is the
// attribute "what" of log records.
func (w *Watcher) newBackoff(name string) *backoff { return &backoff{watcher: w, name: name} }

// failed records a failed call and sleeps until the next one is due.
func (b *backoff) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	b.watcher.failures.Add(1)
	if b.failingSince.IsZero() {
		b.failingSince = time.Now()
		logger.Emit(b.watcher.options.Logger, logger.PlatformUnavailable, slog.String("what", b.name), slog.String("error", err.Error()))
	}
	maximum, factor := maxBackoff, time.Duration(2)
	if b.watcher.options.Role().Follower {
		maximum, factor = followerMaxBackoff, followerBackoffFactor
	}
	b.delay = min(max(factor*b.delay, minBackoff), maximum)
	if errors.Is(err, ErrCompacted) {
		b.delay = minBackoff
	}
	sleeper.Sleep(ctx, jitter(b.delay))
}

// succeeded records a successful call and reports whether the previous one failed.
func (b *backoff) succeeded() bool {
	recovered := !b.failingSince.IsZero()
	if recovered {
		logger.Emit(b.watcher.options.Logger, logger.PlatformAvailable, slog.String("what", b.name), slog.Duration("lost", time.Since(b.failingSince)))
	}
	b.failingSince, b.delay = time.Time{}, 0
	return recovered
}

// jitter varies a duration by up to a quarter, so that daemons do not call the
// store at the same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// pace bounds the number of calls of one sequence: a burst after a quiet time, then one
// per interval.
type pace struct {
	interval time.Duration
	burst    int
	// due is the time of the next call; a time before now stands for saved calls.
	due time.Time
}

// wait sleeps until the next call may be made and counts it. If it had to sleep, it only
// reports so, and the caller decides anew.
func (p *pace) wait(ctx context.Context) bool {
	now := time.Now()
	if oldest := now.Add(-time.Duration(p.burst-1) * p.interval); p.due.Before(oldest) {
		p.due = oldest
	}
	if left := p.due.Sub(now); left > 0 {
		sleeper.Sleep(ctx, left)
		return true
	}
	p.due = p.due.Add(p.interval)
	return false
}

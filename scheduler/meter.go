package scheduler

import "time"

// meter measures the service rate in units per second. The rate follows an increase at once
// and a decrease slowly, so that a short lull does not shrink the cap.
type meter struct {
	since time.Duration
	// own and remote are the units since then of this shard and of the other shards.
	own, remote         float64
	ownRate, remoteRate float64
}

const (
	meterInterval = time.Second
	// meterDecay is the part of the rate kept per interval while the rate falls.
	meterDecay = 0.9
	// maximumShards bounds the estimate of the pool's size relative to this shard. It is
	// more than the 23 shards of the largest pool in the design's fleet of 3,300 targets.
	maximumShards = 64
)

func (m *meter) tick(now time.Duration) {
	elapsed := now - m.since
	if elapsed < meterInterval {
		return
	}
	m.ownRate = follow(m.ownRate, m.own/elapsed.Seconds())
	m.remoteRate = follow(m.remoteRate, m.remote/elapsed.Seconds())
	m.own, m.remote, m.since = 0, 0, now
}

func follow(rate, sample float64) float64 { return max(sample, rate*meterDecay, 0) }

// pool is the service rate of all shards.
func (m *meter) pool() float64 { return m.ownRate + m.remoteRate }

// shards estimates how many shards of this size the pool has.
func (m *meter) shards() float64 {
	if m.ownRate <= 0 {
		return 1
	}
	return min(m.pool()/m.ownRate, maximumShards)
}

package scheduler

import "time"

// rateMeter measures the service rate in units per second. The rate follows an increase at the
// end of the interval and a decrease gradually, so that a short drop in load does not lower the
// adjustment cap.
type rateMeter struct {
	intervalStart time.Duration
	// ownUnits and remoteUnits are the units charged by this shard and by the other shards since
	// intervalStart.
	ownUnits, remoteUnits float64
	// ownRate and remoteRate are the decaying maxima of the rates of the past intervals, in
	// units per second.
	ownRate, remoteRate float64
}

const (
	meterInterval = time.Second
	// meterDecay is the fraction of the rate that is kept per interval while the rate falls.
	meterDecay = 0.9
	// maximumShards bounds the estimate of the pool's size relative to this shard. The largest
	// pool in a fleet of 3,300 targets has 23 shards.
	maximumShards = 64
)

// advanceClock updates the rates at the end of an interval.
func (m *rateMeter) advanceClock(now time.Duration) {
	elapsed := now - m.intervalStart
	if elapsed < meterInterval {
		return
	}
	m.ownRate = decayingMaximum(m.ownRate, m.ownUnits/elapsed.Seconds())
	m.remoteRate = decayingMaximum(m.remoteRate, m.remoteUnits/elapsed.Seconds())
	m.ownUnits, m.remoteUnits, m.intervalStart = 0, 0, now
}

// decayingMaximum returns the sample or the decayed rate, whichever is larger.
func decayingMaximum(rate, sample float64) float64 { return max(sample, rate*meterDecay, 0) }

// poolRate returns the service rate of all shards, in units per second.
func (m *rateMeter) poolRate() float64 { return m.ownRate + m.remoteRate }

// estimatedShards returns the size of the pool as a multiple of this shard's service rate.
func (m *rateMeter) estimatedShards() float64 {
	if m.ownRate <= 0 {
		return 1
	}
	return min(m.poolRate()/m.ownRate, maximumShards)
}

package exchanger

import (
	"math"
	"slices"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/messenger"
)

// Units of the columns of messenger.TargetWork. The rounding is too small to change the
// choice of a target, and most encoded values fit into two bytes.
const (
	// prefillUnit and memoryUnit are in tokens.
	prefillUnit = 16.0
	memoryUnit  = 64.0
	// gapUnit is the unit of the mean gap between two events of a stream.
	gapUnit = 4 * time.Millisecond
	// speedUnit is in tokens per millisecond.
	speedUnit = 0.1
	// maxSamples bounds the decoded numbers of event gaps and of speed samples. It
	// exceeds the number of recent gaps or samples at any target.
	maxSamples = 1 << 20
	// wantedUnit is in requests per second, like maxLimit, beyond which a limit does not
	// matter.
	wantedUnit = 1.0 / 16
	maxLimit   = 1e9
)

func encodeLoads(loads []placer.Load) *messenger.TargetWork {
	m := &messenger.TargetWork{}
	for _, l := range loads {
		gaps, samples := roundToUint(l.EventGaps), roundToUint(l.SpeedSamples)
		var meanGap, speed uint64
		if gaps > 0 {
			meanGap = roundToUint(float64(l.EventGapSum) / float64(gapUnit) / l.EventGaps)
		}
		if samples > 0 {
			// The geometric mean of the samples, since placer sums their logarithms.
			speed = roundToUint(math.Exp(l.LogSpeedSum/l.SpeedSamples) / speedUnit)
		}
		m.Targets = append(m.Targets, uint64(l.Target))
		m.Unread = append(m.Unread, roundToUint(l.PrefillTokens/prefillUnit))
		m.Running = append(m.Running, uint64(max(l.Running, 0)))
		m.Memory = append(m.Memory, roundToUint(l.MemoryTokens/memoryUnit))
		m.Events = append(m.Events, gaps)
		m.Pause = append(m.Pause, meanGap)
		m.Samples = append(m.Samples, samples)
		m.SpeedTenths = append(m.SpeedTenths, speed)
	}
	if slices.ContainsFunc(loads, func(l placer.Load) bool { return l.LimitKnown || l.Wanted > 0 }) {
		encodeLimits(m, loads)
	}
	return m
}

// encodeLimits adds the columns about request limits, which most reports do not have.
func encodeLimits(m *messenger.TargetWork, loads []placer.Load) {
	for _, l := range loads {
		var limit, age uint64
		if l.LimitKnown {
			age = uint64(max(l.LimitAge.Milliseconds(), 0)) + 1
		}
		if l.LimitKnown && l.Limit.Limited {
			limit = roundToUint(min(l.Limit.PerSecond, maxLimit)*1000) + 1
		}
		m.Wanted = append(m.Wanted, roundToUint(l.Wanted/wantedUnit))
		m.LimitMilli = append(m.LimitMilli, limit)
		m.LimitAge = append(m.LimitAge, age)
	}
}

// decodeLimit sets the fields about the request limit of load i.
func decodeLimit(l *placer.Load, m messenger.TargetWork, i int) {
	l.Wanted = float64(min(valueAt(m.Wanted, i), maxSamples)) * wantedUnit
	age, limit := valueAt(m.LimitAge, i), valueAt(m.LimitMilli, i)
	if age == 0 {
		return
	}
	l.LimitKnown, l.LimitAge = true, decodeAge(age-1)
	if limit > 0 {
		l.Limit = placer.RequestLimit{Limited: true, PerSecond: float64(min(limit-1, uint64(maxLimit*1000))) / 1000}
	}
}

func decodeLoads(m messenger.TargetWork) []placer.Load {
	loads := make([]placer.Load, 0, len(m.Targets))
	for i, key := range m.Targets {
		l := placer.Load{
			Target: placer.Key(key & math.MaxUint32), PrefillTokens: float64(valueAt(m.Unread, i)) * prefillUnit,
			Running: int(min(valueAt(m.Running, i), math.MaxInt32)), MemoryTokens: float64(valueAt(m.Memory, i)) * memoryUnit,
			EventGaps: float64(min(valueAt(m.Events, i), maxSamples)),
		}
		meanGap := min(valueAt(m.Pause, i), uint64(maxDecodedDuration/gapUnit))
		l.EventGapSum = time.Duration(l.EventGaps * float64(meanGap) * float64(gapUnit))
		if speed := valueAt(m.SpeedTenths, i); speed > 0 {
			l.SpeedSamples = float64(min(valueAt(m.Samples, i), maxSamples))
			// Own samples are at least 1 token per millisecond, so decoded ones are bounded
			// likewise.
			l.LogSpeedSum = l.SpeedSamples * math.Log(max(float64(speed)*speedUnit, 1))
		}
		decodeLimit(&l, m, i)
		loads = append(loads, l)
	}
	return loads
}

// valueAt returns element i of a column, or 0 if the column is too short.
func valueAt(column []uint64, i int) uint64 {
	if i >= len(column) {
		return 0
	}
	return column[i]
}

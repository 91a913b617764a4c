package exchanger

import (
	"math"
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
	return m
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

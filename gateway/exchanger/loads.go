package exchanger

import (
	"math"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/messenger"
)

// Units of the columns of messenger.TargetWork. They are too small to change the
// choice of a target, and keep most encoded values within two bytes.
const (
	// unreadUnit and memoryUnit are in tokens.
	unreadUnit = 16.0
	memoryUnit = 64.0
	// pauseUnit is the unit of the mean pause between two events of a stream.
	pauseUnit = 4 * time.Millisecond
	// speedUnit is in tokens per millisecond.
	speedUnit = 0.1
	// maxSamples bounds decoded numbers of events and samples; it is beyond the number
	// of recent ones at any target.
	maxSamples = 1 << 20
)

func encodeLoads(loads []placer.Load) *messenger.TargetWork {
	m := &messenger.TargetWork{}
	for _, l := range loads {
		events, samples := roundToUint(l.EventGaps), roundToUint(l.SpeedSamples)
		var pause, speed uint64
		if events > 0 {
			pause = roundToUint(float64(l.EventGapSum) / float64(pauseUnit) / l.EventGaps)
		}
		if samples > 0 {
			speed = roundToUint(math.Exp(l.LogSpeedSum/l.SpeedSamples) / speedUnit)
		}
		m.Targets = append(m.Targets, uint64(l.Target))
		m.Unread = append(m.Unread, roundToUint(l.PrefillTokens/unreadUnit))
		m.Running = append(m.Running, uint64(max(l.Running, 0)))
		m.Memory = append(m.Memory, roundToUint(l.MemoryTokens/memoryUnit))
		m.Events = append(m.Events, events)
		m.Pause = append(m.Pause, pause)
		m.Samples = append(m.Samples, samples)
		m.SpeedTenths = append(m.SpeedTenths, speed)
	}
	return m
}

func decodeLoads(m messenger.TargetWork) []placer.Load {
	loads := make([]placer.Load, 0, len(m.Targets))
	for i, key := range m.Targets {
		l := placer.Load{
			Target: placer.Key(key & math.MaxUint32), PrefillTokens: float64(valueAt(m.Unread, i)) * unreadUnit,
			Running: int(min(valueAt(m.Running, i), math.MaxInt32)), MemoryTokens: float64(valueAt(m.Memory, i)) * memoryUnit,
			EventGaps: float64(min(valueAt(m.Events, i), maxSamples)),
		}
		pauses := min(valueAt(m.Pause, i), uint64(maxDecodedAge/pauseUnit))
		l.EventGapSum = time.Duration(l.EventGaps * float64(pauses) * float64(pauseUnit))
		if speed := valueAt(m.SpeedTenths, i); speed > 0 {
			l.SpeedSamples = float64(min(valueAt(m.Samples, i), maxSamples))
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

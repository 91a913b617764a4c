package exchanger

import (
	"math"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/messenger"
)

// Units of the columns of messenger.TargetWork. They are far below the amounts that
// decide where a request goes, and keep most values within two bytes.
const (
	unreadUnit = 16.0
	memoryUnit = 64.0
	pauseUnit  = 4 * time.Millisecond
	// speedUnit is in tokens per millisecond.
	speedUnit = 0.1
	// maxSamples is beyond any number of recent events at a target.
	maxSamples = 1 << 20
)

func encodeLoads(loads []placer.Load) *messenger.TargetWork {
	m := &messenger.TargetWork{}
	for _, l := range loads {
		events, samples := count(l.Events), count(l.Samples)
		var pause, speed uint64
		if events > 0 {
			pause = count(float64(l.Elapsed) / float64(pauseUnit) / l.Events)
		}
		if samples > 0 {
			speed = count(math.Exp(l.LogSpeed/l.Samples) / speedUnit)
		}
		m.Targets = append(m.Targets, uint64(l.Target))
		m.Unread = append(m.Unread, count(l.Unread/unreadUnit))
		m.Running = append(m.Running, uint64(max(l.Running, 0)))
		m.Memory = append(m.Memory, count(l.Memory/memoryUnit))
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
			Target: placer.Key(key & math.MaxUint32), Unread: float64(at(m.Unread, i)) * unreadUnit,
			Running: int(min(at(m.Running, i), math.MaxInt32)), Memory: float64(at(m.Memory, i)) * memoryUnit,
			Events: float64(min(at(m.Events, i), maxSamples)),
		}
		pauses := min(at(m.Pause, i), uint64(maxAge/pauseUnit))
		l.Elapsed = time.Duration(l.Events * float64(pauses) * float64(pauseUnit))
		if speed := at(m.SpeedTenths, i); speed > 0 {
			l.Samples = float64(min(at(m.Samples, i), maxSamples))
			l.LogSpeed = l.Samples * math.Log(max(float64(speed)*speedUnit, 1))
		}
		loads = append(loads, l)
	}
	return loads
}

// at returns a value of a column; 0 if it is missing.
func at(column []uint64, i int) uint64 {
	if i >= len(column) {
		return 0
	}
	return column[i]
}

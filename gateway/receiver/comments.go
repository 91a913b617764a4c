package receiver

import (
	"bytes"
	"context"
	"time"
)

const (
	// commentBurstBytes and commentBytesPerSecond bound the comments of a stream that are
	// forwarded, so that a target cannot fill the connections of callers with them. A comment
	// that keeps a connection open has some ten bytes and comes at most a few times a second.
	commentBurstBytes     = 16 << 10
	commentBytesPerSecond = 1 << 10
	// excessPause is the pause after each read with comments beyond that, so that reading
	// them takes at most 4 MiB/s and little of the processor time of the host.
	excessPause = time.Millisecond
)

// commentFilter removes the comments of a stream that exceed commentBurstBytes and
// commentBytesPerSecond. Its zero value is ready for use.
type commentFilter struct {
	// used is the part of commentBurstBytes that is in use, as of updated.
	used    float64
	updated time.Time
}

// apply returns the whole events without the comments that exceed the limit, and whether
// there were any. Blocks of lines without a field count as comments. The result is in the memory
// of events, whose content changes.
func (f *commentFilter) apply(now time.Time, events []byte) (kept []byte, excess bool) {
	if !f.updated.IsZero() {
		f.used = max(f.used-now.Sub(f.updated).Seconds()*commentBytesPerSecond, 0)
	}
	f.updated = now
	kept = events[:0]
	for len(events) > 0 {
		n, hasField := firstBlock(events)
		block := events[:n]
		events = events[n:]
		if !hasField {
			if f.used+float64(n) > commentBurstBytes {
				excess = true
				continue
			}
			f.used += float64(n)
		}
		kept = append(kept, block...)
	}
	return kept, excess
}

// firstBlock returns the length of the lines up to the first empty one, with that, and
// whether one of them has a field.
func firstBlock(events []byte) (n int, hasField bool) {
	for line := range bytes.Lines(events) {
		n += len(line)
		switch line = bytes.TrimRight(line, "\r\n"); {
		case len(line) == 0:
			return n, hasField
		case line[0] != ':':
			hasField = true
		}
	}
	return n, hasField
}

// pauseReading delays the next read of a stream by excessPause.
func pauseReading(ctx context.Context) {
	select {
	case <-time.After(excessPause):
	case <-ctx.Done():
	}
}

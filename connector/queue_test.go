package connector

import (
	"testing"
	"time"

	"monsoondeck.example/messenger"
)

func newFrame(sender string, sequence uint64) messenger.Frame {
	return messenger.Frame{Sender: sender, Incarnation: 1, Sequence: sequence}
}

// TestQueueMergesAndDrops guards against one frame per message, against expired
// frames that are sent, and against new frames dropped in favour of old ones.
func TestQueueMergesAndDrops(t *testing.T) {
	var q queue
	now := time.Now()
	q.merge(now, addProbe(1))
	q.merge(now, addProbe(2))
	if f, _ := q.take(now, time.Second); len(f.Probes) != 2 {
		t.Errorf("merged %+v", f)
	}
	dropped := 0
	fill := func(f *messenger.Frame) { f.HostMarks = make([]messenger.HostMark, maxFrameEntries) }
	for i := range maxQueuedFrames + 2 {
		_, n := q.merge(now.Add(time.Duration(i)*time.Millisecond), fill)
		dropped += n
	}
	if dropped != 2 || len(q.frames) != maxQueuedFrames || q.frames[0].since != now.Add(2*time.Millisecond) {
		t.Errorf("dropped %d of %d", dropped, maxQueuedFrames+2)
	}
	f, expired := q.take(now.Add(time.Second+4*time.Millisecond), time.Second)
	if f == nil || expired != 2 || len(q.frames) != maxQueuedFrames-3 {
		t.Errorf("expired %d, %d left", expired, len(q.frames))
	}
}

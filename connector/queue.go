package connector

import (
	"sync"
	"time"

	"monsoondeck.example/messenger"
)

const (
	// maxQueuedFrames limits the frames that wait for one peer.
	maxQueuedFrames = 8

	// maxFrameEntries is the number of entries at which a frame takes no further
	// messages. At about 60 bytes per entry this is a quarter of the frame size limit.
	maxFrameEntries = 1024
)

// queue holds the frames that wait for one peer, oldest first. Messages are
// merged into the last frame.
type queue struct {
	mutex  sync.Mutex
	frames []queuedFrame
}

type queuedFrame struct {
	frame *messenger.Frame
	// since is when its first message was merged.
	since time.Time
}

// merge applies f to the last frame, or to a new one if the last is full. It
// reports whether the queue was empty, and how many old frames it dropped to stay
// within maxQueuedFrames.
func (q *queue) merge(now time.Time, f func(*messenger.Frame)) (first bool, dropped int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	n := len(q.frames)
	first = n == 0
	if first || entries(q.frames[n-1].frame) >= maxFrameEntries {
		q.frames = append(q.frames, queuedFrame{frame: &messenger.Frame{}, since: now})
		n++
	}
	f(q.frames[n-1].frame)
	if n <= maxQueuedFrames {
		return first, 0
	}
	q.frames = append(q.frames[:0], q.frames[1:]...)
	return first, 1
}

// take removes the oldest frame; nil if there is none. It drops frames older
// than maxAge and returns their number.
func (q *queue) take(now time.Time, maxAge time.Duration) (f *messenger.Frame, dropped int) {
	dropped = q.expire(now, maxAge)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.frames) == 0 {
		return nil, dropped
	}
	f = q.frames[0].frame
	q.frames = append(q.frames[:0], q.frames[1:]...)
	return f, dropped
}

// expire drops the frames older than maxAge and returns their number.
func (q *queue) expire(now time.Time, maxAge time.Duration) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	n := 0
	for n < len(q.frames) && now.Sub(q.frames[n].since) > maxAge {
		n++
	}
	q.frames = append(q.frames[:0], q.frames[n:]...)
	return n
}

// moveTo appends the frames of q to the other queue and empties q. It drops the
// oldest frames above maxQueuedFrames.
func (q *queue) moveTo(other *queue) {
	q.mutex.Lock()
	frames := q.frames
	q.frames = nil
	q.mutex.Unlock()
	other.mutex.Lock()
	defer other.mutex.Unlock()
	other.frames = append(other.frames, frames...)
	if n := len(other.frames) - maxQueuedFrames; n > 0 {
		other.frames = append(other.frames[:0], other.frames[n:]...)
	}
}

func (q *queue) empty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.frames) == 0
}

// entries returns the number of messages of a frame and of their entries.
func entries(f *messenger.Frame) int {
	return len(f.HostMarks) +
		count(f.Probes, func(p *messenger.Probe) int { return len(p.Updates) }) +
		count(f.ProbeAcks, func(a *messenger.ProbeAck) int { return len(a.Updates) }) +
		count(f.Demands, func(d *messenger.Demand) int { return len(d.Entries) }) +
		count(f.Grants, func(g *messenger.Grants) int { return len(g.Entries) }) +
		count(f.Settlements, func(s *messenger.Settlements) int { return len(s.Entries) }) +
		count(f.Holdings, func(h *messenger.Holdings) int { return len(h.Entries) + len(h.IDs) }) +
		count(f.ServiceReports, func(r *messenger.ServiceReport) int { return len(r.Entries) }) +
		count(f.ServiceTotals, func(s *messenger.ServiceTotals) int { return len(s.Entries) }) +
		count(f.ConfigPushes, func(p *messenger.ConfigPush) int { return len(p.Body) / 64 })
}

// count returns the number of messages of a list and of their entries.
func count[T any](list []T, entries func(*T) int) int {
	n := len(list)
	for i := range list {
		n += entries(&list[i])
	}
	return n
}

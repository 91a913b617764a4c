// Package recorder writes log records without ever blocking the caller and
// within a bounded rate. Records that are dropped are counted.
package recorder

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"monsoondeck.example/logger"
)

const (
	// bufferRecords is the number of records that wait for the writer.
	bufferRecords = 2048
	// bufferBytes is the size from which waiting records are written at once.
	bufferBytes = 16 << 10
	// flushAfter is how long a record may wait, so that few records are lost when the
	// process is killed.
	flushAfter = 50 * time.Millisecond
	// DefaultRate is the number of request records per second: two for each of the
	// 78 requests per second of a daemon at the size to design for, and twice that for
	// bursts.
	DefaultRate = 400
)

// Recorder is an io.Writer whose writes do not block. It implements the output
// of a slog handler, which calls Write once per record.
type Recorder struct {
	records chan []byte
	// Dropped counts records that were not written.
	Dropped atomic.Int64
}

// New returns a Recorder that writes to w, and a function that writes what waits
// and ends it.
func New(w io.Writer) (*Recorder, func()) {
	r := &Recorder{records: make(chan []byte, bufferRecords)}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { r.run(w, stop) })
	return r, sync.OnceFunc(func() { close(stop); group.Wait() })
}

// Write takes one record; it never fails.
func (r *Recorder) Write(p []byte) (int, error) {
	select {
	case r.records <- append([]byte(nil), p...):
	default:
		r.Dropped.Add(1)
	}
	return len(p), nil
}

func (r *Recorder) run(w io.Writer, stop <-chan struct{}) {
	var pending []byte
	var flush <-chan time.Time
	write := func() {
		// There is nowhere to report that the log cannot be written.
		_, _ = w.Write(pending)
		pending, flush = pending[:0], nil
	}
	for {
		select {
		case p := <-r.records:
			pending = append(pending, p...)
			if flush == nil {
				flush = time.After(flushAfter)
			}
			if len(pending) >= bufferBytes {
				write()
			}
		case <-flush:
			write()
		case <-stop:
			for len(r.records) > 0 {
				pending = append(pending, <-r.records...)
			}
			write()
			return
		}
	}
}

// tellInterval is the time between two records that tell the number of dropped
// ones: on a busy host they would double the volume.
const tellInterval = time.Second

// Limit returns a logger that writes at most rate records per second to l, with
// bursts of one second. A further record each second tells how many were dropped.
func Limit(l *slog.Logger, rate float64, clock func() time.Duration) *slog.Logger {
	return slog.New(&limited{Handler: l.Handler(), shared: &bucket{rate: rate, tokens: rate, clock: clock}})
}

type limited struct {
	slog.Handler
	shared *bucket
}

// Handle passes the record on if the rate allows it.
func (h *limited) Handle(ctx context.Context, r slog.Record) error {
	allowed, dropped := h.shared.take()
	if !allowed {
		return nil
	}
	if dropped > 0 {
		lost := slog.NewRecord(r.Time, logger.RecordsDropped.Level, logger.RecordsDropped.Message, 0)
		lost.AddAttrs(slog.Int("event", logger.RecordsDropped.Number), slog.Int("records", dropped))
		if err := h.Handler.Handle(ctx, lost); err != nil {
			return err
		}
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *limited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limited{Handler: h.Handler.WithAttrs(attrs), shared: h.shared}
}

// WithGroup implements slog.Handler.
func (h *limited) WithGroup(name string) slog.Handler {
	return &limited{Handler: h.Handler.WithGroup(name), shared: h.shared}
}

type bucket struct {
	rate  float64
	clock func() time.Duration

	mutex   sync.Mutex
	tokens  float64
	last    time.Duration
	dropped int
	// told is when the number of dropped records was last told.
	told time.Duration
}

// take reports whether a record may be written, and how many were dropped before
// if that is to be told now.
func (b *bucket) take() (bool, int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock()
	b.tokens = min(b.tokens+(now-b.last).Seconds()*b.rate, b.rate)
	b.last = now
	if b.tokens < 1 {
		b.dropped++
		return false, 0
	}
	b.tokens--
	if now-b.told < tellInterval && b.told > 0 {
		return true, 0
	}
	dropped := b.dropped
	if dropped > 0 {
		b.dropped, b.told = 0, now
	}
	return true, dropped
}

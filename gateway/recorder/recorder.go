// Package recorder provides an asynchronous log writer that drops records
// instead of blocking the caller, and a slog handler with a rate limit. Both
// count the records that they drop.
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
	// queueRecords is the capacity of the queue of records that are not yet written;
	// records that find it full are dropped.
	queueRecords = 2048
	// maxWriteBytes bounds one write, but for a longer record: a pipe takes a write of up to
	// PIPE_BUF whole, while readers may cut a longer one within a record.
	maxWriteBytes = 4 << 10
	// flushDelay bounds how long a record stays in the buffer, so that few records are
	// lost when the process is killed.
	flushDelay = 50 * time.Millisecond
	// DefaultRate is the limit for request records per second. The design load of a
	// daemon is 78 requests per second with two records each; the limit is more than
	// twice that, for bursts.
	DefaultRate = 400
)

// Writer is an io.Writer that queues records and writes them in the
// background. It serves as the output of a slog handler, which calls Write once
// per record.
type Writer struct {
	records chan []byte
	// Dropped counts the records that were dropped because the queue was full.
	Dropped atomic.Int64
}

// New returns a Writer that writes to w, and a function that stops the Writer after
// writing the queued records. Records passed to Write afterwards are not written;
// those that still fit into the queue are not counted as dropped.
func New(w io.Writer) (*Writer, func()) {
	r := &Writer{records: make(chan []byte, queueRecords)}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { r.run(w, stop) })
	return r, sync.OnceFunc(func() { close(stop); group.Wait() })
}

// Write queues a copy of one record, or drops it if the queue is full. It never
// returns an error.
func (r *Writer) Write(p []byte) (int, error) {
	select {
	case r.records <- append([]byte(nil), p...):
	default:
		r.Dropped.Add(1)
	}
	return len(p), nil
}

func (r *Writer) run(w io.Writer, stop <-chan struct{}) {
	var pending []byte
	var flush <-chan time.Time
	write := func() {
		// A failed write of the log cannot be reported anywhere.
		_, _ = w.Write(pending)
		pending, flush = pending[:0], nil
	}
	add := func(p []byte) {
		if len(pending) > 0 && len(pending)+len(p) > maxWriteBytes {
			write()
		}
		pending = append(pending, p...)
	}
	for {
		select {
		case p := <-r.records:
			add(p)
			if flush == nil {
				flush = time.After(flushDelay)
			}
		case <-flush:
			write()
		case <-stop:
			for len(r.records) > 0 {
				add(<-r.records)
			}
			write()
			return
		}
	}
}

// dropReportInterval is the shortest time between two reports of dropped records.
// Without it, an overloaded host would write a report with almost every record and
// double the log volume.
const dropReportInterval = time.Second

// Limit returns a logger that writes at most rate records per second to l and
// allows bursts of one second's worth. The number of dropped records is reported
// in a record of its own, at most once per dropReportInterval and only before the
// next record that is written.
func Limit(l *slog.Logger, rate float64, clock func() time.Duration) *slog.Logger {
	return slog.New(&rateLimitedHandler{Handler: l.Handler(), bucket: &tokenBucket{rate: rate, tokens: rate, clock: clock}})
}

// rateLimitedHandler drops records above the rate of a bucket, which it shares
// with the handlers derived from it.
type rateLimitedHandler struct {
	slog.Handler
	bucket *tokenBucket
}

// Handle writes the record if the rate allows it, preceded by a report of dropped
// records if one is due.
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	allowed, dropped := h.bucket.take()
	if !allowed {
		return nil
	}
	if dropped > 0 {
		report := slog.NewRecord(r.Time, logger.RecordsDropped.Level, logger.RecordsDropped.Message, 0)
		report.AddAttrs(slog.Int("event", logger.RecordsDropped.Number), slog.Int("records", dropped))
		if err := h.Handler.Handle(ctx, report); err != nil {
			return err
		}
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), bucket: h.bucket}
}

// WithGroup implements slog.Handler.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithGroup(name), bucket: h.bucket}
}

// tokenBucket holds one token for each record that may be written.
type tokenBucket struct {
	// rate is the number of tokens added per second, and the capacity.
	rate float64
	// clock returns a monotonic time.
	clock func() time.Duration

	mutex  sync.Mutex
	tokens float64
	// lastRefill is the time at which tokens were last added.
	lastRefill time.Duration
	// dropped counts the dropped records that are not yet reported.
	dropped int
	// lastReport is the time of the last report of dropped records; 0 is never.
	lastReport time.Duration
}

// take reports whether a record may be written, and the number of dropped records
// that is to be reported before it; 0 if no report is due.
func (b *tokenBucket) take() (bool, int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock()
	b.tokens = min(b.tokens+(now-b.lastRefill).Seconds()*b.rate, b.rate)
	b.lastRefill = now
	if b.tokens < 1 {
		b.dropped++
		return false, 0
	}
	b.tokens--
	if now-b.lastReport < dropReportInterval && b.lastReport > 0 {
		return true, 0
	}
	dropped := b.dropped
	if dropped > 0 {
		b.dropped, b.lastReport = 0, now
	}
	return true, dropped
}

package recorder_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/recorder"
	"monsoondeck.example/logger"
)

// blockingWriter blocks all writes until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return b.Buffer.Write(p)
}

// Guards against requests that block on a slow log output.
func TestWritesDoNotBlock(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	r, closeRecorder := recorder.New(out)
	const records = 10000
	for i := range records {
		if _, err := fmt.Fprintf(r, "%d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	close(out.unblock)
	closeRecorder()
	written := strings.Count(out.String(), "\n")
	if int64(written)+r.Dropped.Load() != records || written == 0 || r.Dropped.Load() == 0 {
		t.Errorf("%d written, %d dropped", written, r.Dropped.Load())
	}
}

// Guards against a log volume that grows with the load, and against records that
// are dropped without a report.
func TestRateIsLimitedAndDropsAreReported(t *testing.T) {
	var out bytes.Buffer
	now := time.Duration(0)
	l := recorder.Limit(slog.New(slog.NewJSONHandler(&out, nil)), 10, func() time.Duration { return now })
	for range 100 {
		logger.Emit(l, logger.RequestEnded)
	}
	if n := strings.Count(out.String(), "\n"); n != 10 {
		t.Errorf("%d records in a burst", n)
	}
	now = 300 * time.Millisecond
	logger.Emit(l.With("a", 1), logger.RequestEnded)
	if text := out.String(); !strings.Contains(text, `"records":90`) || !strings.Contains(text, `"event":517`) {
		t.Errorf("the dropped records are not reported: %s", text)
	}
}

// On an overloaded host, records are dropped continuously. Guards against a report
// between any two records, and against drops that no report counts.
func TestDropsAreReportedOncePerSecond(t *testing.T) {
	var out bytes.Buffer
	now := time.Duration(0)
	l := recorder.Limit(slog.New(slog.NewJSONHandler(&out, nil)), 100, func() time.Duration { return now })
	const records = 5000
	for i := range records {
		now = time.Duration(i) * time.Millisecond
		logger.Emit(l, logger.RequestEnded)
	}
	now += 2 * time.Second
	logger.Emit(l, logger.RequestEnded)
	reports, reported := 0, 0
	for line := range strings.Lines(out.String()) {
		var r struct{ Event, Records int }
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			t.Fatal(err)
		}
		if r.Event == logger.RecordsDropped.Number {
			reports++
			reported += r.Records
		}
	}
	written := strings.Count(out.String(), "\n") - reports
	if reports > 8 {
		t.Errorf("%d reports of dropped records in 7 s", reports)
	}
	if reported+written != records+1 {
		t.Errorf("%d records written and %d reported as dropped, want %d in total", written, reported, records+1)
	}
}

// sizedWriter keeps the writes apart.
type sizedWriter struct{ writes [][]byte }

func (w *sizedWriter) Write(p []byte) (int, error) {
	w.writes = append(w.writes, bytes.Clone(p))
	return len(p), nil
}

// Load: bursts of records, as a flooded host writes them. Guards against records that are cut
// or lost where the log is read, which the sums of event 528 at the end of a burst were: no
// write is larger than what a pipe takes whole, and none ends within a record.
func TestBurstsAreWrittenInWholeRecords(t *testing.T) {
	const pipeBytes, records = 4096, 500
	out := &sizedWriter{}
	r, closeRecorder := recorder.New(out)
	record := strings.Repeat("x", 500) + "\n"
	for range records {
		_, _ = io.WriteString(r, record) // never fails
	}
	closeRecorder()
	written := 0
	for _, w := range out.writes {
		if len(w) > pipeBytes || len(w)%len(record) != 0 {
			t.Fatalf("a write of %d bytes, want whole records of %d bytes and at most %d bytes", len(w), len(record), pipeBytes)
		}
		written += len(w) / len(record)
	}
	if written != records {
		t.Errorf("%d records written, want %d", written, records)
	}
}

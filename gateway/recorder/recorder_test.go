package recorder_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/gateway/recorder"
	"monsoondeck.example/logger"
)

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(p)
}

// Guards against requests that wait for the log.
func TestWritesDoNotBlock(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	r, closeRecorder := recorder.New(out)
	const records = 10000
	for i := range records {
		if _, err := fmt.Fprintf(r, "%d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	close(out.open)
	closeRecorder()
	written := strings.Count(out.String(), "\n")
	if int64(written)+r.Dropped.Load() != records || written == 0 || r.Dropped.Load() == 0 {
		t.Errorf("%d written, %d dropped", written, r.Dropped.Load())
	}
}

// Guards against a volume of log that grows with the load, and against records
// that are dropped without a word.
func TestRateIsBoundedAndLossIsTold(t *testing.T) {
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
		t.Errorf("the dropped records are not told: %s", text)
	}
}

// Load: a flooded host drops records all the time. Guards against records that tell
// so between any two others, and against numbers that are lost meanwhile.
func TestLossIsToldOnceASecond(t *testing.T) {
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
	notices, told := 0, 0
	for line := range strings.Lines(out.String()) {
		var r struct{ Event, Records int }
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			t.Fatal(err)
		}
		if r.Event == logger.RecordsDropped.Number {
			notices++
			told += r.Records
		}
	}
	written := strings.Count(out.String(), "\n") - notices
	if notices > 8 {
		t.Errorf("%d records in 7 s tell of dropped ones", notices)
	}
	if told+written != records+1 {
		t.Errorf("%d written and %d told as dropped of %d", written, told, records+1)
	}
}

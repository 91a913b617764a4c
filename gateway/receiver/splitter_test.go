package receiver

import (
	"bytes"
	"runtime"
	"strings"
	"testing"
)

// Guards against a stalled target that holds a stream open with comments or single
// bytes: only events with a field show progress.
func TestOnlyEventsWithFieldsShowProgress(t *testing.T) {
	var s eventSplitter
	for _, step := range []struct {
		data  string
		count int
	}{
		{": ping\n\n", 0},
		{"\n\n", 0},
		{"i", 0},
		{"d: 1\ndata: x\n\n: ping\n\nid: 2\n\n", 2},
		{": ping\r\n\r\ndata: x\r\n\r\n", 1},
		{"data: half", 0},
		{" event\n", 0},
		{"\n", 1},
	} {
		if _, tooLong := s.add([]byte(step.data)); tooLong || s.count != step.count {
			t.Errorf("%q: %d events, too long %v, want %d", step.data, s.count, tooLong, step.count)
		}
	}
}

// Guards against a target that sends an event without end.
func TestEndlessEventIsAnError(t *testing.T) {
	var s eventSplitter
	chunk := make([]byte, 64<<10)
	for sent := 0; sent <= maxEventBytes; sent += len(chunk) {
		if _, tooLong := s.add(chunk); tooLong {
			return
		}
	}
	t.Errorf("an event of %d bytes was accepted", maxEventBytes)
}

// Guards against a target that occupies the processors and the memory of a host with an event
// without end: each read copied all that had arrived of the event.
func TestLongEventIsNotCopiedWithEachRead(t *testing.T) {
	var s eventSplitter
	piece := []byte(strings.Repeat("x", streamReadBytes))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for sent := 0; sent+len(piece) <= maxEventBytes; sent += len(piece) {
		if events, tooLong := s.add(piece); len(events) > 0 || tooLong {
			t.Fatal("the event has ended")
		}
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 10*maxEventBytes {
		t.Errorf("%d MB allocated for an event of %d MB", allocated>>20, maxEventBytes>>20)
	}
}

// Guards against an end of an event that is overlooked because it arrives in parts.
func TestEventsDoNotDependOnTheSizeOfReads(t *testing.T) {
	text := []byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\r\n\r\n: x\n\n\n\nid: 3\n\r\n\r\n\ndata: c\r\n\n\rid: 4\n\ndata: rest\n")
	for size := 1; size <= len(text); size++ {
		var s eventSplitter
		var pending []byte
		for start := 0; start < len(text); start += size {
			piece := text[start:min(start+size, len(text))]
			pending = append(pending, piece...)
			end := lastEventEnd(pending)
			events, _ := s.add(bytes.Clone(piece))
			if !bytes.Equal(events, pending[:end]) || !bytes.Equal(s.rest(), pending[end:]) {
				t.Errorf("reads of %d bytes, from %d: events %q, rest %q, want %q, %q", size, start, events, s.rest(), pending[:end], pending[end:])
			}
			for i := range events {
				events[i] = 'z' // the caller may change them
			}
			pending = pending[end:]
		}
	}
}

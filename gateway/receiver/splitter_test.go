package receiver

import "testing"

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

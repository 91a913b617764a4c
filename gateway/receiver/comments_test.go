package receiver

import (
	"strings"
	"testing"
	"time"
)

// Guards against comments without end that are forwarded at the speed of the target, and
// against losing events or the comments that keep a connection open.
func TestExcessCommentsAreRemoved(t *testing.T) {
	const event, ping = "id: 1\n: inside an event\ndata: x\n\n", ": ping\n\n"
	start := time.Unix(0, 0)
	flood := strings.Repeat(ping, commentBurstBytes/len(ping))
	for name, steps := range map[string][]struct {
		after      time.Duration
		data, want string
		excess     bool
	}{
		"events only":        {{0, event + event, event + event, false}},
		"pings":              {{0, ping, ping, false}, {time.Second, ping + event, ping + event, false}},
		"flood":              {{0, flood, flood, false}, {0, ping + event + ping, event, true}},
		"after a pause":      {{0, flood, flood, false}, {0, ping, "", true}, {time.Second, ping, ping, false}},
		"empty lines":        {{0, flood, flood, false}, {0, "\n\n\r\n\r\n" + event, event, true}},
		"CRLF":               {{0, flood, flood, false}, {0, ": x\r\n\r\ndata: a\r\n\r\n", "data: a\r\n\r\n", true}},
		"one endless":        {{0, ":" + strings.Repeat("x", commentBurstBytes) + "\n\n" + ping + event, ping + event, true}},
		"clock that is late": {{time.Second, flood, flood, false}, {0, ping, "", true}},
	} {
		var f commentFilter
		for i, step := range steps {
			kept, excess := f.apply(start.Add(step.after), []byte(step.data))
			if string(kept) != step.want || excess != step.excess {
				t.Errorf("%s, step %d: %d bytes, excess %t; want %d bytes, %t", name, i, len(kept), excess, len(step.want), step.excess)
			}
		}
	}
}

// Guards against comments that keep a connection open for an hour and then count as excess.
func TestRegularCommentsAreKept(t *testing.T) {
	var f commentFilter
	now := time.Unix(0, 0)
	for range 10 * 3600 {
		now = now.Add(100 * time.Millisecond)
		if _, excess := f.apply(now, []byte(": keep the connection open\n\n")); excess {
			t.Fatalf("excess after %v", now.Sub(time.Unix(0, 0)))
		}
	}
}

// Guards against a copy of each event, on hosts that forward thousands of them a second.
func TestStreamWithoutExcessIsNotCopied(t *testing.T) {
	var f commentFilter
	now, events := time.Unix(0, 0), []byte("id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
	if n := testing.AllocsPerRun(100, func() { f.apply(now, events) }); n != 0 {
		t.Errorf("%.0f allocations, want none", n)
	}
}

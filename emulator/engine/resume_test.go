package engine

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/emulator/wire"
)

// streamText returns the concatenated tokens of a stream of events.
func streamText(events string) string {
	var b strings.Builder
	for _, part := range strings.Split(events, `"content":"`)[1:] {
		b.WriteString(part[:strings.IndexByte(part, '"')])
	}
	return b.String()
}

// Guards against resumption that repeats or skips tokens, or is recorded as a second
// execution.
func TestResumeContinuesFromOffset(t *testing.T) {
	e, o, url := startEngine(t, func(s *Settings) { s.ResumeWindow = time.Minute })
	one, three := 1, 3
	e.Faults().Apply(fault.Change{BreakStreams: &one, BreakAfterTokens: &three})
	broken, err := io.ReadAll(post(t, url, "r1", "request=a&tokens=9", true).Body)
	if err == nil || streamText(string(broken)) != wire.Answer("a", 3) {
		t.Fatalf("broken stream %q: %v", broken, err)
	}
	res := post(t, url, "r2", "request=a&tokens=9", true, wire.HeaderResumeRequest, "r1", wire.HeaderResumeOffset, "3")
	if got := streamText(string(broken)) + streamText(read(t, res.Body)); got != wire.Answer("a", 9) || res.Header.Get(wire.HeaderRequestID) != "r2" {
		t.Fatalf("both parts: %s", got)
	}
	if x := o.Executions(); len(x) != 1 || x[0].State != oracle.StateComplete {
		t.Fatalf("executions %+v", x)
	}
	unknown := post(t, url, "r3", "", true, wire.HeaderResumeRequest, "r9", wire.HeaderResumeOffset, "3")
	if unknown.StatusCode != http.StatusNotFound || unknown.Header.Get(wire.HeaderRefused) != "true" {
		t.Fatalf("resume of an unknown request: %d", unknown.StatusCode)
	}
}

// Guards against resumption of a stream that is still running after which both
// handlers send the same response.
func TestResumeTakesOverRunningStream(t *testing.T) {
	_, o, url := startEngine(t, func(s *Settings) { s.ResumeWindow = time.Minute; s.TokensPerSecond = 200 })
	first := post(t, url, "r1", "request=a&tokens=50", true)
	second := post(t, url, "r2", "request=a&tokens=50", true, wire.HeaderResumeRequest, "r1", wire.HeaderResumeOffset, "0")
	if got := streamText(read(t, second.Body)); got != wire.Answer("a", 50) {
		t.Fatalf("resumed stream %s", got)
	}
	if b, err := io.ReadAll(first.Body); err == nil {
		t.Fatalf("the first stream ended without an error: %s", b)
	}
	if x := o.Executions(); len(x) != 1 {
		t.Fatalf("executions %+v", x)
	}
}

// Guards against a cancelled request that keeps its slot or can be resumed.
func TestCancelFreesSlot(t *testing.T) {
	e, _, url := startEngine(t, func(s *Settings) { s.ResumeWindow = time.Minute; s.TokensPerSecond = 5 })
	post(t, url, "r1", "tokens=900", true)
	r, _ := http.NewRequestWithContext(t.Context(), http.MethodDelete, url+"/v1/requests/r1", nil)
	res, err := http.DefaultClient.Do(r)
	if err != nil || res.StatusCode != http.StatusNoContent || e.Load().Running != 0 {
		t.Fatalf("%v %v, load %+v", res, err, e.Load())
	}
	if again := post(t, url, "r2", "", true, wire.HeaderResumeRequest, "r1", wire.HeaderResumeOffset, "0"); again.StatusCode != http.StatusNotFound {
		t.Fatalf("resumed a cancelled request: %d", again.StatusCode)
	}
}

// Guards against a fault ForeignIDs without effect: tests of the dispatcher would
// then never see the ID of another request.
func TestForeignIDIsThatOfAnotherRequest(t *testing.T) {
	e, _, url := startEngine(t, nil)
	one := 1
	post(t, url, "r1", "tokens=1", false)
	e.Faults().Apply(fault.Change{ForeignIDs: &one})
	if got := post(t, url, "r2", "tokens=1", false).Header.Get(wire.HeaderRequestID); got != "r1" {
		t.Fatalf("answered with id %s", got)
	}
	if got := post(t, url, "r3", "tokens=1", false).Header.Get(wire.HeaderRequestID); got != "r3" {
		t.Fatalf("answered with id %s", got)
	}
}

package auditor_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/commander"
	"monsoondeck.example/generator/auditor"
	"monsoondeck.example/logger"
)

// Guards against an audit that misses a starved account, or names one that was not refused
// all the time or only asked for little.
func TestStarvedAccountIsFound(t *testing.T) {
	start := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	var log strings.Builder
	request := func(second int, account, host, code string, cost int) {
		at, began, refused := start.Add(time.Duration(second)*time.Second), cost, ""
		if code != "" {
			began, refused = 0, fmt.Sprintf(",\"refused\":{%q:1}", code)
		}
		_, _ = fmt.Fprintf(&log, "%7.4f %s {\"time\":%q,\"event\":528,\"host\":%q,\"account\":%q,\"second\":%d,\"asked\":%d,\"began\":%d%s}\n",
			float64(second), host, at.Add(time.Second).Format(time.RFC3339Nano), host, account, at.Unix(), cost, began, refused)
	}
	for second := range 8 {
		for i := range 10 {
			request(second, "largest", fmt.Sprint("h", i), "", 1000)
		}
		request(second, "largest", "h0", "overShare", 1000)
		request(second, "starved", "h1", "", 1000)
		for range 4 {
			request(second, "starved", "h1", "hostBusy", 1000)
		}
		// The refused request has arrived in the second before, at another host.
		_, _ = fmt.Fprintf(&log, "{\"event\":528,\"host\":\"h2\",\"account\":\"small\",\"second\":%d,\"asked\":1000,\"began\":500}\n", start.Unix()+int64(second))
		_, _ = fmt.Fprintf(&log, "{\"event\":528,\"host\":\"h3\",\"account\":\"small\",\"second\":%d,\"refused\":{\"overload\":1}}\n", start.Unix()+int64(second))
		if second != 4 { // it waits, but not in each second
			request(second, "lucky", "h3", "hostBusy", 1000)
		}
	}
	log.WriteString("a line without a record\n{not a record\n")
	var out, errOut bytes.Buffer
	if code := auditor.Run([]string{"--top", "2"}, nil, logger.Streams{In: strings.NewReader(log.String()), Out: &out, Err: &errOut}); code != commander.ExitDone {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	var got []auditor.Shortfall
	for line := range strings.Lines(out.String()) {
		var s auditor.Shortfall
		if err := json.Unmarshal([]byte(line), &s); err != nil {
			t.Fatal(err)
		}
		got = append(got, s)
	}
	if len(got) != 2 || got[0].Account != "starved" || got[1].Account != "small" {
		t.Fatalf("found %+v, want the starved account before the small one", got)
	}
	s := got[0]
	if s.Quotient != 0.2 || s.Asked != 30000 || s.Began != 6000 || s.Due != 30000 || s.Best != "largest" || s.Hosts != 1 || s.Refused["hostBusy"] != 24 {
		t.Errorf("found %+v, want 6000 of 30000 tokens, and 24 refusals by a busy host", s)
	}
}

// run returns the output of the shares command for a log.
func run(t *testing.T, log string, args ...string) string {
	t.Helper()
	var out, errOut bytes.Buffer
	if code := auditor.Run(args, nil, logger.Streams{In: strings.NewReader(log), Out: &out, Err: &errOut}); code != commander.ExitDone {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	return out.String()
}

// Guards against an account far below every share that is refused now and then and in no
// list, against one that asked for its share and is in that list, and against refusals that
// are not counted.
func TestAccountsBelowTheirShareAreToldApart(t *testing.T) {
	var log strings.Builder
	for second := range 6 {
		_, _ = fmt.Fprintf(&log, "{\"event\":528,\"host\":\"h1\",\"account\":\"largest\",\"second\":%d,\"asked\":500000,\"began\":500000,\"askedRequests\":100}\n", second)
		_, _ = fmt.Fprintf(&log, "{\"event\":528,\"host\":\"h1\",\"account\":\"waiting\",\"second\":%d,\"asked\":500000,\"began\":100000,\"askedRequests\":100,\"refused\":{\"overShare\":80}}\n", second)
		refused := ""
		if second == 2 {
			refused = ",\"refused\":{\"partQuarantined\":7}"
		}
		_, _ = fmt.Fprintf(&log, "{\"event\":528,\"host\":\"h2\",\"account\":\"small\",\"second\":%d,\"asked\":100000,\"began\":40000,\"askedRequests\":10%s}\n", second, refused)
		_, _ = fmt.Fprintf(&log, "{\"event\":528,\"host\":\"h2\",\"account\":\"tiny\",\"second\":%d,\"asked\":1000,\"began\":0,\"askedRequests\":1}\n", second)
	}
	var s auditor.Shortfall
	if out := run(t, log.String(), "--below"); strings.Count(out, "\n") != 1 || json.Unmarshal([]byte(out), &s) != nil {
		t.Fatalf("found %q, want the small account only", out)
	}
	if s.Account != "small" || s.Quotient != 0.4 || s.Due != 600_000 || s.Refused["partQuarantined"] != 7 {
		t.Errorf("found %+v, want 0.4 of the 600000 tokens of the small account", s)
	}
	var r auditor.Refusals
	if out := run(t, log.String(), "--codes"); json.Unmarshal([]byte(out), &r) != nil || r.Asked != 6*211 || r.Refused["overShare"] != 480 || r.Refused["partQuarantined"] != 7 {
		t.Errorf("counted %q, want 1266 requests, 480 refused as overShare and 7 as partQuarantined", out)
	}
}

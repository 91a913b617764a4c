package report

import (
	"bytes"
	"strings"
	"testing"

	"monsoondeck.example/commander"
	"monsoondeck.example/logger"
)

const input = `{"measure":"utilisation","deployment":"kitakaze","scenario":"steady","policy":"fleet","seed":1,"value":0.9,"unit":"ratio"}
{"measure":"utilisation","deployment":"kitakaze","scenario":"flood","policy":"alone","seed":1,"value":0.5,"unit":"ratio"}
{"measure":"utilisation","deployment":"kitakaze","scenario":"steady","policy":"fleet","seed":2,"value":1.0,"unit":"ratio"}
{"measure":"wrong","deployment":"<b>","scenario":"steady","policy":"fleet","seed":1,"value":0,"unit":"requests"}
`

// Guards against means over the wrong runs, and against names that are not escaped
// in the page.
func TestPageShowsMeansAndPlots(t *testing.T) {
	var out, stderr bytes.Buffer
	if code := Run(nil, nil, logger.Streams{In: strings.NewReader(input), Out: &out, Err: &stderr}); code != commander.ExitDone {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	for _, want := range []string{
		"<td>steady</td><td>0.95 (2)</td><td></td>", "<td>flood</td><td></td><td>0.5 (1)</td>", "wrong, &lt;b&gt;",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing", want)
		}
	}
	if n := strings.Count(out.String(), "<svg"); n != 2 {
		t.Errorf("%d plots", n)
	}
}

// Guards against a page made from input that is not the output of bench.
func TestInvalidInputIsRejected(t *testing.T) {
	for _, in := range []string{"", "hello\n", "{}\n"} {
		var out, stderr bytes.Buffer
		if code := Run(nil, nil, logger.Streams{In: strings.NewReader(in), Out: &out, Err: &stderr}); code != commander.ExitFailed || out.Len() > 0 {
			t.Errorf("%q: exit code %d, %d bytes", in, code, out.Len())
		}
	}
}

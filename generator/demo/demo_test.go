package demo

import (
	"bytes"
	"strings"
	"testing"

	"monsoondeck.example/commander"
	"monsoondeck.example/logger"
)

// Guards against a demo that does not start, shows nothing or finds faults.
func TestDemoRunsToItsSummary(t *testing.T) {
	var out, stderr bytes.Buffer
	if code := Run([]string{"--duration", "1s"}, nil, logger.Streams{Out: &out, Err: &stderr}); code != commander.ExitDone {
		t.Fatalf("exit code %d: %s%s", code, out.String(), stderr.String())
	}
	for _, want := range []string{"sheet applied as version 1", "showroom", "utilisation", "0 wrong, 0 duplicated, 0 falsely not run"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in %s", want, out.String())
		}
	}
}

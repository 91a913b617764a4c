package bench

import (
	"bytes"
	"encoding/json"
	"testing"

	"monsoondeck.example/commander"
	"monsoondeck.example/logger"
)

// Guards against a bench that cannot start its processes, loses measures, or
// finds faults in a healthy fleet. It checks nothing that depends on the speed of
// the machine.
func TestBenchMeasuresRealProcesses(t *testing.T) {
	var out, stderr bytes.Buffer
	code := Run([]string{"--duration", "4s", "--warmup", "1s", "--routers", "2", "--accounts", "5", "--targets", "2"}, nil, logger.Streams{Out: &out, Err: &stderr})
	if code != commander.ExitDone {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	values := map[string]float64{}
	for d := json.NewDecoder(&out); d.More(); {
		var l Line
		if err := d.Decode(&l); err != nil {
			t.Fatal(err)
		}
		values[l.Measure] = l.Value
	}
	for _, m := range []string{"fairnessGap", "fairnessGapBound", "utilisation", "controlBytesPerDaemonSecond", "firstTokenP95Seconds", "completed"} {
		if values[m] <= 0 {
			t.Errorf("%s is %v", m, values[m])
		}
	}
	for _, m := range []string{"wrong", "duplicated", "falseNotRun"} {
		if v, ok := values[m]; !ok || v != 0 {
			t.Errorf("%s is %v: %s", m, v, stderr.String())
		}
	}
}

// Guards against a misspelt name that silently selects something else.
func TestUnknownNamesAreRejected(t *testing.T) {
	for _, args := range [][]string{{"--scenario", "calm"}, {"--policy", "none"}, {"--deployment", "none"}, {"--duration", "1s"}, {"--routers", "0"}} {
		var out, stderr bytes.Buffer
		if code := Run(args, nil, logger.Streams{Out: &out, Err: &stderr}); code != commander.ExitUsage || out.Len() > 0 {
			t.Errorf("%v: exit code %d, %s", args, code, stderr.String())
		}
	}
}

package emulator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"monsoondeck.example/commander"
	"monsoondeck.example/logger"
)

// Guards against printed addresses at which the emulator is not served.
func TestRunPrintsServedAddresses(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	done := make(chan int)
	var stderr bytes.Buffer
	go func() {
		done <- run(ctx, []string{
			"--engine", "id=e1,model=m,slots=2,rate=100", "--service", "id=s1,name=orders,slots=1,duration=1ms",
			"--table", "on", "--objects", "writes=5", "--hosts", "lag=1s", "--weights", "on",
		}, logger.Streams{Out: w, Err: &stderr})
	}()
	probePaths := map[string]string{
		KindEngine: "/v1/load", KindService: "/x", KindTable: "/v1/rows?prefix=",
		KindObjects: "/v1/objects?prefix=", KindHosts: "/v1/hosts", KindOracle: "/oracle/duplicates",
		KindWeights: "/v1/weights/m",
	}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var e Endpoint
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			t.Fatal(err)
		}
		if e.Kind == "ready" {
			break
		}
		res, err := http.Get("http://" + e.Address + probePaths[e.Kind])
		if err != nil || res.StatusCode >= 300 {
			t.Fatalf("%s: %v %v", e.Kind, res, err)
		}
		_ = res.Body.Close()
		delete(probePaths, e.Kind)
	}
	cancel()
	if code := <-done; code != commander.ExitDone || len(probePaths) != 0 {
		t.Fatalf("exit code %d, not served: %v, %s", code, probePaths, stderr.String())
	}
}

// Guards against invalid or unknown fields of flags that are silently ignored.
func TestRunRejectsInvalidFields(t *testing.T) {
	for _, flag := range []string{"id=e1,model=m,slots=2,rate=100,speed=3", "id=e1,model=m,slots=x,rate=1", "e1"} {
		var stderr bytes.Buffer
		if code := run(t.Context(), []string{"--engine", flag}, logger.Streams{Out: io.Discard, Err: &stderr}); code != commander.ExitUsage {
			t.Errorf("%s: exit code %d, %s", flag, code, stderr.String())
		}
		if strings.Count(stderr.String(), "\n") != 2 {
			t.Errorf("%s: %q does not have two lines", flag, stderr.String())
		}
	}
}

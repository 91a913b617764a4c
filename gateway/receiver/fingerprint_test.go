package receiver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"monsoondeck.example/gateway/receiver"
)

// records collects the records of a log.
type records struct {
	mutex sync.Mutex
	lines []string
}

func (r *records) Write(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, string(p))
	return len(p), nil
}

// attrs returns the values of an attribute in all records that have it.
func (r *records) attrs(t *testing.T, name string) []string {
	t.Helper()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var values []string
	for _, line := range r.lines {
		var attrs map[string]any
		if err := json.NewDecoder(strings.NewReader(line)).Decode(&attrs); err != nil {
			t.Fatal(err)
		}
		if v, ok := attrs[name]; ok {
			values = append(values, fmt.Sprint(v))
		}
	}
	return values
}

// Guards against requests without a prompt that crash targets and cannot be found in the
// log when they come again, and against different requests that look equal.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	type call struct{ path, key, body string }
	base := call{"/safe/1?x=1", "k", "body"}
	seen := map[uint64]call{}
	for _, c := range []call{base, {"/safe/2?x=1", "k", "body"}, {"/safe/1?x=2", "k", "body"}, {"/safe/1?x=1", "k2", "body"}, {"/safe/1?x=1", "k", "bodz"}, {"/safe/1?x=1", "k", ""}} {
		log := &records{}
		f := newFixture(t, []reply{{err: errReset}, {status: 200, header: signed, delimited: true}, {status: 200, header: signed, delimited: true}}, func(o *receiver.Options) {
			o.Logger = slog.New(slog.NewJSONHandler(log, nil))
		})
		for range 2 { // two attempts of the first call, one of the second
			if r := f.post(context.Background(), t, c.path, c.key, c.body); r.status != 200 {
				t.Fatalf("%v: status %d, error %v", c, r.status, r.err)
			}
		}
		demands := f.permitSource.demands
		if len(demands) != 3 {
			t.Fatalf("%v: %d waits, want 3", c, len(demands))
		}
		for _, d := range demands {
			if d.Request.Fingerprint != demands[0].Request.Fingerprint {
				t.Errorf("%v: attempts have different fingerprints", c)
			}
		}
		if other, ok := seen[demands[0].Request.Fingerprint]; ok {
			t.Errorf("%v and %v have the same fingerprint", c, other)
		}
		seen[demands[0].Request.Fingerprint] = c
		logged := log.attrs(t, "fingerprint")
		if len(logged) != 4 { // 511 three times, 515 once
			t.Errorf("%v: %d records with a fingerprint, want 4", c, len(logged))
		}
		for _, v := range logged {
			if v != logged[0] || v == "" {
				t.Errorf("%v: fingerprints %q in the log", c, logged)
			}
		}
	}
}

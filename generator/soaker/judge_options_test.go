package soaker

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/server"
)

var errBroken = errors.New("connection reset")

// check reports an error unless v holds n violations of a guarantee and no others.
func check(t *testing.T, name string, v violations, want string, n int) {
	t.Helper()
	if len(v[want]) != n || n == 0 && len(v) > 0 || n > 0 && len(v) > 1 {
		t.Errorf("%s: %v, want %d of %s", name, v, n, want)
	}
}

// Guards against a soak that misses a success made of half a head, or that blames a
// daemon for a retry.
func TestChecksTornHeads(t *testing.T) {
	read := routes()[2]
	torn := ran(read, "t-1")
	torn.Fault = server.FaultTornHead
	for name, c := range map[string]struct {
		status int
		runs   []server.Run
		want   int
	}{
		"forwarded as a success": {200, []server.Run{torn}, 1},
		"twice":                  {204, []server.Run{torn, torn}, 1},
		"failure":                {502, []server.Run{torn}, 0},
		"no response":            {0, []server.Run{torn}, 0},
		"retried":                {200, []server.Run{torn, ran(read, "u-1")}, 0},
	} {
		x, v := success(read), violations{}
		x.status = c.status
		v.checkTornHeads(x, c.runs)
		check(t, name, v, "tornHead", c.want)
	}
}

// Guards against a soak that misses a request which a planned stop breaks, or that wants
// more of a daemon than the platform does.
func TestChecksPlannedStops(t *testing.T) {
	now := time.Now()
	at := func(s float64) time.Time { return now.Add(seconds(s)) }
	d := &daemon{name: "h"}
	write := routes()[3]
	one := []server.Run{ran(write, "t-1")}
	for name, c := range map[string]struct {
		from, to float64
		runs     []server.Run
		change   func(*result)
		want     int
	}{
		"served":                          {4, 5, one, func(*result) {}, 0},
		"refused":                         {7, 7, nil, func(x *result) { x.status = 503 }, 0},
		"failed":                          {4, 5, one, func(x *result) { x.status = 502 }, 1},
		"too many":                        {4, 5, nil, func(x *result) { x.status = 429 }, 1},
		"sent late and broken at the end": {3.1, 7.9, one, func(x *result) { x.err = errBroken }, 1},
		"sent in time, broken at the end": {2.9, 7.9, one, func(x *result) { x.err = errBroken }, 0},
		"sent in time, broken early":      {2.9, 6.6, one, func(x *result) { x.err = errBroken }, 1},
		"sent before, broken early":       {-1, 0.2, one, func(x *result) { x.err = errBroken }, 1},
		"broken before the stop":          {-2, -1, one, func(x *result) { x.err = errBroken }, 0},
		"sent in time, never ran":         {2.9, 7.9, nil, func(x *result) { x.err, x.status, x.read = errBroken, 0, true }, 1},
		"read, then closed":               {5, 5.1, nil, func(x *result) { x.err, x.status, x.read = errBroken, 0, true }, 1},
		"closed before it was read":       {5, 5.1, nil, func(x *result) { x.err, x.status = errBroken, 0 }, 0},
		"response broken":                 {5, 5.1, nil, func(x *result) { x.err = errBroken }, 1},
		"caller left":                     {5, 5.1, one, func(x *result) { x.err, x.cancelled = errBroken, true }, 0},
		"another daemon":                  {5, 5.1, one, func(x *result) { x.err, x.daemon = errBroken, &daemon{name: "i"} }, 0},
	} {
		x, v := success(write), violations{}
		x.daemon, x.start, x.end = d, at(c.from), at(c.to)
		c.change(&x)
		v.checkStop(x, plannedStop{daemon: d, signalled: at(0), exited: at(8)}, c.runs)
		check(t, name, v, "stopBroken", c.want)
	}
}

// Guards against a soak that misses a stream which a daemon cuts because its target is
// silent.
func TestChecksSilentStreams(t *testing.T) {
	for name, c := range map[string]struct {
		used    time.Duration
		change  func(*result)
		excused bool
		want    int
	}{
		"cut":              {3 * time.Second, func(x *result) { x.err = errBroken }, false, 1},
		"served":           {6 * time.Second, func(*result) {}, false, 0},
		"time used up":     {routeTimeout, func(x *result) { x.err = errBroken }, false, 0},
		"caller left":      {3 * time.Second, func(x *result) { x.err, x.cancelled = errBroken, true }, false, 0},
		"target crashed":   {3 * time.Second, func(x *result) { x.err = errBroken }, true, 0},
		"another's stream": {3 * time.Second, func(x *result) { x.err, x.name = errBroken, "1" }, false, 0},
	} {
		x, v := success(quickRoute), violations{}
		x.name = silentPrefix + "4000-1"
		x.start = time.Now()
		x.end = x.start.Add(c.used)
		c.change(&x)
		v.checkSilence(x, []server.Run{ran(quickRoute, "t-1")}, c.excused)
		check(t, name, v, "cut", c.want)
	}
}

// Guards against a soak that misses a request which crashes one target after the other, or
// sound requests that are refused with it.
func TestChecksDeadlyRequests(t *testing.T) {
	now := time.Now()
	at := func(s float64) time.Time { return now.Add(seconds(s)) }
	write := routes()[3]
	d, killed, cut := &daemon{name: "h"}, &daemon{name: "i"}, &daemon{name: "j"}
	faults := []interval{{subject: "i", from: at(10), to: at(12)}, {subject: cut.contactSubject(), from: at(10), to: at(12)}}
	for name, c := range map[string]struct {
		// times are when the request reached a target; the target crashed 0.1 s later.
		times  []float64
		daemon *daemon
		// served is the number of sound requests, of 30 after the bound, that are served.
		served int
		want   string
		n      int
	}{
		"recognised":                       {[]float64{5, 5.3, 5.6}, d, 30, "", 0},
		"within the bound":                 {[]float64{5, 5.3, 5.6, 6, 6.1, 6.2, 6.3, 8.6}, d, 30, "", 0},
		"three more":                       {[]float64{5, 5.3, 5.6, 9, 10, 11}, d, 30, "", 0},
		"five more":                        {[]float64{5, 5.3, 5.6, 9, 10, 11, 12, 13}, d, 30, "deadly", 2},
		"by a daemon that was killed":      {[]float64{5, 5.3, 5.6, 10.5, 11, 12, 13, 14.9}, killed, 30, "", 0},
		"by a daemon without contact":      {[]float64{5, 5.3, 5.6, 10.5, 11, 12, 13, 14.9}, cut, 30, "", 0},
		"long after the daemon was killed": {[]float64{5, 5.3, 5.6, 17, 18, 19, 20}, killed, 30, "deadly", 1},
		"two crashes only":                 {[]float64{5, 5.3}, d, 30, "", 0},
		"half of the sound ones served":    {[]float64{5, 5.3, 5.6}, d, 15, "", 0},
		"fewer served":                     {[]float64{5, 5.3, 5.6}, d, 14, "starved", 1},
	} {
		var results []result
		add := func(name, id string, from, to float64, status int) {
			x := success(write)
			x.name, x.id, x.daemon, x.start, x.end, x.status = name, id, c.daemon, at(from), at(to), status
			results = append(results, x)
		}
		runs := map[string][]server.Run{}
		for i, s := range c.times {
			id := fmt.Sprintf("d-%d", i)
			add(deadlyPrefix+"0", id, s, s+0.2, 502)
			run := ran(write, fmt.Sprintf("t-%d", i))
			run.Started, run.Ended, run.Lost, run.Complete, run.Fault = at(s), at(s+0.1), true, false, server.FaultCrash
			runs[id] = []server.Run{run}
		}
		add(deadlyPrefix+"0", "d-last", 25, 25.1, 503)
		for i := range 30 {
			id := fmt.Sprintf("s-%d", i)
			add(id, id, 1, 1.1, 200)
			id += "-late"
			status := 200
			if i >= c.served {
				status = 503
			}
			add(id, id, 22, 22.1, status)
		}
		v := violations{}
		(&run{faults: faults}).checkDeadly(v, results, runs)
		check(t, name, v, c.want, c.n)
	}
}

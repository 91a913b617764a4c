package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"monsoondeck.example/emulator/server"
	"monsoondeck.example/platform/wire"
)

// faultAfterEffect is how long after its end a fault still excuses errors: a
// connection that broke unnoticed fails at its next use.
const faultAfterEffect = time.Second

// violations holds descriptions of what was wrong, by the name of the guarantee.
type violations map[string][]string

func (v violations) add(guarantee, format string, args ...any) {
	v[guarantee] = append(v[guarantee], fmt.Sprintf(format, args...))
}

// findViolations compares what callers received with what targets ran. probes
// holds the ids of the prober's requests.
func (r *run) findViolations(results []result, probes map[string]bool) violations {
	v := violations{}
	runs := server.RunsByAttempt(r.fleet.targets)
	known := map[string]bool{}
	for _, x := range results {
		known[x.id] = true
		v.checkResponse(x)
		v.checkRuns(x, runs[x.id])
		v.checkTornHeads(x, runs[x.id])
		v.checkSilence(x, runs[x.id], r.excused(x, runs[x.id]))
		for _, s := range r.stops {
			v.checkStop(x, s, runs[x.id])
		}
		if x.err != nil && !x.cancelled && len(runs[x.id]) > 0 && !r.excused(x, runs[x.id]) {
			v.add("lost", "request %s of route %s to %s failed after %v: status %d, %v", x.id, x.route.name, x.daemon.name, x.end.Sub(x.start), x.status, x.err)
		}
	}
	r.checkDeadly(v, results, runs)
	v.checkVersions(results, runs)
	for id := range runs {
		if !known[id] && !probes[id] && !strings.HasPrefix(id, "settle-") {
			v.add("unasked", "request %s ran but no caller sent it", id)
		}
	}
	for _, d := range r.fleet.daemons {
		d.mutex.Lock()
		for range d.unexpectedExits {
			v.add("ended", "%s exited without a request to stop", d.name)
		}
		d.mutex.Unlock()
	}
	return v
}

// checkResponse checks the response that the caller received.
func (v violations) checkResponse(x result) {
	if x.status == 0 {
		return
	}
	if id := x.header.Get(wire.FieldAttempt); id != "" && id != x.id {
		v.add("wrong", "request %s got the response to %s", x.id, id)
	}
	signed := x.header.Get(wire.FieldSignature) != ""
	switch {
	case x.status == http.StatusOK && !signed:
		v.add("wrong", "request %s got a successful response without a signature", x.id)
	case x.status == http.StatusOK && x.err == nil && string(x.body) != x.wantBody():
		v.add("wrong", "request %s got %q as a complete response", x.id, x.body)
	case x.status == http.StatusOK && !strings.HasPrefix(x.wantBody(), string(x.body)):
		v.add("wrong", "request %s got %q before the response was cut", x.id, x.body)
	case x.status >= 300 && x.status < 500 && !slices.Contains(notRunStatuses, x.status):
		v.add("denied", "request %s of route %s got status %d", x.id, x.route.name, x.status)
	case signed && x.status != http.StatusOK && x.status != http.StatusInternalServerError:
		v.add("wrong", "request %s got signed status %d, which no target sends", x.id, x.status)
	}
}

// notRunStatuses are the statuses by which a daemon guarantees that a request did
// not run and never will.
var notRunStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// checkRuns checks the runs of a request at targets.
func (v violations) checkRuns(x result, runs []server.Run) {
	servers := map[string]bool{}
	for _, run := range runs {
		if !run.Lost {
			servers[run.Instance] = true
		}
		if run.Service != x.route.service || run.Path != x.path() {
			v.add("misrouted", "request %s ran at service %s with path %s", x.id, run.Service, run.Path)
		}
		if run.Account != accountName(x.account) || run.Key != "" {
			v.add("misrouted", "request %s of %s ran for account %q with key %q", x.id, accountName(x.account), run.Account, run.Key)
		}
	}
	if len(servers) > maxAttempts {
		v.add("tooOften", "request %s ran at %d targets", x.id, len(servers))
	}
	if !x.route.atMostOnce() {
		return
	}
	if len(runs) > 1 {
		v.add("duplicated", "request %s of route %s ran %d times", x.id, x.route.name, len(runs))
	}
	if len(runs) > 0 && slices.Contains(notRunStatuses, x.status) {
		v.add("falseNotRun", "request %s of route %s got status %d but ran at %s", x.id, x.route.name, x.status, runs[0].Instance)
	}
}

// excused reports whether the daemon or a target of the request had an unplanned
// fault. Faults of the store and between daemons excuse nothing.
func (r *run) excused(x result, runs []server.Run) bool {
	if r.faultDuring(x.daemon.name, x.start, x.end) {
		return true
	}
	for _, run := range runs {
		if run.Lost || r.faultDuring(run.Server, x.start, x.end) {
			return true
		}
	}
	return false
}

// faultDuring reports whether the subject had a fault between from and to, or at
// most faultAfterEffect before.
func (r *run) faultDuring(subject string, from, to time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.ContainsFunc(r.faults, func(s interval) bool {
		return s.subject == subject && s.from.Before(to) && (s.to.IsZero() || s.to.Add(faultAfterEffect).After(from))
	})
}

// maxDrainDelay returns the longest time after the start of a drain at which a
// target began to run a request, except for those that a fault excuses.
func (r *run) maxDrainDelay() time.Duration {
	var worst time.Duration
	for _, runs := range server.RunsByAttempt(r.fleet.targets) {
		for _, run := range runs {
			from, drained := r.drainStarts[run.Instance]
			if late := run.Started.Sub(from); drained && late > worst && !r.drainExcused(from, run) {
				worst = late
			}
		}
	}
	return worst
}

// drainExcused reports whether a fault may have delayed the news of a drain to a
// daemon, or the request to the target.
func (r *run) drainExcused(from time.Time, late server.Run) bool {
	subjects := []string{storeSubject, late.Server}
	for _, d := range r.fleet.daemons {
		subjects = append(subjects, d.name) // the run does not say which daemon sent the request
	}
	// The platform counts a machine as connected again only some seconds after a fault.
	return slices.ContainsFunc(subjects, func(s string) bool { return r.faultDuring(s, from.Add(-reconnectGrace), late.Started) })
}

// reconnectGrace is how long a fault that ended before a drain still excuses a
// daemon that learns of the drain late.
const reconnectGrace = 4 * time.Second

// maxOverrun returns the longest time beyond the time limit of the route that a
// caller waited for its response, except at daemons that had a fault.
func (r *run) maxOverrun(results []result) time.Duration {
	var worst time.Duration
	for _, x := range results {
		if late := x.end.Sub(x.start) - routeTimeout; !x.cancelled && late > worst && !r.faultDuring(x.daemon.name, x.start, x.end) {
			worst = late
		}
	}
	return worst
}

// checkHung adds the requests that did not end before the client's timeout.
func (v violations) checkHung(results []result) {
	for _, x := range results {
		if x.end.Sub(x.start) >= routeTimeout+hangTimeout {
			v.add("hung", "request %s to %s did not end", x.id, x.daemon.name)
		}
	}
}

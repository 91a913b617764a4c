package soaker

import (
	"net/http"
	"slices"
	"strings"

	"monsoondeck.example/emulator/server"
)

// checkTornHeads checks that no caller sees a success of which no target sent a whole
// head.
func (v violations) checkTornHeads(x result, runs []server.Run) {
	whole := slices.ContainsFunc(runs, func(run server.Run) bool { return run.Fault != server.FaultTornHead })
	if len(runs) > 0 && !whole && x.status/100 == 2 {
		v.add("tornHead", "request %s of route %s got status %d, but the head of each response ended in the middle", x.id, x.route.name, x.status)
	}
}

// sentLate reports whether the request was sent to a daemon that had long been stopping.
func (x result) sentLate(s plannedStop) bool {
	return x.daemon == s.daemon && x.start.After(s.signalled.Add(stopNotice)) && x.start.Before(s.exited)
}

// checkStop checks a request to a daemon during a planned stop: it gets a whole response
// or the status that says not run. What was sent before the balancer knew of the stop may
// be broken at its end.
func (v violations) checkStop(x result, s plannedStop, runs []server.Run) {
	if x.daemon != s.daemon || x.cancelled || x.end.Before(s.signalled) || x.start.After(s.exited) {
		return
	}
	lastSixth := s.signalled.Add(stopTimeout * 5 / 6)
	excused := len(runs) > 0 && !x.start.After(s.signalled.Add(stopNotice)) && !x.end.Before(lastSixth)
	switch read := len(runs) > 0 || x.status != 0 || x.read; {
	case x.err != nil && read && !excused:
		v.add("stopBroken", "request %s of route %s to %s, sent %v after the stop signal, broke %v later: status %d, %v", x.id, x.route.name, s.daemon.name, x.start.Sub(s.signalled), x.end.Sub(x.start), x.status, x.err)
	case x.err == nil && x.status != http.StatusOK && x.status != http.StatusServiceUnavailable:
		v.add("stopBroken", "request %s of route %s to %s, sent %v after the stop signal, got status %d", x.id, x.route.name, s.daemon.name, x.start.Sub(s.signalled), x.status)
	}
}

// checkSilence checks that a stream whose target was silent is not broken before its time
// is used up.
func (v violations) checkSilence(x result, runs []server.Run, excused bool) {
	if !strings.HasPrefix(x.name, silentPrefix) || len(runs) == 0 || x.cancelled || excused {
		return
	}
	if used := x.end.Sub(x.start); x.err != nil && used < routeTimeout {
		v.add("cut", "stream %s was broken after %v, after %d bytes: %v", x.id, used, len(x.body), x.err)
	}
}

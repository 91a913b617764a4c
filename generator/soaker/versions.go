package soaker

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"monsoondeck.example/emulator/server"
)

const (
	// maxTakeUps is how often a caller takes up the same stream.
	maxTakeUps = 3
	// takeUpDelay is the time between two attempts to take up a stream, for daemons that are
	// down.
	takeUpDelay = 400 * time.Millisecond
)

// replaceEngines replaces every second engine, or one time in three all of them, by a new
// software version.
func (r *run) replaceEngines(ctx context.Context, e Event) error {
	var engines []*server.Server
	for i, t := range r.fleet.targets[:r.fleet.engineCount()] {
		if e.Subject%3 == 0 || (i+e.Subject)%2 == 0 {
			engines = append(engines, t)
		}
	}
	return r.replaceInTurn(ctx, engines, e.Length, e.Length/4, func(t *server.Server) { t.SetVersion(fmt.Sprint("v", e.Choice)) })
}

// takeUp takes up the stream of a result that is not complete, at any daemon, until it has
// ended or been taken up often enough.
func (c *callers) takeUp(r *rand.Rand, client *http.Client, first result) {
	x, received := first, first.events()
	for n := range maxTakeUps {
		if !first.route.resumable || x.complete() || received == 0 || received == first.route.eventCount() {
			return
		}
		time.Sleep(takeUpDelay)
		q := first.request
		q.id, q.resumes, q.after = fmt.Sprintf("%s-again-%d", first.id, n), first.id, received-1
		x = c.do(context.Background(), client, c.fleet.daemons[r.IntN(len(c.fleet.daemons))], q)
		received += x.events()
	}
}

// events returns the number of whole events in a response.
func (x result) events() int {
	if x.status != http.StatusOK {
		return 0
	}
	return bytes.Count(x.body, []byte("\n\n"))
}

// resumedShare returns the share of the streams that were taken up, and not refused because
// their version has left, that went on, and their number.
func resumedShare(results []result) (float64, int) {
	wentOn, all := map[string]bool{}, map[string]bool{}
	for _, x := range results {
		if x.resumes == "" || x.status == 0 || bytes.Contains(x.body, []byte("streamVersionGone")) {
			continue
		}
		all[x.resumes] = true
		if x.status == http.StatusOK {
			wentOn[x.resumes] = true
		}
	}
	return float64(len(wentOn)) / float64(max(len(all), 1)), len(all)
}

// checkVersions checks that each stream goes on only at the software version that sent its
// first event, within an attempt and when its caller takes it up.
func (v violations) checkVersions(results []result, runs map[string][]server.Run) {
	for _, x := range results {
		first := x.id
		if x.resumes != "" {
			first = x.resumes
		}
		began, known := "", false
		check := func(attempt string, run server.Run) {
			if run.Events > 0 && known && run.Version != began {
				v.add("mixedVersions", "attempt %s began at version %q, and attempt %s went on at %s with version %q", first, began, attempt, run.Instance, run.Version)
			}
		}
		for _, run := range runs[first] {
			if run.After == "" && run.Events > 0 {
				began, known = run.Version, true
			} else if run.After != "" {
				check(first, run)
			}
		}
		if x.resumes != "" {
			for _, run := range runs[x.id] {
				check(x.id, run)
			}
		}
	}
}

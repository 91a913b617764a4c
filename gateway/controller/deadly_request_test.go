package controller_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"monsoondeck.example/gateway/queuer"
)

// Load: fleets of 6 to 300 daemons with four targets of a small service, a popular sound
// request at all times, and a request without a prompt that crashes each target that runs
// it and comes again at any daemon. Guards against BUDGET of 2026-12-06: no daemon
// recognised such a request, so that it crashed all targets each time they were back; and
// against refusing the sound requests that were at the same targets. A daemon that starts
// anew learns of the request from the others.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	for _, daemons := range []int{6, 40, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			s := startCrashSite(t, daemons, 4, false)
			var sound, answered atomic.Int64
			began := s.now()
			for i := 0; s.now()-began < 16*time.Second; i++ {
				if i%3 == 0 {
					s.requests.Go(func() { s.send(i*7%daemons, siteRequest{fingerprint: 1, deadly: true}) })
				}
				late := s.now()-began > 10*time.Second
				for j := range 2 {
					s.requests.Go(func() {
						outcome := s.send((i*5+j)%daemons, siteRequest{fingerprint: uint64(2 + j)})
						if late {
							sound.Add(1)
							if outcome == siteAnswered {
								answered.Add(1)
							}
						}
					})
				}
				s.sleep(50 * time.Millisecond)
			}
			s.requests.Wait()
			t.Logf("%d arrivals, %d crashes, %d arrivals later than %v after the third; %d of %d sound requests answered after 10 s", len(s.arrivals), len(s.crashes), s.later(), connectivityTime, answered.Load(), sound.Load())
			if n := s.later(); n > maxLaterRetries {
				t.Errorf("%d requests reached targets later than %v after the third crash, want at most %d", n, connectivityTime, maxLaterRetries)
			}
			if answered.Load() < sound.Load()*9/10 {
				t.Errorf("%d of %d sound requests were answered", answered.Load(), sound.Load())
			}
			restarted := s.network.start(t, 1, daemons, s.network.began)
			waitUntil(func() bool { return restarted.Stats().Quarantined == 1 })
		})
	}
}

// Load: sound requests, popular, slow and unique ones, at targets that end for other
// reasons than a request. Guards against sound requests that are refused because they were
// at targets which were killed, several at once or one after the other, or which flap.
func TestTargetsThatEndForOtherReasonsPutNoRequestAway(t *testing.T) {
	for name, kill := range map[string]struct {
		// count targets are killed at once, times in a row with the pause between, every
		// period.
		count, times  int
		pause, period time.Duration
	}{
		"all at once":         {8, 1, 0, 5 * time.Second},
		"half of them":        {4, 1, 0, 4 * time.Second},
		"one after the other": {1, 4, 200 * time.Millisecond, 5 * time.Second},
		"flapping":            {1, 1, 0, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const daemons = 6
			s := startCrashSite(t, daemons, 8, true)
			var refused, answered, failed atomic.Int64
			send := func(i int, r siteRequest) {
				s.requests.Go(func() {
					switch s.send(i%daemons, r) {
					case siteAnswered:
						answered.Add(1)
					case siteFailed:
						failed.Add(1)
					case queuer.ReasonQuarantined:
						refused.Add(1)
					default: // no target
					}
				})
			}
			began, next := s.now(), s.now()+2*time.Second
			for i := 0; s.now()-began < 14*time.Second; i++ {
				for j := range 3 {
					send(i+j, siteRequest{fingerprint: uint64(1 + j)})
				}
				send(i, siteRequest{fingerprint: 10, duration: 250 * time.Millisecond})
				send(i, siteRequest{fingerprint: uint64(1000 + i)})
				send(i, siteRequest{fingerprint: uint64(1000 + i), parts: []string{"all", "subject", fmt.Sprint("own", i)}})
				if s.now() >= next {
					next += kill.period
					s.requests.Go(func() {
						for range kill.times {
							s.kill(kill.count)
							s.sleep(kill.pause)
						}
					})
				}
				s.sleep(50 * time.Millisecond)
			}
			s.requests.Wait()
			t.Logf("%d crashes; %d requests answered, %d failed, %d in quarantine", len(s.crashes), answered.Load(), failed.Load(), refused.Load())
			if refused.Load() > 0 {
				t.Errorf("%d sound requests were refused because of the quarantine", refused.Load())
			}
			for i := range daemons {
				if n := s.node(i).Stats().Quarantined; n > 0 {
					t.Errorf("%d parts or requests in quarantine at %s", n, daemonName(i))
				}
			}
		})
	}
}

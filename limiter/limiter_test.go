package limiter_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"monsoondeck.example/limiter"
	"pgregory.net/rapid"
)

// TestMain fixes the seed so that every run gives the same result. Other seeds are chosen
// with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestLimitConvergesOnCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(4, 64).Draw(t, "slots")
		capacity := rapid.IntRange(2, 2*slots).Draw(t, "capacity")
		c := limiter.NewConcurrency(limiter.ConcurrencySettings{Slots: slots, TokenInterval: 78 * time.Millisecond})
		if got := c.Limit(0); got != max(slots/4, 1) {
			t.Fatalf("slow start at %d of %d slots", got, slots)
		}
		now, sum, samples := time.Duration(0), 0, 0
		for round := range 400 {
			now += time.Second
			limit := c.Limit(now)
			for i := range limit {
				o := limiter.Observation{InFlight: limit, Result: limiter.ResultComplete, TokenInterval: 50 * time.Millisecond}
				if i >= capacity {
					o = limiter.Observation{InFlight: limit, Result: limiter.ResultRefused}
				}
				c.Observe(now, o)
			}
			if round >= 200 {
				sum, samples = sum+limit, samples+1
			}
			if limit > 2*slots || limit > max(capacity+2, slots/4, 2*capacity) {
				t.Fatalf("limit %d at capacity %d", limit, capacity)
			}
		}
		if mean := float64(sum) / float64(samples); mean < 0.6*float64(capacity) || mean > 1.1*float64(capacity)+1 {
			t.Fatalf("mean limit %.1f at capacity %d", mean, capacity)
		}
	})
}

func TestSlowTokensLowerTheLimitButOneSlowRequestDoesNot(t *testing.T) {
	c := limiter.NewConcurrency(limiter.ConcurrencySettings{Slots: 32, FirstToken: time.Second})
	slow := limiter.Observation{InFlight: 8, Result: limiter.ResultComplete, FirstToken: 1100 * time.Millisecond}
	fast := limiter.Observation{InFlight: 1, Result: limiter.ResultComplete, FirstToken: 500 * time.Millisecond}
	c.Observe(0, slow)
	c.Observe(0, fast)
	c.Observe(0, slow)
	if got := c.Limit(0); got < 8 {
		t.Fatalf("limit %d after one slow request", got)
	}
	for range 20 {
		c.Observe(0, slow)
	}
	if got := c.Limit(0); got >= 8 {
		t.Fatalf("limit %d after 20 slow requests", got)
	}
}

func TestOverloadIsCountedOncePerInterval(t *testing.T) {
	c := limiter.NewConcurrency(limiter.ConcurrencySettings{Slots: 40})
	for range 8 {
		c.Observe(0, limiter.Observation{InFlight: 10, Result: limiter.ResultRefused})
	}
	if got := c.Limit(0); got != 7 {
		t.Fatalf("limit %d after refusals at one time, want 7", got)
	}
}

func TestEjectedTargetIsProbedWithGrowingBackoff(t *testing.T) {
	c := limiter.NewConcurrency(limiter.ConcurrencySettings{Slots: 16, Failures: 3})
	failed := limiter.Observation{InFlight: 1, Result: limiter.ResultFailed}
	c.Observe(0, failed)
	c.Observe(0, failed)
	c.Observe(0, limiter.Observation{InFlight: 4, Result: limiter.ResultComplete})
	for range 3 {
		if c.Limit(0) == 0 {
			t.Fatal("ejected before three consecutive failures")
		}
		c.Observe(0, failed)
	}
	now := time.Duration(0)
	for _, backoff := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		backoff *= time.Second
		c.Observe(now, limiter.Observation{Result: limiter.ResultComplete}) // began before the ejection
		if before := c.Limit(now + backoff - 1); before != 0 {
			t.Fatalf("limit %d before the end of %v", before, backoff)
		}
		now += backoff
		if c.Limit(now) != 1 || c.State(now) != limiter.StateProbing {
			t.Fatalf("limit %d after %v", c.Limit(now), backoff)
		}
		c.Observe(now, failed)
	}
	now += 30 * time.Second
	c.Observe(now, limiter.Observation{Result: limiter.ResultComplete})
	if got := c.Limit(now); got != 4 {
		t.Fatalf("limit %d after recovery, want slow start", got)
	}
}

func TestAdmissionNeverExceedsLimitsNorLeaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := limiter.NewAdmission(limiter.AdmissionSettings{AccountRequests: 4, AccountBytes: 100, TotalBytes: 150})
		a.SetAccountRequests("a0", 2)
		var releases []func()
		held := map[string]int{}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				account := fmt.Sprintf("a%d", rapid.IntRange(0, 2).Draw(t, "account"))
				release, err := a.Admit(account, rapid.Int64Range(0, 120).Draw(t, "bytes"))
				if err != nil {
					if !errors.Is(err, limiter.ErrQueueFull) && !errors.Is(err, limiter.ErrBytesFull) {
						t.Fatal(err)
					}
					return
				}
				held[account]++
				releases = append(releases, func() { release(); release(); held[account]-- })
			},
			"release": func(*rapid.T) {
				if len(releases) > 0 {
					releases[0]()
					releases = releases[1:]
				}
			},
			"": func(t *rapid.T) {
				for account, n := range held {
					if got := a.Waiting(account); got != n || n > 4 || account == "a0" && n > 2 {
						t.Fatalf("%s has %d waiting, want %d", account, got, n)
					}
				}
			},
		})
		for _, release := range releases {
			release()
		}
		if _, err := a.Admit("a0", 100); err != nil {
			t.Fatalf("bytes leaked: %v", err)
		}
	})
}

func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		minimum := rapid.IntRange(0, 5).Draw(t, "minimum")
		b := limiter.NewRetryBudget(0.1, minimum)
		requests, retries := 0, 0
		for _, request := range rapid.SliceOf(rapid.Bool()).Draw(t, "events") {
			if request {
				b.Request()
				requests++
			} else if b.Retry() {
				retries++
			}
			if float64(retries) > float64(minimum)+0.1*float64(requests)+1e-3 {
				t.Fatalf("%d retries of %d requests", retries, requests)
			}
		}
		for range 10 {
			b.Request()
		}
		if !b.Retry() {
			t.Fatal("no retry after ten requests")
		}
	})
}

func TestRetryAfterFollowsTheRateOfService(t *testing.T) {
	var d limiter.Departures
	if got := d.RetryAfter(0, 1); got != limiter.MaximumRetryAfter {
		t.Fatalf("%v without service", got)
	}
	now := time.Duration(0)
	for range 600 {
		now += 100 * time.Millisecond
		d.Add(now)
	}
	if got := d.RetryAfter(now, 100); got < 9*time.Second || got > 11*time.Second {
		t.Fatalf("%v for 100 requests at 10 per second", got)
	}
}

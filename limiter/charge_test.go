package limiter_test

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/limiter"
)

// Guards against charges that are released twice or never, and against a sum above the
// bound, whatever the order in which charges grow, shrink and are released.
func TestChargesAreReleasedExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, headers, reserved, small = 1000, 300, 200, 50
		a := limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: total, HeaderBytes: headers, ReservedBytes: reserved, SmallBytes: small})
		charges := make([]limiter.Charge, 8)
		held := make([]map[limiter.Kind]int64, len(charges))
		sum := func(k limiter.Kind) (n int64) {
			for _, h := range held {
				n += h[k]
			}
			return n
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(charges)-1).Draw(t, "charge")
			c, k := &charges[i], limiter.Kind(rapid.IntRange(0, len(limiter.Kinds())-1).Draw(t, "kind"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if held[i] == nil {
					held[i] = map[limiter.Kind]int64{}
					if i%2 == 0 {
						a.Open(c)
					} else if err := a.OpenRequest(c, "account"); err != nil {
						t.Fatal(err)
					}
				}
			case 1:
				n := rapid.Int64Range(0, 400).Draw(t, "bytes")
				err := c.Grow(k, n)
				if (held[i] == nil) != errors.Is(err, limiter.ErrReleased) {
					t.Fatalf("error %v, open %t", err, held[i] != nil)
				}
				if err == nil {
					held[i][k] += n
				}
			case 2:
				c.Shrink(k)
				delete(held[i], k)
			case 3:
				c.Release()
				held[i] = nil
			}
			all := int64(0)
			for _, k := range limiter.Kinds() {
				bytes, _ := a.Charged(k)
				if bytes != sum(k) {
					t.Fatalf("%d bytes charged as %s, want %d", bytes, k, sum(k))
				}
				all += bytes
			}
			if header, _ := a.Charged(limiter.KindHeader); all > total || header > headers {
				t.Fatalf("%d bytes and %d of headers are charged", all, header)
			}
		}
		for i := range charges {
			charges[i].Release()
			charges[i].Release()
		}
		if n := a.Waiting("account"); n != 0 {
			t.Fatalf("%d requests are left", n)
		}
	})
}

// Guards against ordinary requests that are refused because large bodies hold all memory.
func TestReserveIsForSmallCharges(t *testing.T) {
	a := limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: 1000, ReservedBytes: 200, SmallBytes: 50})
	var large, larger, small limiter.Charge
	for _, c := range []*limiter.Charge{&large, &larger, &small} {
		a.Open(c)
	}
	if err := large.Grow(limiter.KindBody, 800); err != nil {
		t.Errorf("a single large charge was refused: %v", err)
	}
	if err := larger.Grow(limiter.KindBody, 51); !errors.Is(err, limiter.ErrBytesFull) {
		t.Errorf("error %v for a large charge out of the reserve", err)
	}
	if err := small.Grow(limiter.KindBody, 50); err != nil {
		t.Errorf("a small charge was refused: %v", err)
	}
}

// Guards against evicting transfers that make progress, against evicting more than is
// needed, and against single bytes that pass for progress.
func TestLongestStalledTransferIsEvictedFirst(t *testing.T) {
	a := limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: 1000})
	var closed []string
	open := func(name string, at time.Duration) *limiter.Charge {
		c := &limiter.Charge{}
		a.Open(c)
		if err := c.Grow(limiter.KindBody, 100); err != nil {
			t.Fatal(err)
		}
		c.Watch(at, func() { closed = append(closed, name) })
		return c
	}
	dripping, moving, stopped, ended := open("dripping", 1), open("moving", 2), open("stopped", 3), open("ended", 4)
	dripping.Progress(9*time.Second, 100)
	moving.Progress(9*time.Second, 1<<20)
	ended.Unwatch()
	if n := a.EvictStalled(10*time.Second, 5*time.Second, 100); n != 1 || len(closed) != 1 || closed[0] != "dripping" {
		t.Errorf("evicted %d: %v, want the one that has been without progress for longest", n, closed)
	}
	if n := a.EvictStalled(10*time.Second, 5*time.Second, 1000); n != 1 || closed[1] != "stopped" {
		t.Errorf("evicted %d: %v, want only the other one that has stalled", n, closed)
	}
	if !dripping.Evicted() || !stopped.Evicted() || moving.Evicted() {
		t.Error("the wrong charges are marked as evicted")
	}
	moving.Release()
	if n := a.EvictStalled(time.Hour, 5*time.Second, 1000); n != 0 {
		t.Errorf("%d transfers were evicted after their end", n)
	}
}

// Guards against a shortage that nobody notices, and against a refusal that blocks because
// nobody reads the signal.
func TestShortageIsSignalled(t *testing.T) {
	a := limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: 10})
	var c limiter.Charge
	a.Open(&c)
	for range 3 {
		if err := c.Grow(limiter.KindStream, 11); !errors.Is(err, limiter.ErrBytesFull) {
			t.Error(err)
		}
	}
	<-a.Shortage()
	if _, refusals := a.Charged(limiter.KindStream); refusals != 3 {
		t.Errorf("%d refusals were counted, want 3", refusals)
	}
}

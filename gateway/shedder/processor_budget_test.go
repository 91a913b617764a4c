package shedder_test

import (
	"testing"
	"time"

	"monsoondeck.example/gateway/shedder"
)

// budgetHost is a host whose requests take a part of their processor time later, as streams do.
type budgetHost struct {
	budget *shedder.ProcessorBudget
	cores  float64
	// backlog is the processor time of what was admitted and is not done, in seconds.
	backlog float64
	// parts is the number of parts of a tick in which its requests arrive.
	parts    int
	now      time.Duration
	used     time.Duration
	admitted int
	// longest is the longest time that the host needed for its backlog.
	longest time.Duration
}

func newBudgetHost(cores float64) *budgetHost {
	return &budgetHost{budget: shedder.NewProcessorBudget(cores), parts: 1, cores: cores}
}

// offer lets a number of requests arrive in each tick, of which each costs the given processor
// time.
func (h *budgetHost) offer(duration time.Duration, perTick int, cost time.Duration) {
	for end := h.now + duration; h.now < end; h.now += shedder.TimerInterval {
		for i := range perTick {
			part := time.Duration(i * h.parts / perTick)
			if h.budget.Admit(h.now + part*shedder.TimerInterval/time.Duration(h.parts)) {
				h.admitted++
				h.backlog += cost.Seconds()
			}
		}
		spent := min(h.backlog, h.cores*shedder.TimerInterval.Seconds())
		h.backlog -= spent
		h.used += time.Duration(spent * float64(time.Second))
		behind := time.Duration(h.backlog / h.cores * float64(time.Second))
		h.longest = max(h.longest, behind)
		h.budget.RecordUse(h.now+shedder.TimerInterval, h.used, behind)
	}
}

// Load: a thousand requests at once at a small host that has been idle. Guards against FAIR: a
// burst that is accepted as a whole keeps the host behind until all of its callers have left.
func TestBurstIsAdmittedUpToWhatTheHostFinishesInTime(t *testing.T) {
	const limit = 300 * time.Millisecond // the shortest objective
	for _, cores := range []float64{0.144, 0.48, 0.8} {
		h := newBudgetHost(cores)
		h.offer(shedder.TimerInterval, 1000, 500*time.Microsecond)
		if h.longest > limit || h.admitted == 0 {
			t.Errorf("%.3f cores: %d of 1000 requests were admitted, which take %v, want some and at most %v", cores, h.admitted, h.longest, limit)
		}
	}
}

// Load: ten times what a host can serve, with requests that cost more or less than expected.
// Guards against a host that idles while callers wait, and against one that falls behind.
func TestBudgetFollowsTheMeasuredCost(t *testing.T) {
	const settled, measured = 10 * time.Second, 10 * time.Second
	for _, cost := range []time.Duration{200 * time.Microsecond, 500 * time.Microsecond, 2 * time.Millisecond} {
		h := newBudgetHost(0.144)
		h.parts = 10
		h.offer(settled, 100, cost)
		h.admitted, h.longest = 0, 0
		h.offer(measured, 100, cost)
		use := float64(h.admitted) * cost.Seconds() / measured.Seconds() / h.cores
		if use < 0.8 || use > 1 {
			t.Errorf("requests of %v take %.2f of the processor time, want 0.8 to 1", cost, use)
		}
		if h.longest > 300*time.Millisecond {
			t.Errorf("requests of %v: the host was %v behind", cost, h.longest)
		}
	}
}

// Load: a flood of four times what a host serves, which ends when the balancer has taken the
// host out. Guards against a host that counts as busy, and prolongs its rest, for seconds after
// its callers have left.
func TestRestEndsWithTheLoad(t *testing.T) {
	const flood, rest, grace = 3 * time.Second, 5 * time.Second, 800 * time.Millisecond
	for _, perTick := range []int{20, 95} {
		b, s := shedder.NewProcessorBudget(0.36), shedder.New(0)
		readyAt := time.Duration(0)
		for now := shedder.TimerInterval; now < 2*flood+2*rest; now += shedder.TimerInterval {
			for i := 0; i < perTick && now < flood; i++ {
				if at := now + time.Duration(i)*shedder.TimerInterval/time.Duration(perTick); i%4 > 0 || !b.Admit(at) {
					b.Refuse(at)
				}
			}
			s.RecordRefused(b.RefusedShare(now + shedder.TimerInterval))
			s.RecordTimerDelay(now, 0)
			if now < flood && now > 2*time.Second && !s.Unready(now) {
				t.Fatalf("%d requests a tick: the host is ready at %v, under load", perTick, now)
			}
			if s.Unready(now) {
				readyAt = now + shedder.TimerInterval
			}
		}
		if readyAt > flood+rest+grace {
			t.Errorf("%d requests a tick: the host is ready %v after the load, want at most %v", perTick, readyAt-flood, rest+grace)
		}
	}
}

// Guards against a host that counts as less busy because its callers come at some distance.
func TestRefusedShareHoldsWhileRequestsCome(t *testing.T) {
	b, now := shedder.NewProcessorBudget(0.144), time.Second
	for range 100 {
		now += shedder.TimerInterval
		b.Refuse(now)
		if share := b.RefusedShare(now + shedder.TimerInterval); share != 1 && now > 2*time.Second {
			t.Fatalf("the refused share is %v, want 1", share)
		}
	}
}

// Guards against a refusal on hosts whose size is not known.
func TestUnknownProcessorTimeIsNotLimited(t *testing.T) {
	b := shedder.NewProcessorBudget(0)
	for range 10_000 {
		if !b.Admit(time.Second) || !b.MayRefuse(time.Second) {
			t.Fatal("a request was refused")
		}
	}
	if share := b.RefusedShare(time.Second); share != 0 {
		t.Errorf("the refused share is %v, want 0", share)
	}
}

// Guards against a flood that leaves no processor time for the accounts that had less.
func TestPreferredRequestsMayExceedTheBudget(t *testing.T) {
	b := shedder.NewProcessorBudget(0.144)
	for b.Admit(0) {
	}
	if !b.AdmitPreferred(0) {
		t.Error("the request of an account that had less than the others was refused")
	}
	for range 1000 {
		b.AdmitPreferred(0)
	}
	if b.AdmitPreferred(0) {
		t.Error("preferred requests have no limit")
	}
	for range 10 {
		b.Refuse(0)
	}
	if b.Admit(50 * time.Millisecond) {
		t.Error("what preferred requests took is not taken from later ones")
	}
}

// Load: a flood of requests that are refused all the same. Guards against a host that refuses
// everything long after the flood has ended.
func TestBudgetForgetsAFloodThatHasEnded(t *testing.T) {
	const flood = 10 * time.Second
	b := shedder.NewProcessorBudget(0.144)
	for now := time.Duration(0); now < flood; now += time.Millisecond {
		for range 2 {
			b.Refuse(now)
		}
	}
	if after := flood + 500*time.Millisecond; !b.Admit(after) || !b.MayRefuse(after) {
		t.Error("half a second after the flood the host neither admits nor refuses a request")
	}
}

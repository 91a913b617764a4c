package analyser

import (
	"cmp"
	"slices"
	"time"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/scheduler"
)

// Conditions are the values besides Input that the bound of the fairness gap depends
// on.
type Conditions struct {
	// ExchangeInterval is the interval at which daemons exchange fleet-wide totals.
	ExchangeInterval time.Duration
	// MessageDelay is the delay of one message between daemons.
	MessageDelay time.Duration
	// Shards is the number of shards of the pool.
	Shards int
	// OwnerChanges is the number of shard owners lost within the window.
	OwnerChanges int
}

// Bound returns the scheduler's bound of the fairness gap, as the maximum over all
// pairs of accounts. The largest cost of a request, the slots held by an account and
// the rate of the pool are those measured in the window.
func (in Input) Bound(c Conditions) float64 {
	largest, held := in.largestCosts(), in.slotsHeld()
	var rate float64
	for _, s := range in.Services {
		if at := time.UnixMilli(s.Bucket); s.Pool == in.Pool && !at.Before(in.From) && at.Before(in.To) {
			rate += s.Units
		}
	}
	rate /= max(in.To.Sub(in.From).Seconds(), 1e-9)
	var bound float64
	for a, weightA := range in.Shares {
		for b, weightB := range in.Shares {
			if a < b {
				bound = max(bound, scheduler.Bound(scheduler.BoundInput{
					LargestA: largest[a], LargestB: largest[b], WeightA: weightA, WeightB: weightB,
					Held: max(held[a], held[b]), Shards: c.Shards, Rate: rate,
					Exchange: c.ExchangeInterval, Delay: c.MessageDelay, OwnerChanges: c.OwnerChanges,
				}))
			}
		}
	}
	return bound
}

// inWindow reports whether an execution in the pool overlaps the window.
func (in Input) inWindow(e oracle.Execution) bool {
	return e.Pool == in.Pool && e.Start.Before(in.To) && (e.End.IsZero() || e.End.After(in.From))
}

// largestCosts returns, per account, the most units of one execution.
func (in Input) largestCosts() map[string]float64 {
	out := map[string]float64{}
	for _, e := range in.Executions {
		if in.inWindow(e) {
			out[e.Account] = max(out[e.Account], e.Units)
		}
	}
	return out
}

// slotsHeld returns the largest number of slots that each account held at once.
func (in Input) slotsHeld() map[string]int {
	type step struct {
		at      int64
		account string
		change  int
	}
	var steps []step
	for _, e := range in.Executions {
		if !in.inWindow(e) {
			continue
		}
		end := in.To
		if !e.End.IsZero() {
			end = e.End
		}
		steps = append(steps, step{e.Start.UnixNano(), e.Account, 1}, step{end.UnixNano(), e.Account, -1})
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.change, b.change)) })
	held, out := map[string]int{}, map[string]int{}
	for _, s := range steps {
		held[s.account] += s.change
		out[s.account] = max(out[s.account], held[s.account])
	}
	return out
}

package analyser

import (
	"cmp"
	"slices"
	"time"

	"monsoondeck.example/emulator/oracle"
)

// Delays are the delays that the bound of the fairness gap depends on.
type Delays struct {
	// Exchange is the exchange interval of fleet-wide totals.
	Exchange time.Duration
	// Message is the delay of one message.
	Message time.Duration
}

// Bound returns the bound of the fairness gap in section 3.3 of the design page,
// as the maximum over all pairs of accounts. The largest cost, the slots that an
// account held beyond its share and the rate of the pool are those measured in
// the window.
func (in Input) Bound(d Delays) float64 {
	largest, beyond := in.largestCosts(), in.slotsBeyondShare()
	var rate float64
	for _, s := range in.Services {
		if at := time.UnixMilli(s.Bucket); s.Pool == in.Pool && !at.Before(in.From) && at.Before(in.To) {
			rate += s.Units
		}
	}
	rate /= max(in.To.Sub(in.From).Seconds(), 1e-9)
	var bound float64
	for a, wa := range in.Shares {
		for b, wb := range in.Shares {
			if a >= b {
				continue
			}
			late := (largest[a]/wa + largest[b]/wb) * max(beyond[a], beyond[b], 1)
			exchange := rate * 2 * (d.Exchange + d.Message).Seconds() / (wa + wb)
			bound = max(bound, late+exchange)
		}
	}
	return bound
}

func (in Input) inWindow(e oracle.Execution) bool {
	return e.Pool == in.Pool && e.Start.Before(in.To) && (e.End.IsZero() || e.End.After(in.From))
}

func (in Input) largestCosts() map[string]float64 {
	out := map[string]float64{}
	for _, e := range in.Executions {
		if in.inWindow(e) {
			out[e.Account] = max(out[e.Account], e.Units)
		}
	}
	return out
}

// slotsBeyondShare returns the largest number of slots that each account held at
// once beyond its share of the pool's slots.
func (in Input) slotsBeyondShare() map[string]float64 {
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
	var slots, weights float64
	for _, s := range in.Slots {
		slots += float64(s)
	}
	for _, w := range in.Shares {
		weights += w
	}
	held, out := map[string]int{}, map[string]float64{}
	for _, s := range steps {
		held[s.account] += s.change
		own := slots * in.Shares[s.account] / max(weights, 1e-9)
		out[s.account] = max(out[s.account], float64(held[s.account])-own)
	}
	return out
}

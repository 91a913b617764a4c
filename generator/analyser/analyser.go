// Package analyser computes the fairness and utilisation of a run from the
// executions recorded by the targets and the requests of the callers.
package analyser

import (
	"cmp"
	"slices"
	"time"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/generator/loader"
)

// Input is the record of one run. All times come from the clock of one machine.
type Input struct {
	// Pool is the pool to analyse; fairness is defined per pool.
	Pool string
	// Shares holds the weight of each account by its ID.
	Shares map[string]float64
	// From and To limit the analysis to a window.
	From, To time.Time
	// Slots holds the number of slots of each target of the pool by its ID.
	Slots map[string]int
	// Requests are the requests of the callers, in any order.
	Requests []loader.Result
	// Executions, Services and Busy are recorded by the targets.
	Executions []oracle.Execution
	Services   []oracle.Service
	Busy       []oracle.SlotTime
}

// interval is a span of time in Unix nanoseconds.
type interval struct{ from, to int64 }

// waiting returns, per account, the union of the intervals in which at least one of
// its requests waited, from sending until its first execution or its end.
func (in Input) waiting() map[string][]interval {
	started := map[string]int64{}
	for _, e := range in.Executions {
		at := e.Start.UnixNano()
		if old, ok := started[e.CallerRequestID]; !ok || at < old {
			started[e.CallerRequestID] = at
		}
	}
	out := map[string][]interval{}
	for _, r := range in.Requests {
		if r.Pool != in.Pool {
			continue
		}
		end := in.To.UnixNano()
		if !r.End.IsZero() {
			end = r.End.UnixNano()
		}
		if at, ok := started[r.ID]; ok {
			end = min(end, at)
		}
		if from := r.Start.UnixNano(); from < end {
			out[r.Account] = append(out[r.Account], interval{from, end})
		}
	}
	for a, list := range out {
		out[a] = union(list)
	}
	return out
}

// union sorts the list and returns it with overlapping intervals merged.
func union(list []interval) []interval {
	slices.SortFunc(list, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	var out []interval
	for _, x := range list {
		if n := len(out); n > 0 && x.from <= out[n-1].to {
			out[n-1].to = max(out[n-1].to, x.to)
		} else {
			out = append(out, x)
		}
	}
	return out
}

// buckets returns the number of whole buckets in the window and the start of the
// first one in Unix milliseconds.
func (in Input) buckets() (first int64, n int) {
	size := oracle.Bucket.Milliseconds()
	first = (in.From.UnixMilli() + size - 1) / size * size
	return first, int(max(0, in.To.UnixMilli()-first) / size)
}

// covered marks the buckets that lie wholly within a union of intervals.
func (in Input) covered(list []interval) []bool {
	first, n := in.buckets()
	out := make([]bool, n)
	size := oracle.Bucket.Nanoseconds()
	for _, x := range list {
		base := first * int64(time.Millisecond)
		i := max(0, (x.from-base+size-1)/size)
		for ; i < int64(n) && base+(i+1)*size <= x.to; i++ {
			out[i] = true
		}
	}
	return out
}

// Backlogged reports, per account, for each bucket of the window whether the account
// had waiting requests throughout it.
func (in Input) Backlogged() map[string][]bool {
	out := map[string][]bool{}
	for a, list := range in.waiting() {
		out[a] = in.covered(list)
	}
	return out
}

// normalised returns, per account, the units of service per weight in each bucket.
func (in Input) normalised() map[string][]float64 {
	first, n := in.buckets()
	out := map[string][]float64{}
	for a := range in.Shares {
		out[a] = make([]float64, n)
	}
	for _, s := range in.Services {
		i := (s.Bucket - first) / oracle.Bucket.Milliseconds()
		if s.Pool == in.Pool && s.Bucket >= first && i < int64(n) && out[s.Account] != nil {
			out[s.Account][i] += s.Units / in.Shares[s.Account]
		}
	}
	return out
}

package analyser

import (
	"maps"
	"slices"

	"monsoondeck.example/emulator/oracle"
)

// Gap is the largest difference of normalised service between two accounts over
// any span of buckets in which both were backlogged.
type Gap struct {
	// Value is in units per weight.
	Value float64
	// A and B are the IDs of the accounts; empty if Value is 0.
	A, B string
	// Pairs is the number of pairs of accounts that were backlogged together in at
	// least one bucket.
	Pairs int
}

// Gap returns the fairness gap of the window.
func (in Input) Gap() Gap {
	service, backlogged := in.normalised(), in.Backlogged()
	accounts := slices.Sorted(maps.Keys(backlogged))
	var g Gap
	for i, a := range accounts {
		for _, b := range accounts[i+1:] {
			if service[a] == nil || service[b] == nil {
				continue
			}
			v, jointBacklog := largestDifference(service[a], service[b], backlogged[a], backlogged[b])
			if jointBacklog {
				g.Pairs++
			}
			if v > g.Value {
				g.Value, g.A, g.B = v, a, b
			}
		}
	}
	return g
}

// largestDifference returns the largest absolute difference over any consecutive
// buckets in which both accounts are backlogged, and whether there are any. Within
// such buckets it is the range of the cumulative difference.
func largestDifference(a, b []float64, waitA, waitB []bool) (gap float64, jointBacklog bool) {
	var sum, minSum, maxSum float64
	for i := range a {
		if !waitA[i] || !waitB[i] {
			sum, minSum, maxSum = 0, 0, 0
			continue
		}
		jointBacklog = true
		sum += a[i] - b[i]
		minSum, maxSum = min(minSum, sum), max(maxSum, sum)
		gap = max(gap, maxSum-minSum)
	}
	return gap, jointBacklog
}

// Halves returns the input limited to the first and to the last half.
func (in Input) Halves() (first, last Input) {
	middle := in.From.Add(in.To.Sub(in.From) / 2)
	first, last = in, in
	first.To, last.From = middle, middle
	return first, last
}

// Utilisation is the share of slot time that was busy while requests waited.
type Utilisation struct {
	// Value is a ratio; a fully used pool has 1.
	Value float64
	// Waiting is the share of the window in which requests waited.
	Waiting float64
}

// Utilisation returns the utilisation of the window. It is 0 if no request waited.
func (in Input) Utilisation() Utilisation {
	first, n := in.buckets()
	anyWaits := make([]bool, n)
	for _, list := range in.Backlogged() {
		for i, w := range list {
			anyWaits[i] = anyWaits[i] || w
		}
	}
	busy := make([]float64, n)
	for _, b := range in.Busy {
		i := (b.Bucket - first) / oracle.Bucket.Milliseconds()
		if _, ok := in.Slots[b.Target]; ok && b.Bucket >= first && i < int64(n) {
			busy[i] += b.BusySlotSeconds
		}
	}
	var slots int
	for _, s := range in.Slots {
		slots += s
	}
	var used float64
	var waits int
	for i := range n {
		if anyWaits[i] {
			used += busy[i]
			waits++
		}
	}
	if waits == 0 || slots == 0 {
		return Utilisation{}
	}
	return Utilisation{
		Value:   used / (float64(waits) * oracle.Bucket.Seconds() * float64(slots)),
		Waiting: float64(waits) / float64(n),
	}
}

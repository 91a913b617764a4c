package analyser

import (
	"maps"
	"slices"

	"monsoondeck.example/emulator/oracle"
)

// Gap is the largest difference of normalised service between two accounts over
// a window in which both were backlogged.
type Gap struct {
	Value float64
	A, B  string
	// Pairs is the number of pairs that were backlogged together at all.
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
			v, together := largestDifference(service[a], service[b], backlogged[a], backlogged[b])
			if together {
				g.Pairs++
			}
			if v > g.Value {
				g.Value, g.A, g.B = v, a, b
			}
		}
	}
	return g
}

// largestDifference returns the largest difference over any window of buckets in
// which both are backlogged. Within such a run of buckets it is the range of the
// cumulative difference.
func largestDifference(a, b []float64, waitA, waitB []bool) (gap float64, together bool) {
	var sum, low, high float64
	for i := range a {
		if !waitA[i] || !waitB[i] {
			sum, low, high = 0, 0, 0
			continue
		}
		together = true
		sum += a[i] - b[i]
		low, high = min(low, sum), max(high, sum)
		gap = max(gap, high-low)
	}
	return gap, together
}

// Halves returns the input limited to the first and to the last half.
func (in Input) Halves() (first, last Input) {
	middle := in.From.Add(in.To.Sub(in.From) / 2)
	first, last = in, in
	first.To, last.From = middle, middle
	return first, last
}

// Utilisation is the share of slot time that was busy while work waited.
type Utilisation struct {
	Value float64
	// Waiting is the share of the window in which work waited.
	Waiting float64
}

// Utilisation returns the utilisation of the window. It is 0 when no work
// waited.
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

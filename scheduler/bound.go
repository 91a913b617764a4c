package scheduler

import "time"

// BoundInput holds the quantities that limit the fairness gap between accounts A and B.
type BoundInput struct {
	// LargestA and LargestB are the largest costs or estimates of a request, in units.
	LargestA, LargestB float64
	WeightA, WeightB   float64
	// Held is the largest number of grants that either account holds at once in the fleet.
	Held int
	// Shards is the number of shards that serve either account.
	Shards int
	// Rate is the pool's service rate in units per second.
	Rate float64
	// Exchange is the interval between reports to the aggregators and Delay the one-way message
	// delay.
	Exchange, Delay time.Duration
	// OwnerChanges counts the owners lost since the gap was 0.
	OwnerChanges int
}

// Bound is the enforced limit of the fairness gap, in units per weight, between two accounts
// that stay backlogged in a connected fleet:
//
//	(LargestA/WeightA + LargestB/WeightB) * (Held + Shards)
//	  + Rate * (2*Exchange + 2*Delay) / min(WeightA, WeightB)
//
// The first term covers the cost of each held grant, which is known only at its end, and one
// request per shard by which an account may overtake the other. The second covers service that
// other shards have granted but not yet reported. Each change of an owner adds the bound once,
// because the new owner knows neither the charges since the last report nor the order in which
// the old one would have served the accounts.
func Bound(b BoundInput) float64 {
	requestCosts := (b.LargestA/b.WeightA + b.LargestB/b.WeightB) * float64(b.Held+b.Shards)
	unreportedService := b.Rate * (2*b.Exchange + 2*b.Delay).Seconds() / min(b.WeightA, b.WeightB)
	return (requestCosts + unreportedService) * float64(1+b.OwnerChanges)
}

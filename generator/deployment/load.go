package deployment

import (
	"math"
	"time"

	"monsoondeck.example/generator/loader"
)

const (
	// floodingLoad is the load of the flooding account as a multiple of its share.
	floodingLoad = 10
	// lightLoad is the load of a light account as a multiple of its share.
	lightLoad = 0.5
	// workersPerSlot is the number of callers of a backlogged account for each slot to
	// which it is entitled. It is above 1, so that requests wait also while the account
	// holds more slots than its share.
	workersPerSlot = 2.5
)

// Flood describes the load of the flooding account.
type Flood struct {
	// After is the time from the start of the load to the start of the flood. Before,
	// the account behaves as a light one.
	After time.Duration
}

// Load returns the accounts that send the load of the deployment to routers at the
// given addresses, which are in the order of Deployment.Routers.
func (d Deployment) Load(routers []string, f Flood) []loader.Account {
	var totalShares, competingShares float64
	for _, a := range d.Accounts {
		totalShares += a.Share
		if a.Role != RoleLight {
			competingShares += a.Share
		}
	}
	callRatePerShare := d.Rate() / d.meanUnitsPerCall() / totalShares
	var out []loader.Account
	for _, a := range d.Accounts {
		x := loader.Account{ID: a.ID, Key: a.Key, Share: a.Share, Kinds: d.Kinds, Fallback: routers, Latency: a.Role == RoleLight}
		for _, n := range a.Routers {
			x.Routers = append(x.Routers, routers[n])
		}
		switch a.Role {
		case RoleBacklogged:
			x.Workers = 4 + int(math.Ceil(workersPerSlot*a.Share/competingShares*float64(d.engineSlotCount())))
		case RoleLight:
			x.Rate = callRatePerShare * a.Share * lightLoad
		case RoleFlooding:
			x.Rate = callRatePerShare * a.Share * lightLoad
			x.SurgeRate, x.SurgeAfter = callRatePerShare*a.Share*floodingLoad, f.After
		}
		out = append(out, x)
	}
	return out
}

// meanUnitsPerCall returns the approximate mean cost of a call in units of work on
// the model. It ignores that the distribution of response lengths is truncated.
func (d Deployment) meanUnitsPerCall() float64 {
	var units, calls float64
	for _, k := range d.Kinds {
		if !k.Service {
			units += k.Frequency * (k.MeanTokens + 0.1*float64(k.PromptWords))
		}
		calls += k.Frequency
	}
	return units / calls
}

package deployment

import (
	"math"
	"time"

	"monsoondeck.example/generator/loader"
)

const (
	// floodFactor is how much more than its share the flooding account sends.
	floodFactor = 10
	// lightFactor is the part of its share that a light account uses.
	lightFactor = 0.5
	// workerFactor is the number of callers of a backlogged account per slot that
	// it can hold, so that requests wait also while it holds more than its share.
	workerFactor = 2.5
)

// Flood says how the flooding account behaves.
type Flood struct {
	// After is when it begins; before, it behaves as a light account.
	After time.Duration
}

// Load returns the load of the deployment on routers at the given addresses.
func (d Deployment) Load(routers []string, f Flood) []loader.Account {
	var all, backlogged float64
	for _, a := range d.Accounts {
		all += a.Share
		if a.Role != RoleLight {
			backlogged += a.Share
		}
	}
	perShare := d.Rate() / d.meanUnits() / all
	var out []loader.Account
	for _, a := range d.Accounts {
		x := loader.Account{ID: a.ID, Key: a.Key, Share: a.Share, Kinds: d.Kinds, Fallback: routers, Latency: a.Role == RoleLight}
		for _, n := range a.Routers {
			x.Routers = append(x.Routers, routers[n])
		}
		switch a.Role {
		case RoleBacklogged:
			x.Workers = 4 + int(math.Ceil(workerFactor*a.Share/backlogged*float64(d.slots())))
		case RoleLight:
			x.Rate = perShare * a.Share * lightFactor
		case RoleFlooding:
			x.Rate = perShare * a.Share * lightFactor
			x.SurgeRate, x.SurgeAfter = perShare*a.Share*floodFactor, f.After
		}
		out = append(out, x)
	}
	return out
}

// meanUnits returns the approximate mean cost of a call to the model, without
// the cut of the distribution's tail.
func (d Deployment) meanUnits() float64 {
	var units, calls float64
	for _, k := range d.Kinds {
		if !k.Service {
			units += k.Frequency * (k.MeanTokens + 0.1*float64(k.PromptWords))
		}
		calls += k.Frequency
	}
	return units / calls
}

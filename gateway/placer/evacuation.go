package placer

import (
	"slices"
	"strings"
)

// SetEvacuated replaces the data centres whose targets get no requests. What is known about
// these targets is kept, and the requests that run there are still counted.
func (f *Fleet) SetEvacuated(dataCentres []string) {
	f.evacuatedCentres = slices.Clone(dataCentres)
	f.listByService()
}

// listByService fills targetsByService with the targets that may get requests.
func (f *Fleet) listByService() {
	f.targetsByService = map[string][]*target{}
	for _, t := range f.targets {
		if f.lastingObstacle(t) == noObstacle {
			f.targetsByService[t.entry.Service] = append(f.targetsByService[t.entry.Service], t)
		}
	}
	for _, ts := range f.targetsByService {
		slices.SortFunc(ts, func(a, b *target) int { return strings.Compare(a.entry.ID, b.entry.ID) })
	}
	f.orderEngines()
}

package placer

// inAllowedRegion reports whether the target is in a region that the request may use. A
// target whose data centre has no known region is in none.
func (f *Fleet) inAllowedRegion(r Request, t *target) bool {
	return !r.Regions.Limited() || r.Regions.Allow(f.settings.Regions[t.entry.DataCentre])
}

// TargetsInRegion returns the number of targets of the service of a request, usable now or
// not, that are in a region that it may use.
func (f *Fleet) TargetsInRegion(r Request) int {
	n := 0
	for _, t := range f.targetsByService[r.Service] {
		if f.inAllowedRegion(r, t) {
			n++
		}
	}
	return n
}

package placer

// inAllowedRegion reports whether the target is in a region that the request may use. A
// target whose data centre has no known region is in none.
func (f *Fleet) inAllowedRegion(r Request, t *target) bool {
	return !r.Regions.Limited() || r.Regions.Allow(f.settings.Regions[t.entry.DataCentre])
}

// allowed reports whether the request may use the target by its region and its software
// version.
func (f *Fleet) allowed(r Request, t *target) bool {
	return f.inAllowedRegion(r, t) && r.Version.Allows(t.entry.Version)
}

// TargetsAllowed returns the number of targets of the service of a request, usable now or
// not, that it may use by their regions and software versions.
func (f *Fleet) TargetsAllowed(r Request) int {
	n := 0
	for _, t := range f.targetsByService[r.Service] {
		if f.allowed(r, t) {
			n++
		}
	}
	return n
}

package shedder

const (
	// maxPreference bounds how many times as often as the mean the requests of an account are
	// admitted because it has had less service, and minPreference how much less often because
	// it has had more.
	maxPreference, minPreference = 8.0, 0.25
	// serviceWeight is the weight of the newest request in the mean service of the accounts.
	serviceWeight = 0.01
)

// Divider divides the requests that a busy host admits among the accounts whose requests come
// to it, by their service in the whole fleet: the processor time of a host is a resource like
// any other, and an account far below its share should not lose as much of it as the account
// that floods the host. The zero value is ready for use. It is not safe for concurrent use.
type Divider struct {
	// meanService is the moving mean, over the requests that arrive, of the service of their
	// accounts; 0 before the first one.
	meanService float64
}

// Record records a request that arrives, by the recent service of its account.
func (d *Divider) Record(service float64) {
	if d.meanService == 0 {
		d.meanService = service
		return
	}
	d.meanService += serviceWeight * (service - d.meanService)
}

// RefusedShare returns the share to refuse of the requests of an account with the given recent
// service, if the given share of all requests is refused.
func (d *Divider) RefusedShare(refusedShare, service float64) float64 {
	if d.meanService == 0 {
		return refusedShare
	}
	preference := maxPreference
	if service > 0 {
		preference = min(max(d.meanService/service, minPreference), maxPreference)
	}
	return max(1-(1-refusedShare)*preference, 0)
}

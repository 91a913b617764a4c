package configurer

import "github.com/cockroachdb/errors"

// maxWaiting bounds the deltas kept for later. A replica that is further behind
// asks for what is missing, so dropping the newest ones costs one more request.
const maxWaiting = 256

// Replica is a copy of the configuration that is kept current from deltas and
// snapshots that arrive in any order, late or more than once. Its version never
// decreases. It is not safe for concurrent use; the values that it returns are.
type Replica struct {
	current Config
	// recent holds the deltas that led to current, oldest first, for members that
	// are behind; each starts at the version of the one before.
	recent []Delta
	// waiting holds deltas ahead of current by their base.
	waiting map[uint64]Delta
	keep    int
}

// NewReplica returns an empty replica that keeps the last keep deltas for After.
func NewReplica(keep int) *Replica {
	return &Replica{waiting: map[uint64]Delta{}, keep: keep}
}

// Current returns the configuration; false until there is one.
func (r *Replica) Current() (Config, bool) { return r.current, r.current.version > 0 }

// Offer takes a delta and returns the deltas that were applied, which are more
// than one when it closes a gap. A stale or repeated delta is ignored. A delta
// ahead of the replica is kept until the gap closes. Errors: ErrInvalid; the
// invalid delta is not applied, those returned are.
func (r *Replica) Offer(d Delta) ([]Delta, error) {
	if d.Version <= d.Base {
		return nil, errors.Wrapf(ErrInvalid, "change %s: version %d does not follow base %d", d.ID, d.Version, d.Base)
	}
	if d.Version <= r.current.version {
		return nil, nil
	}
	if d.Base != r.current.version {
		if d.Base > r.current.version && len(r.waiting) < maxWaiting {
			r.waiting[d.Base] = d
		}
		return nil, nil
	}
	var applied []Delta
	for next, ok := d, true; ok; next, ok = r.waiting[r.current.version] {
		config, err := r.current.WithDelta(next)
		delete(r.waiting, next.Base)
		if err != nil {
			return applied, err
		}
		r.current = config
		r.remember(next)
		applied = append(applied, next)
	}
	return applied, nil
}

// OfferConfig takes a whole configuration, for example a snapshot, and returns
// whether it is newer than the replica's and was adopted.
func (r *Replica) OfferConfig(c Config) bool {
	if c.version <= r.current.version {
		return false
	}
	r.current, r.recent = c, nil
	for base, d := range r.waiting {
		if d.Version <= c.version {
			delete(r.waiting, base)
		}
	}
	if next, ok := r.waiting[c.version]; ok {
		// An invalid delta is dropped here and asked for again by Missing.
		_, _ = r.Offer(next)
	}
	return true
}

// Missing returns the version after which deltas are missing; false when no gap
// is known.
func (r *Replica) Missing() (after uint64, missing bool) {
	return r.current.version, len(r.waiting) > 0
}

// After returns the deltas that lead from a version to the current one; false
// when they are not kept any more, so that a snapshot is needed.
func (r *Replica) After(version uint64) ([]Delta, bool) {
	if version >= r.current.version {
		return nil, true
	}
	for i, d := range r.recent {
		if d.Base == version {
			return append([]Delta(nil), r.recent[i:]...), true
		}
	}
	return nil, false
}

func (r *Replica) remember(d Delta) {
	r.recent = append(r.recent, d)
	if extra := len(r.recent) - r.keep; extra > 0 {
		r.recent = append([]Delta(nil), r.recent[extra:]...)
	}
}

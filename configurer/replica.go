package configurer

import "github.com/cockroachdb/errors"

// maxPending bounds the number of deltas that are kept until the gap before them
// closes. A replica that is further behind requests the missing deltas, so
// dropping those beyond the bound costs one more request.
const maxPending = 256

// Replica is a copy of the configuration that is updated from deltas and
// snapshots, which may arrive late, in any order and more than once. Its version
// never decreases. It is not safe for concurrent use; the values that it returns
// are.
type Replica struct {
	current Config
	// recent holds up to maxRecent deltas that led to current, oldest first, for
	// members that are behind; the base of each is the version of the one before.
	recent []Delta
	// pending holds deltas ahead of current, keyed by their base.
	pending map[uint64]Delta
	// maxRecent is the maximum length of recent.
	maxRecent int
}

// NewReplica returns an empty replica that keeps the last maxRecent deltas for
// DeltasAfter.
func NewReplica(maxRecent int) *Replica {
	return &Replica{pending: map[uint64]Delta{}, maxRecent: maxRecent}
}

// Current returns the configuration; false until a first one has been received.
func (r *Replica) Current() (Config, bool) { return r.current, r.current.version > 0 }

// OfferDelta receives a delta and returns the deltas that were applied: more than
// one if the delta closes a gap. A stale or repeated delta is ignored. A delta ahead
// of the replica is kept until the gap before it closes. Errors: ErrInvalid; the
// invalid delta is dropped, and the deltas before it are applied and returned.
func (r *Replica) OfferDelta(d Delta) ([]Delta, error) {
	if d.Version <= d.Base {
		return nil, errors.Wrapf(ErrInvalid, "change %s: version %d is not greater than base %d", d.ID, d.Version, d.Base)
	}
	if d.Version <= r.current.version {
		return nil, nil
	}
	if d.Base != r.current.version {
		if d.Base > r.current.version && len(r.pending) < maxPending {
			r.pending[d.Base] = d
		}
		return nil, nil
	}
	var applied []Delta
	for next, ok := d, true; ok; next, ok = r.pending[r.current.version] {
		config, err := r.current.WithDelta(next)
		delete(r.pending, next.Base)
		if err != nil {
			return applied, err
		}
		r.current = config
		r.keepRecent(next)
		applied = append(applied, next)
	}
	return applied, nil
}

// OfferConfig receives a whole configuration, for example a snapshot, and adopts
// it if it is newer than the replica's. It reports whether it was adopted.
func (r *Replica) OfferConfig(c Config) bool {
	if c.version <= r.current.version {
		return false
	}
	r.current, r.recent = c, nil
	for base, d := range r.pending {
		if d.Version <= c.version {
			delete(r.pending, base)
		}
	}
	if next, ok := r.pending[c.version]; ok {
		// An invalid delta is dropped. MissingAfter then reports a gap only if later deltas
		// are pending.
		_, _ = r.OfferDelta(next)
	}
	return true
}

// MissingAfter returns the version after which deltas are missing; false if no gap is
// known.
func (r *Replica) MissingAfter() (after uint64, missing bool) {
	return r.current.version, len(r.pending) > 0
}

// DeltasAfter returns the deltas that lead from a version to the current one; false if
// they are no longer kept, so that a snapshot is needed.
func (r *Replica) DeltasAfter(version uint64) ([]Delta, bool) {
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

// keepRecent appends a delta to recent and drops the oldest beyond maxRecent.
func (r *Replica) keepRecent(d Delta) {
	r.recent = append(r.recent, d)
	if excess := len(r.recent) - r.maxRecent; excess > 0 {
		r.recent = append([]Delta(nil), r.recent[excess:]...)
	}
}

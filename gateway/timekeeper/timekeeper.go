// Package timekeeper converts times of the store's clock to those of a daemon's clock. The
// daemons have no clock in common but that of the store, and an age that one of them
// states does not include the time for which the message waited on its way. The package
// does no I/O; callers pass the time.
//
// If the store's clock is set back, all news looks old until the next call, and if it is
// set ahead, the daemon's clock seems to have stood still.
package timekeeper

import "time"

// sampleLifetime is the time after which a worse sample replaces the best one, so that
// clocks that run at slightly different speeds do not drift apart.
const sampleLifetime = time.Minute

// Keeper holds the difference between both clocks. The zero value knows none. It is not
// safe for concurrent use.
type Keeper struct {
	// known is set once there is a sample.
	known bool
	// offset is at least the store's time minus the daemon's time, unless stale is set: a
	// response of the store was made after the call had been sent.
	offset time.Duration
	// stale is set if the daemon's clock has stood still since the sample. offset is then a
	// lower limit until the next call.
	stale bool
	// sampled is the time of the call from which offset follows.
	sampled time.Duration
}

// RecordCall records that the store answered a call, which was sent at the given time of
// the daemon's clock, with a time of its clock.
func (k *Keeper) RecordCall(sent, store time.Duration) {
	if offset := store - sent; !k.known || k.stale || offset <= k.offset || sent-k.sampled > sampleLifetime {
		*k = Keeper{known: true, offset: offset, sampled: sent}
	}
}

// RecordReceipt records that a time of the store's clock was received from elsewhere. If
// it lies ahead of the time known here, the daemon's clock stood still for a while, as
// that of a suspended host does.
func (k *Keeper) RecordReceipt(received, store time.Duration) {
	if k.known && store-received > k.offset {
		k.offset, k.stale = store-received, true
	}
}

// Local returns a time of the daemon's clock that is not after the given time of the
// store's clock. It returns false if no difference is known.
func (k *Keeper) Local(store time.Duration) (time.Duration, bool) { return store - k.offset, k.known }

// Store returns the time of the store's clock at the given time of the daemon's clock, or
// a slightly later one. It returns false if no difference is known.
func (k *Keeper) Store(local time.Duration) (time.Duration, bool) { return local + k.offset, k.known }

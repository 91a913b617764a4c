package oracle

import (
	"cmp"
	"slices"
	"time"
)

// Bucket is the resolution of the records of service and slot time. It is a fifth of
// the interval at which schedulers exchange their state, so that a gap caused by one
// late exchange is visible.
const Bucket = 100 * time.Millisecond

// serviceKey is the key of Oracle.service.
type serviceKey struct {
	bucket                int64 // start in Unix milliseconds
	account, target, pool string
}

// busyKey is the key of Oracle.busy.
type busyKey struct {
	bucket int64 // start in Unix milliseconds
	target string
}

// Service is the service that one target delivered to one client account in one
// bucket.
type Service struct {
	// Bucket is the start of the bucket in Unix milliseconds.
	Bucket  int64   `json:"bucketMs"`
	Account string  `json:"account"`
	Target  string  `json:"target"`
	Pool    string  `json:"pool"`
	Units   float64 `json:"units"`
}

// SlotTime is the slot time that one target used in one bucket.
type SlotTime struct {
	// Bucket is the start of the bucket in Unix milliseconds.
	Bucket int64  `json:"bucketMs"`
	Target string `json:"target"`
	// BusySlotSeconds is the sum of the time that each slot was occupied.
	BusySlotSeconds float64 `json:"busySlotSeconds"`
	Slots           int     `json:"slots"`
}

// bucketOf returns the start of the bucket of a time in Unix milliseconds.
func bucketOf(t time.Time) int64 {
	return t.UnixMilli() / Bucket.Milliseconds() * Bucket.Milliseconds()
}

// SetSlots records the number of slots of a target.
func (o *Oracle) SetSlots(target string, slots int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slots[target] = slots
}

// AddBusy records that a number of slots of a target were occupied between two times.
func (o *Oracle) AddBusy(target string, from, to time.Time, slots int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for from.Before(to) {
		end := from.Truncate(Bucket).Add(Bucket)
		if end.After(to) {
			end = to
		}
		o.busy[busyKey{bucketOf(from), target}] += end.Sub(from).Seconds() * float64(slots)
		from = end
	}
}

// Services returns the delivered service, ordered by time, account and target.
func (o *Oracle) Services() []Service {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]Service, 0, len(o.service))
	for k, u := range o.service {
		out = append(out, Service{Bucket: k.bucket, Account: k.account, Target: k.target, Pool: k.pool, Units: u})
	}
	slices.SortFunc(out, func(a, b Service) int {
		return cmp.Or(cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// BusyTimes returns the used slot time, ordered by time and target.
func (o *Oracle) BusyTimes() []SlotTime {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]SlotTime, 0, len(o.busy))
	for k, s := range o.busy {
		out = append(out, SlotTime{Bucket: k.bucket, Target: k.target, BusySlotSeconds: s, Slots: o.slots[k.target]})
	}
	slices.SortFunc(out, func(a, b SlotTime) int {
		return cmp.Or(cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Target, b.Target))
	})
	return out
}

package oracle

import (
	"cmp"
	"slices"
	"time"
)

// Bucket is the resolution of the service record. It is a fifth of the exchange
// interval of the schedulers, so a gap caused by one late exchange is visible.
const Bucket = 100 * time.Millisecond

type serviceKey struct {
	bucket                int64
	account, target, pool string
}

type busyKey struct {
	bucket int64
	target string
}

// Service is the service one target gave one account within one bucket.
type Service struct {
	// Bucket is the start of the bucket in Unix milliseconds.
	Bucket  int64   `json:"bucketMs"`
	Account string  `json:"account"`
	Target  string  `json:"target"`
	Pool    string  `json:"pool"`
	Units   float64 `json:"units"`
}

// Busy is the slot time one target used within one bucket.
type Busy struct {
	Bucket int64  `json:"bucketMs"`
	Target string `json:"target"`
	// BusySlotSeconds used within the bucket.
	BusySlotSeconds float64 `json:"busySlotSeconds"`
	Slots           int     `json:"slots"`
}

func bucketOf(t time.Time) int64 {
	return t.UnixMilli() / Bucket.Milliseconds() * Bucket.Milliseconds()
}

// SetSlots declares the number of slots of a target.
func (o *Oracle) SetSlots(target string, slots int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slots[target] = slots
}

// AddBusy records slot time used between two times by a number of slots.
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

// Services returns the service record, ordered by time.
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

// BusyTimes returns the slot time record, ordered by time.
func (o *Oracle) BusyTimes() []Busy {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]Busy, 0, len(o.busy))
	for k, s := range o.busy {
		out = append(out, Busy{Bucket: k.bucket, Target: k.target, BusySlotSeconds: s, Slots: o.slots[k.target]})
	}
	slices.SortFunc(out, func(a, b Busy) int {
		return cmp.Or(cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Target, b.Target))
	})
	return out
}

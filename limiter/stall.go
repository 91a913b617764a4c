package limiter

import (
	"cmp"
	"slices"
	"time"
)

// progressBytes is the number of bytes whose transfer counts as progress. A sender of
// single bytes would otherwise never stall.
const progressBytes = 4 << 10

// Watch marks that the charge holds memory for a transfer that the other side can delay.
// While memory is short, EvictStalled may end the transfer by closeStalled, which must not
// block and must not use the Admission.
func (c *Charge) Watch(now time.Duration, closeStalled func()) {
	if c.admission == nil {
		return
	}
	c.admission.mutex.Lock()
	defer c.admission.mutex.Unlock()
	if !c.open {
		return
	}
	c.progressAt, c.unreported, c.closeStalled, c.evicted = now, 0, closeStalled, false
	c.admission.watched[c] = struct{}{}
}

// Unwatch marks the end of the transfer. closeStalled is not called after it.
func (c *Charge) Unwatch() {
	if c.admission == nil {
		return
	}
	c.admission.mutex.Lock()
	defer c.admission.mutex.Unlock()
	delete(c.admission.watched, c)
	c.closeStalled = nil
}

// Progress reports the bytes that were transferred.
func (c *Charge) Progress(now time.Duration, bytes int64) {
	if c.admission == nil {
		return
	}
	c.admission.mutex.Lock()
	defer c.admission.mutex.Unlock()
	if c.unreported += bytes; c.unreported >= progressBytes {
		c.progressAt, c.unreported = now, 0
	}
}

// Evicted reports whether EvictStalled has ended the last watched transfer of the charge.
func (c *Charge) Evicted() bool {
	if c.admission == nil {
		return false
	}
	c.admission.mutex.Lock()
	defer c.admission.mutex.Unlock()
	return c.evicted
}

// Shortage is readable after memory was refused. It holds at most one signal.
func (a *Admission) Shortage() <-chan struct{} { return a.shortage }

// EvictStalled ends the watched transfers without progress for minStall, the longest
// stalled first, until they free the number of bytes. It returns how many it ended.
func (a *Admission) EvictStalled(now, minStall time.Duration, bytes int64) (evicted int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var stalled []*Charge
	for c := range a.watched {
		if now-c.progressAt >= minStall {
			stalled = append(stalled, c)
		}
	}
	slices.SortFunc(stalled, func(c, d *Charge) int { return cmp.Compare(c.progressAt, d.progressAt) })
	for _, c := range stalled {
		if bytes <= 0 {
			break
		}
		delete(a.watched, c)
		c.evicted = true
		c.closeStalled()
		bytes -= max(c.total, 1)
		evicted++
	}
	return evicted
}

// Charged returns the bytes that are charged for a kind, and how often memory for it was
// refused.
func (a *Admission) Charged(k Kind) (bytes, refusals int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.kinds[k], a.refusals[k]
}

// Bound returns the bound of the sum of all charges; 0 means no bound.
func (a *Admission) Bound() int64 { return a.settings.TotalBytes }

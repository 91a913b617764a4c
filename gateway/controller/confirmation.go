package controller

import "time"

// confirmation says when a known state of the store was known to be the newest.
type confirmation struct {
	// at is the time by Options.Clock; 0 means never.
	at time.Duration
	// storeTime is the same time by the store's clock; 0 means unknown.
	storeTime time.Duration
	// hops is the number of daemons that forwarded it; 0 if this daemon called the store
	// itself.
	hops int
}

// maxHops is the maximum number of times that an age is forwarded. An age does not
// include the transmission time, so that it would stay small for ever if daemons
// forwarded it in a circle. Three hops are needed: from a store reader to a relay of
// its group, from there to a relay of another group, and to a daemon of that group.
const maxHops = 3

// confirmedByStore returns the confirmation by a call of this daemon that was sent at the
// given time.
func (c *Controller) confirmedByStore(sent time.Duration) confirmation {
	storeTime, _ := c.storeClock.Store(sent)
	return confirmation{at: sent, storeTime: max(storeTime, 0)}
}

// confirmedByPeer returns the confirmation that a peer states. A message may have waited
// for long on its way, which the age does not show; the store's clock does.
func (c *Controller) confirmedByPeer(now, age, storeTime time.Duration, hops int) confirmation {
	n := confirmation{at: now - age, storeTime: storeTime, hops: hops + 1}
	if storeTime == 0 {
		return n
	}
	c.storeClock.RecordReceipt(now, storeTime)
	if at, ok := c.storeClock.Local(storeTime); ok {
		n.at = min(n.at, at)
	}
	return n
}

// newerThan reports whether a confirmation may replace another one.
func (n confirmation) newerThan(old confirmation) bool { return n.hops <= maxHops && n.at > old.at }

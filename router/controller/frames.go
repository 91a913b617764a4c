package controller

import (
	"time"

	"monsoondeck.example/connector"
	"monsoondeck.example/messenger"
)

// send adds messages to the next frame for a daemon; an unknown daemon gets none.
// Messages to this daemon itself do not leave the process.
func (c *Controller) send(to string, merge func(f *messenger.Frame)) {
	if to == "" {
		return
	}
	if to == c.options.Self.ID {
		if c.loopback == nil {
			c.loopback = &messenger.Frame{Sender: to}
		}
		merge(c.loopback)
		return
	}
	m, ok := c.members[to]
	if !ok {
		return
	}
	c.options.Hub.Send(connector.Peer{ID: to, Address: m.Address}, merge)
}

// handleFrame handles the messages of one frame. Holdings and settlements come
// before demand, because both free slots that the demand may use.
func (c *Controller) handleFrame(f *messenger.Frame, now time.Duration) {
	c.handleMembership(f, now)
	for _, h := range f.Holdings {
		c.handleHoldings(f.Sender, h, now)
	}
	for _, s := range f.Settlements {
		c.handleSettlements(f.Sender, s, now)
	}
	for _, d := range f.Demands {
		c.handleDemand(f.Sender, d, now)
	}
	for _, g := range f.Grants {
		c.handleGrants(f.Sender, g, now)
	}
	for _, r := range f.ServiceReports {
		c.handleServiceReport(f.Sender, r)
	}
	for _, t := range f.ServiceTotals {
		c.handleServiceTotals(t, now)
	}
	c.handleConfigFrame(f, now)
}

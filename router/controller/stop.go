package controller

import (
	"time"

	"monsoondeck.example/connector"
	"monsoondeck.example/messenger"
)

// leaveMessage starts the shutdown of this daemon.
type leaveMessage struct{}

// Leave tells all members that this daemon is shutting down. Its shards and groups
// move to other daemons, while requests that wait here still get grants.
func (c *Controller) Leave() { c.post(leaveMessage{}) }

func (leaveMessage) apply(c *Controller, _ time.Duration) {
	c.leaving[c.options.Self.ID] = true
	for id, m := range c.members {
		if id != c.options.Self.ID {
			c.options.Hub.Send(connector.Peer{ID: id, Address: m.Address}, func(f *messenger.Frame) { f.Leaving = new(true) })
		}
	}
	c.updateAssignment()
}

// exitMessage announces that the process ends; sent is closed once the
// announcement is handed to the hub.
type exitMessage struct{ sent chan struct{} }

// Farewell rejects all waiting requests and tells the members that this daemon is
// gone, so that they remove it without waiting for the suspicion timeout. It returns
// once the announcement is handed to the hub.
func (c *Controller) Farewell() {
	m := exitMessage{make(chan struct{})}
	c.post(m)
	select {
	case <-m.sent:
	case <-c.done:
	}
}

func (m exitMessage) apply(c *Controller, now time.Duration) {
	c.stopping = true
	c.rejectWaiters()
	c.sendDetectorMessages(c.options.Membership.Leave(now))
	close(m.sent)
}

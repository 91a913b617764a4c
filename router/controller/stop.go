package controller

import (
	"time"

	"monsoondeck.example/connector"
	"monsoondeck.example/messenger"
)

// shutdownMessage starts the shutdown of this daemon.
type shutdownMessage struct{}

// BeginShutdown tells all members that this daemon is shutting down. Its shards and
// groups move to other daemons, while requests that wait here still get grants.
func (c *Controller) BeginShutdown() { c.post(shutdownMessage{}) }

func (shutdownMessage) apply(c *Controller, _ time.Duration) {
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

// AnnounceExit rejects all waiting requests and tells the members that this daemon is
// gone, so that they remove it without waiting for the suspicion timeout. It returns
// once the announcement is handed to the hub.
func (c *Controller) AnnounceExit() {
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

package controller

import (
	"time"

	"monsoondeck.example/connector"
	"monsoondeck.example/messenger"
)

// leaveMessage starts the hand-over of duties.
type leaveMessage struct{}

// Leave tells all members that this daemon shuts down: shards and groups move
// to others, while requests that wait here are still granted.
func (c *Controller) Leave() { c.post(leaveMessage{}) }

func (leaveMessage) apply(c *Controller, _ time.Duration) {
	c.leaving[c.options.Self.ID] = true
	for id, m := range c.members {
		if id != c.options.Self.ID {
			c.options.Hub.Send(connector.Peer{ID: id, Address: m.Address}, func(f *messenger.Frame) { f.Leaving = new(true) })
		}
	}
	c.locate()
}

// farewellMessage announces the end of the process.
type farewellMessage struct{ sent chan struct{} }

// Farewell tells members that this daemon is gone, so that they need not wait
// for the suspicion to run out.
func (c *Controller) Farewell() {
	m := farewellMessage{make(chan struct{})}
	c.post(m)
	select {
	case <-m.sent:
	case <-c.done:
	}
}

func (m farewellMessage) apply(c *Controller, now time.Duration) {
	c.stopping = true
	c.abandonQueues()
	c.handleSends(c.options.Membership.Leave(now))
	close(m.sent)
}

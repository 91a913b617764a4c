// Package exchanger sends the reports of a daemon to its peers and receives
// theirs. A daemon without peers goes on alone.
package exchanger

import (
	"context"
	"math"
	"sync"
	"time"

	"monsoondeck.example/connector"
	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/sharer"
	"monsoondeck.example/messenger"
)

const (
	// minInterval is the shortest time between two reports: about the time in which a
	// target reads one long prompt.
	minInterval = 100 * time.Millisecond
	// maxInterval keeps the view of the peers useful in large fleets.
	maxInterval = time.Second
	// intervalPerPeer keeps the messages that a daemon sends per second constant in
	// larger fleets.
	intervalPerPeer = 12 * time.Millisecond
)

// Exchanger is the connection to the peers.
type Exchanger struct {
	mutex sync.Mutex
	hub   *connector.Hub
	peers []connector.Peer
}

// New returns an Exchanger without peers.
func New() *Exchanger { return &Exchanger{} }

// Start gives the Exchanger its connections.
func (e *Exchanger) Start(hub *connector.Hub) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.hub = hub
}

// SetPeers replaces the peers to which reports are sent.
func (e *Exchanger) SetPeers(peers []connector.Peer) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.peers = peers
}

// Peers returns the number of peers.
func (e *Exchanger) Peers() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.peers)
}

// Interval returns the time between two reports.
func (e *Exchanger) Interval() time.Duration {
	return min(max(minInterval, time.Duration(e.Peers())*intervalPerPeer), maxInterval)
}

// Send sends a report to all peers.
func (e *Exchanger) Send(r controller.Report) {
	e.mutex.Lock()
	hub, peers := e.hub, e.peers
	e.mutex.Unlock()
	if hub == nil {
		return
	}
	message := encode(r)
	for _, p := range peers {
		hub.Send(p, func(f *messenger.Frame) { f.WorkReports = append(f.WorkReports, message) })
	}
}

// Receiver takes the reports of peers.
type Receiver interface {
	Received(r controller.PeerReport)
}

// Run passes the reports of peers on until the context ends.
func Run(ctx context.Context, hub *connector.Hub, to Receiver) {
	for {
		select {
		case <-ctx.Done():
			return
		case f, ok := <-hub.Received():
			if !ok {
				return
			}
			for _, m := range f.WorkReports {
				to.Received(controller.PeerReport{Peer: f.Sender, Incarnation: f.Incarnation, Report: decode(m)})
			}
		}
	}
}

func encode(r controller.Report) messenger.WorkReport {
	m := messenger.WorkReport{Whole: r.Whole}
	for _, l := range r.Loads {
		m.Targets = append(m.Targets, messenger.TargetWork{
			Target: l.Target, Unread: count(l.Unread), Running: uint64(l.Running), Memory: count(l.Memory),
		})
	}
	for _, t := range r.Accounts {
		m.Accounts = append(m.Accounts, messenger.AccountService{Account: t.Account, Asked: count(t.Asked), Served: count(t.Served)})
	}
	for _, s := range r.Spills {
		m.Parts = append(m.Parts, messenger.PromptPart{Target: s.Target, Chain: s.Chain})
	}
	return m
}

func decode(m messenger.WorkReport) controller.Report {
	r := controller.Report{Whole: m.Whole}
	for _, t := range m.Targets {
		r.Loads = append(r.Loads, placer.Load{
			Target: t.Target, Unread: float64(t.Unread), Running: int(min(t.Running, math.MaxInt32)), Memory: float64(t.Memory),
		})
	}
	for _, a := range m.Accounts {
		r.Accounts = append(r.Accounts, sharer.Total{Account: a.Account, Asked: float64(a.Asked), Served: float64(a.Served)})
	}
	for _, p := range m.Parts {
		r.Spills = append(r.Spills, placer.Spill{Target: p.Target, Chain: p.Chain})
	}
	return r
}

func count(v float64) uint64 { return uint64(max(math.Round(v), 0)) }

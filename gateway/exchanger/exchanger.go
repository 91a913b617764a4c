// Package exchanger sends the reports of a daemon to its peers and receives
// theirs. A daemon without peers goes on alone.
package exchanger

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"monsoondeck.example/connector"
	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/sharer"
	"monsoondeck.example/logger"
	"monsoondeck.example/messenger"
)

const (
	// minInterval is the shortest time between two reports: about the time in which a
	// target reads one long prompt.
	minInterval = 100 * time.Millisecond
	// maxInterval keeps the view of the peers useful in large fleets.
	maxInterval = time.Second
	// intervalPerRecipient keeps the messages that a daemon sends per second constant in
	// larger fleets.
	intervalPerRecipient = 12 * time.Millisecond
)

// Configs gives the configuration in force.
type Configs interface {
	Current() (resolver.Config, bool)
}

// Decoder reads a configuration that a peer passed on.
type Decoder interface {
	Decode(encoded []byte) (resolver.Config, error)
}

// Exchanger is the connection to the peers.
type Exchanger struct {
	decoder Decoder
	logger  *slog.Logger

	mutex sync.Mutex
	hub   *connector.Hub
	peers []connector.Peer
}

// New returns an Exchanger without peers.
func New(d Decoder, l *slog.Logger) *Exchanger { return &Exchanger{decoder: d, logger: l} }

// Start gives the Exchanger its connections.
func (e *Exchanger) Start(hub *connector.Hub) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.hub = hub
}

// SetPeers replaces the peers to which reports are sent; those that connected by
// themselves stay.
func (e *Exchanger) SetPeers(peers []connector.Peer) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, old := range e.peers {
		if old.Address == "" && !slices.ContainsFunc(peers, func(p connector.Peer) bool { return p.ID == old.ID }) {
			peers = append(peers, old)
		}
	}
	e.peers = peers
}

// Peers returns the names of the peers.
func (e *Exchanger) Peers() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	names := make([]string, len(e.peers))
	for i, p := range e.peers {
		names[i] = p.ID
	}
	return names
}

// Address returns the address of a peer; empty if it is unknown.
func (e *Exchanger) Address(name string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, p := range e.peers {
		if p.ID == name {
			return p.Address
		}
	}
	return ""
}

// Interval returns the time between two reports to a number of peers.
func Interval(recipients int) time.Duration {
	return min(max(minInterval, time.Duration(recipients)*intervalPerRecipient), maxInterval)
}

// Send sends a report to some peers.
func (e *Exchanger) Send(r controller.Report, to []string) {
	message := encode(r)
	e.sendTo(e.find(to), func(f *messenger.Frame) { f.WorkReports = append(f.WorkReports, message) })
}

// find returns the known peers among the names.
func (e *Exchanger) find(names []string) []connector.Peer {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var found []connector.Peer
	for _, p := range e.peers {
		if _, ok := slices.BinarySearch(names, p.ID); ok {
			found = append(found, p)
		}
	}
	return found
}

// SendChange sends a change of the registry to all peers.
func (e *Exchanger) SendChange(c controller.RegistryChange) {
	message := encodeChange(c)
	e.mutex.Lock()
	all := e.peers
	e.mutex.Unlock()
	e.sendTo(all, func(f *messenger.Frame) { f.RegistryChanges = append(f.RegistryChanges, message) })
}

// sendTo adds a message to the frames for some peers.
func (e *Exchanger) sendTo(peers []connector.Peer, merge func(f *messenger.Frame)) {
	e.mutex.Lock()
	hub := e.hub
	e.mutex.Unlock()
	if hub == nil {
		return
	}
	for _, p := range peers {
		hub.Send(p, merge)
	}
}

// learn adds a daemon that connected by itself; its address is not needed while
// the connection lasts.
func (e *Exchanger) learn(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !slices.ContainsFunc(e.peers, func(p connector.Peer) bool { return p.ID == id }) {
		e.peers = append(slices.Clone(e.peers), connector.Peer{ID: id})
	}
}

// Learn adds daemons that peers have heard of, and the addresses of those that
// connected by themselves.
func (e *Exchanger) Learn(daemons []controller.Daemon) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, d := range daemons {
		if d.Address == "" {
			continue
		}
		i := slices.IndexFunc(e.peers, func(p connector.Peer) bool { return p.ID == d.ID })
		switch {
		case i < 0:
			e.peers = append(slices.Clone(e.peers), connector.Peer{ID: d.ID, Address: d.Address})
		case e.peers[i].Address != d.Address:
			e.peers = slices.Clone(e.peers)
			e.peers[i].Address = d.Address
		}
	}
}

// AskConfig asks a peer for its configuration if it is newer than a version.
func (e *Exchanger) AskConfig(peer string, after uint64) {
	e.mutex.Lock()
	hub := e.hub
	e.mutex.Unlock()
	if hub != nil {
		hub.Send(connector.Peer{ID: peer}, func(f *messenger.Frame) { f.ConfigRequest = &messenger.ConfigRequest{After: after} })
	}
}

// giveConfig answers AskConfig.
func (e *Exchanger) giveConfig(peer string, after uint64, configs Configs) {
	if config, ok := configs.Current(); ok && config.Version() > after {
		e.pushConfig(config, []connector.Peer{{ID: peer}})
	}
}

// SendConfig sends a configuration to all peers.
func (e *Exchanger) SendConfig(config resolver.Config) {
	e.mutex.Lock()
	all := e.peers
	e.mutex.Unlock()
	e.pushConfig(config, all)
}

func (e *Exchanger) pushConfig(config resolver.Config, to []connector.Peer) {
	if len(config.Encoded()) > maxConfigBytes {
		return
	}
	push := messenger.ConfigPush{Version: config.Version(), Body: string(config.Encoded())}
	e.sendTo(to, func(f *messenger.Frame) { f.ConfigPushes = append(f.ConfigPushes, push) })
}

// takeConfig reads what pushConfig sent.
func (e *Exchanger) takeConfig(from string, push messenger.ConfigPush, to Receiver) {
	config, err := e.decoder.Decode([]byte(push.Body))
	if err != nil {
		logger.Emit(e.logger, logger.ConfigRejected, slog.String("from", from), slog.Uint64("version", push.Version), slog.String("error", err.Error()))
		return
	}
	to.ReceivedConfig(config)
}

// maxConfigBytes is the largest configuration that fits into a frame of 256 KB;
// larger ones come from the store only.
const maxConfigBytes = 200 << 10

// Receiver takes what peers send.
type Receiver interface {
	Configs
	ReceivedConfig(c resolver.Config)
	Received(r controller.PeerReport)
	ReceivedRegistryChange(c controller.RegistryChange)
}

// Run passes what peers send on until the context ends.
func (e *Exchanger) Run(ctx context.Context, hub *connector.Hub, to Receiver) {
	for {
		select {
		case <-ctx.Done():
			return
		case f, ok := <-hub.Received():
			if !ok {
				return
			}
			e.learn(f.Sender)
			if f.ConfigRequest != nil {
				e.giveConfig(f.Sender, f.ConfigRequest.After, to)
			}
			for _, m := range f.ConfigPushes {
				e.takeConfig(f.Sender, m, to)
			}
			for _, m := range f.RegistryChanges {
				to.ReceivedRegistryChange(decodeChange(m))
			}
			for _, m := range f.WorkReports {
				to.Received(controller.PeerReport{Peer: f.Sender, Incarnation: f.Incarnation, Report: decode(m)})
			}
		}
	}
}

func encode(r controller.Report) messenger.WorkReport {
	mark := encodeMark(r.Registry)
	m := messenger.WorkReport{Whole: r.Whole, ConfigVersion: &r.Config.Version, Registry: &mark}
	if r.Config.Confirmed {
		age, hops := uint64(max(r.Config.Age.Milliseconds(), 0)), uint64(max(r.Config.Hops, 0))
		m.ConfigAgeMs, m.ConfigHops = &age, &hops
	}
	if len(r.Loads) > 0 {
		m.Work = encodeLoads(r.Loads)
	}
	for _, t := range r.Accounts {
		m.Accounts = append(m.Accounts, messenger.AccountService{Account: t.Account, Asked: count(t.Asked), Served: count(t.Served)})
	}
	if g := r.Group; g.Count > 0 {
		groups, index := uint64(g.Count), uint64(g.Index)
		m.Groups, m.Group = &groups, &index
	}
	for _, d := range r.Daemons {
		m.Daemons = append(m.Daemons, messenger.DaemonAddress{ID: d.ID, Address: d.Address})
	}
	for _, s := range r.Spills {
		m.Parts = append(m.Parts, messenger.PromptPart{Target: s.Target, Chain: s.Chain})
	}
	return m
}

func decode(m messenger.WorkReport) controller.Report {
	r := controller.Report{Whole: m.Whole}
	if m.ConfigVersion != nil {
		r.Config.Version = *m.ConfigVersion
	}
	if m.ConfigAgeMs != nil && m.ConfigHops != nil {
		r.Config.Confirmed, r.Config.Age, r.Config.Hops = true, age(*m.ConfigAgeMs), int(min(*m.ConfigHops, maxGroups))
	}
	if m.Registry != nil {
		r.Registry = decodeMark(*m.Registry)
	}
	if m.Groups != nil && m.Group != nil {
		r.Group = grouper.Group{Index: int(min(*m.Group, maxGroups)), Count: int(min(*m.Groups, maxGroups))}
	}
	for _, d := range m.Daemons {
		r.Daemons = append(r.Daemons, controller.Daemon{ID: d.ID, Address: d.Address})
	}
	if m.Work != nil {
		r.Loads = decodeLoads(*m.Work)
	}
	for _, a := range m.Accounts {
		r.Accounts = append(r.Accounts, sharer.Total{Account: a.Account, Asked: float64(a.Asked), Served: float64(a.Served)})
	}
	for _, p := range m.Parts {
		r.Spills = append(r.Spills, placer.Spill{Target: p.Target, Chain: p.Chain})
	}
	return r
}

func encodeMark(m controller.RegistryState) messenger.RegistryMark {
	hops := uint64(max(m.Hops, 0))
	return messenger.RegistryMark{Revision: m.Revision, Digest: m.Digest, AgeMs: uint64(max(m.Age.Milliseconds(), 0)), Hops: &hops}
}

func decodeMark(m messenger.RegistryMark) controller.RegistryState {
	mark := controller.RegistryState{Revision: m.Revision, Digest: m.Digest, Age: age(m.AgeMs)}
	if m.Hops != nil {
		mark.Hops = int(min(*m.Hops, maxGroups))
	}
	return mark
}

// age decodes a number of milliseconds.
func age(milliseconds uint64) time.Duration {
	return time.Duration(min(milliseconds, uint64(maxAge/time.Millisecond))) * time.Millisecond
}

// maxGroups is beyond any number of groups.
const maxGroups = 1 << 16

// maxAge is beyond any age at which a state of the store is of use.
const maxAge = time.Hour

func encodeChange(c controller.RegistryChange) messenger.RegistryChange {
	m := messenger.RegistryChange{Base: c.Base, Mark: encodeMark(controller.RegistryState{Revision: c.Revision, Digest: c.Digest, Age: c.Age}), Gone: c.Gone}
	for _, e := range c.Entries {
		m.Entries = append(m.Entries, messenger.RegistryEntry{
			ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
			Incarnation: uint64(e.Incarnation), Slots: uint64(max(e.Slots, 0)), Draining: e.Draining,
		})
	}
	return m
}

func decodeChange(m messenger.RegistryChange) controller.RegistryChange {
	mark := decodeMark(m.Mark)
	c := controller.RegistryChange{Age: mark.Age, Change: registrar.Change{Base: m.Base, Digest: mark.Digest, Revision: mark.Revision, Gone: m.Gone}}
	for _, e := range m.Entries {
		c.Entries = append(c.Entries, registrar.Entry{
			ID: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
			Incarnation: int64(e.Incarnation), Slots: int(min(e.Slots, math.MaxInt32)), Draining: e.Draining,
		})
	}
	return c
}

func count(v float64) uint64 { return uint64(max(math.Round(v), 0)) }

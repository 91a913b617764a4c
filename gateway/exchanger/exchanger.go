// Package exchanger sends the reports of a daemon to its peers, receives theirs,
// and converts them from and to messages of package messenger. A daemon without
// peers runs on its own.
package exchanger

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"monsoondeck.example/connector"
	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/logger"
	"monsoondeck.example/messenger"
)

const (
	// minReportInterval is about the time in which a target reads one long prompt.
	minReportInterval = 100 * time.Millisecond
	// maxReportInterval keeps the reports useful to the peers in large fleets.
	maxReportInterval = time.Second
	// intervalPerRecipient makes the report interval grow with the number of
	// recipients, so that the number of messages that a daemon sends per second stays
	// constant in larger fleets.
	intervalPerRecipient = 12 * time.Millisecond
)

// ConfigProvider returns the configuration in force, and false before there is one.
type ConfigProvider interface {
	Current() (resolver.Config, bool)
}

// Decoder decodes a configuration that a peer sent.
type Decoder interface {
	Decode(encoded []byte) (resolver.Config, error)
}

// Exchanger exchanges messages with the peers. It is safe for concurrent use.
type Exchanger struct {
	decoder Decoder
	logger  *slog.Logger

	// mutex guards the fields below. The elements of peers are never changed in place,
	// so that the slice can be used after unlocking.
	mutex sync.Mutex
	hub   *connector.Hub
	peers []Peer
}

// Peer is another daemon. Address and data centre are empty while they are unknown.
type Peer struct {
	connector.Peer
	DataCentre string
}

// New returns an Exchanger without peers. It sends nothing until SetHub is called.
func New(d Decoder, l *slog.Logger) *Exchanger { return &Exchanger{decoder: d, logger: l} }

// SetHub sets the hub that holds the connections to the peers.
func (e *Exchanger) SetHub(hub *connector.Hub) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.hub = hub
}

// SetPeers replaces the peers. Peers without an address, which connected to this
// daemon by themselves, stay.
func (e *Exchanger) SetPeers(peers []Peer) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, old := range e.peers {
		if old.Address == "" && !slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == old.ID }) {
			peers = append(peers, old)
		}
	}
	e.peers = peers
}

// Peers returns all peers.
func (e *Exchanger) Peers() []controller.Daemon {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	peers := make([]controller.Daemon, len(e.peers))
	for i, p := range e.peers {
		peers[i] = controller.Daemon{ID: p.ID, Address: p.Address, DataCentre: p.DataCentre}
	}
	return peers
}

// ReportInterval returns the time between two reports to the given number of
// recipients.
func ReportInterval(recipients int) time.Duration {
	return min(max(minReportInterval, time.Duration(recipients)*intervalPerRecipient), maxReportInterval)
}

// Send sends a report to the peers with the given IDs, which must be sorted.
// Unknown IDs are ignored.
func (e *Exchanger) Send(r controller.Report, to []string) {
	message := encodeReport(r)
	e.sendTo(e.peersNamed(to), func(f *messenger.Frame) { f.WorkReports = append(f.WorkReports, message) })
}

// peersNamed returns the known peers whose IDs are among the sorted names.
func (e *Exchanger) peersNamed(names []string) []connector.Peer {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var found []connector.Peer
	for _, p := range e.peers {
		if _, ok := slices.BinarySearch(names, p.ID); ok {
			found = append(found, p.Peer)
		}
	}
	return found
}

// SendChange sends a change of the registry to the peers with the given IDs, which
// must be sorted.
func (e *Exchanger) SendChange(c controller.RegistryChange, to []string) {
	message := encodeRegistryChange(c)
	e.sendTo(e.peersNamed(to), func(f *messenger.Frame) { f.RegistryChanges = append(f.RegistryChanges, message) })
}

// sendTo passes a message to the hub for each of the peers; merge adds it to the
// next frame for a peer. It does nothing before SetHub.
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

// addConnected adds a daemon that connected by itself. Its address is not needed
// while the connection lasts.
func (e *Exchanger) addConnected(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !slices.ContainsFunc(e.peers, func(p Peer) bool { return p.ID == id }) {
		e.peers = append(slices.Clone(e.peers), Peer{Peer: connector.Peer{ID: id}})
	}
}

// AddPeers adds the daemons that a peer reported with an address, and sets the
// addresses and data centres of known peers.
func (e *Exchanger) AddPeers(daemons []controller.Daemon) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, d := range daemons {
		if d.Address == "" {
			continue
		}
		peer := Peer{Peer: connector.Peer{ID: d.ID, Address: d.Address}, DataCentre: d.DataCentre}
		i := slices.IndexFunc(e.peers, func(p Peer) bool { return p.ID == d.ID })
		switch {
		case i < 0:
			e.peers = append(slices.Clone(e.peers), peer)
		case e.peers[i] != peer:
			e.peers = slices.Clone(e.peers)
			e.peers[i] = peer
		}
	}
}

// RequestConfig requests the configuration of a peer if it is newer than the
// version after.
func (e *Exchanger) RequestConfig(peer string, after uint64) {
	e.mutex.Lock()
	hub := e.hub
	e.mutex.Unlock()
	if hub != nil {
		hub.Send(connector.Peer{ID: peer}, func(f *messenger.Frame) { f.ConfigRequest = &messenger.ConfigRequest{After: after} })
	}
}

// answerConfigRequest sends the configuration in force to a peer that called
// RequestConfig.
func (e *Exchanger) answerConfigRequest(peer string, after uint64, configs ConfigProvider) {
	if config, ok := configs.Current(); ok && config.Version() > after {
		e.pushConfig(config, []connector.Peer{{ID: peer}})
	}
}

// SendConfig sends a configuration to the peers with the given IDs, which must be
// sorted.
func (e *Exchanger) SendConfig(config resolver.Config, to []string) {
	e.pushConfig(config, e.peersNamed(to))
}

// pushConfig sends a configuration to some peers. It skips one that does not fit
// into a frame.
func (e *Exchanger) pushConfig(config resolver.Config, to []connector.Peer) {
	if len(config.Encoded()) > maxConfigBytes {
		return
	}
	push := messenger.ConfigPush{Version: config.Version(), Body: string(config.Encoded())}
	e.sendTo(to, func(f *messenger.Frame) { f.ConfigPushes = append(f.ConfigPushes, push) })
}

// handleConfigPush decodes a configuration that a peer sent with pushConfig.
func (e *Exchanger) handleConfigPush(from string, push messenger.ConfigPush, handler Handler) {
	config, err := e.decoder.Decode([]byte(push.Body))
	if err != nil {
		logger.Emit(e.logger, logger.ConfigRejected, slog.String("from", from), slog.Uint64("version", push.Version), slog.String("error", err.Error()))
		return
	}
	handler.ReceivedConfig(config)
}

// maxConfigBytes is the largest encoded configuration that fits into a 256 KB
// frame. Larger ones are only read from the store.
const maxConfigBytes = 200 << 10

// Handler handles what peers send and provides the configuration that they request.
type Handler interface {
	ConfigProvider
	ReceivedConfig(c resolver.Config)
	Received(r controller.PeerReport)
	ReceivedRegistryChange(c controller.RegistryChange)
}

// Run passes the messages of the peers to the handler until the context ends or the
// hub is closed.
func (e *Exchanger) Run(ctx context.Context, hub *connector.Hub, handler Handler) {
	for {
		select {
		case <-ctx.Done():
			return
		case f, ok := <-hub.Received():
			if !ok {
				return
			}
			e.addConnected(f.Sender)
			if f.ConfigRequest != nil {
				e.answerConfigRequest(f.Sender, f.ConfigRequest.After, handler)
			}
			for _, m := range f.ConfigPushes {
				e.handleConfigPush(f.Sender, m, handler)
			}
			for _, m := range f.RegistryChanges {
				handler.ReceivedRegistryChange(decodeRegistryChange(m))
			}
			for _, m := range f.WorkReports {
				handler.Received(controller.PeerReport{Peer: f.Sender, Incarnation: f.Incarnation, Report: decodeReport(m)})
			}
		}
	}
}

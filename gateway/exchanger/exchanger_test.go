package exchanger_test

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"monsoondeck.example/connector"
	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/exchanger"
	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/sharer"
)

// decoder reads configurations that consist of their version in letters.
type decoder struct{}

func (decoder) Decode(encoded []byte) (resolver.Config, error) {
	if len(encoded) == 0 {
		return resolver.Config{}, errors.New("empty")
	}
	return resolver.New(resolver.Content{Version: uint64(len(encoded)), Encoded: encoded}), nil
}

// node is one end of the exchange.
type node struct {
	*exchanger.Exchanger
	hub     *connector.Hub
	address string
	config  resolver.Config
	reports chan controller.PeerReport
	changes chan controller.RegistryChange
	configs chan resolver.Config
}

func (n *node) Received(r controller.PeerReport)                   { n.reports <- r }
func (n *node) ReceivedRegistryChange(c controller.RegistryChange) { n.changes <- c }
func (n *node) ReceivedConfig(c resolver.Config)                   { n.configs <- c }
func (n *node) Current() (resolver.Config, bool)                   { return n.config, n.config.Version() > 0 }
func (n *node) sendUntil(send func(), received func() bool) {
	for !received() {
		send()
		time.Sleep(20 * time.Millisecond)
	}
}

func newNode(t *testing.T, name string, version int) *node {
	t.Helper()
	hub, closeHub, err := connector.New(connector.Options{Self: name, Incarnation: 1, Secret: []byte("0123456789abcdef")})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(hub)
	n := &node{
		Exchanger: exchanger.New(decoder{}, slog.New(slog.DiscardHandler)), hub: hub, address: strings.TrimPrefix(server.URL, "http://"),
		config:  resolver.New(resolver.Content{Version: uint64(version), Encoded: []byte(strings.Repeat("x", version))}),
		reports: make(chan controller.PeerReport, 1000), changes: make(chan controller.RegistryChange, 1000), configs: make(chan resolver.Config, 1000),
	}
	n.Start(hub)
	ctx, cancel := context.WithCancel(context.Background())
	go n.Run(ctx, hub, n)
	t.Cleanup(func() { cancel(); closeHub(); server.Close() })
	return n
}

// Guards against reports, changes and configurations that arrive changed, and
// against a daemon that does not answer one that connected to it.
func TestPeersExchangeWhatTheyKnow(t *testing.T) {
	a, b := newNode(t, "a", 3), newNode(t, "b", 9)
	a.SetPeers([]connector.Peer{{ID: "b", Address: b.address}})
	report := controller.Report{
		Whole: true, Config: controller.ConfigState{Version: 3, Confirmed: true, Age: 70 * time.Millisecond, Hops: 1}, Registry: controller.RegistryState{Revision: 5, Digest: 1 << 63, Age: 40 * time.Millisecond, Hops: 1},
		Loads: []placer.Load{{
			Target: placer.KeyOf("t"), Unread: 160, Running: 2, Memory: 320, Events: 4, Elapsed: 320 * time.Millisecond, Samples: 6, LogSpeed: 6 * math.Log(12.5),
		}},
		Accounts: []sharer.Total{{Account: "forge", Asked: 10, Served: 7}},
		Spills:   []placer.Spill{{Target: "t", Chain: 1 << 62}},
		Group:    grouper.Group{Index: 3, Count: 8}, Daemons: []controller.Daemon{{ID: "a", Address: a.address}, {ID: "c"}},
	}
	a.sendUntil(func() { a.Send(report, []string{"b"}) }, func() bool { return len(b.reports) > 0 })
	if got := <-b.reports; got.Peer != "a" || got.Incarnation != 1 || !reflect.DeepEqual(got.Report, report) {
		t.Errorf("report %+v, want %+v", got, report)
	}
	change := controller.RegistryChange{Age: 30 * time.Millisecond, Change: registrar.Change{
		Base: 1, Digest: 2, Revision: 3, Gone: []string{"old"},
		Entries: []registrar.Entry{{ID: "t", Service: "s", Address: "10.0.0.1:1", DataCentre: "d", Incarnation: 7, Slots: 6, Draining: true}},
	}}
	// b was never told of a's address.
	b.sendUntil(func() { b.SendChange(change) }, func() bool { return len(a.changes) > 0 })
	if got := <-a.changes; !reflect.DeepEqual(got, change) {
		t.Errorf("change %+v, want %+v", got, change)
	}
	a.sendUntil(func() { a.AskConfig("b", 3) }, func() bool { return len(a.configs) > 0 })
	if got := <-a.configs; got.Version() != 9 {
		t.Errorf("configuration %d", got.Version())
	}
	a.sendUntil(func() { a.SendConfig(a.config) }, func() bool { return len(b.configs) > 0 })
	if got := <-b.configs; got.Version() != 3 {
		t.Errorf("configuration %d was sent to all", got.Version())
	}
}

// Guards against more messages per second in larger fleets.
func TestReportsBecomeRarerInLargeFleets(t *testing.T) {
	last := exchanger.Interval(0)
	for _, recipients := range []int{5, 60, 300} {
		if exchanger.Interval(recipients) < last {
			t.Errorf("interval %v with %d recipients, %v with fewer", exchanger.Interval(recipients), recipients, last)
		}
		last = exchanger.Interval(recipients)
	}
	if last > time.Second {
		t.Errorf("interval %v: peers would take the daemon for silent", last)
	}
}

// Guards against daemons that joined after the list was read and cannot be
// reached, and against reports to daemons that are not to get them.
func TestDaemonsThatPeersKnowAreReached(t *testing.T) {
	a, b, c := newNode(t, "a", 1), newNode(t, "b", 1), newNode(t, "c", 1)
	a.SetPeers([]connector.Peer{{ID: "b", Address: b.address}})
	a.Learn([]controller.Daemon{{ID: "c"}})
	if names := a.Peers(); len(names) != 1 {
		t.Errorf("a daemon without address is a peer: %v", names)
	}
	a.Learn([]controller.Daemon{{ID: "c", Address: c.address}})
	if a.Address("c") != c.address || a.Address("d") != "" {
		t.Errorf("address of c %q, of d %q", a.Address("c"), a.Address("d"))
	}
	a.sendUntil(func() { a.Send(controller.Report{}, []string{"c", "d"}) }, func() bool { return len(c.reports) > 0 })
	if len(b.reports) > 0 {
		t.Error("a report went to a daemon that was not to get it")
	}
}

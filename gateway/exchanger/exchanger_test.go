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
	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
	"monsoondeck.example/gateway/sharer"
	"monsoondeck.example/gateway/versioner"
)

// decoder decodes a configuration whose version is the length of its encoding.
type decoder struct{}

func (decoder) Decode(encoded []byte) (resolver.Config, error) {
	if len(encoded) == 0 {
		return resolver.Config{}, errors.New("the configuration is empty")
	}
	return resolver.New(resolver.Content{Version: uint64(len(encoded)), Encoded: encoded}), nil
}

// node is one daemon of the exchange. It records what it receives.
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

// resendUntil calls send repeatedly, because messages may be lost, until received
// returns true.
func (n *node) resendUntil(send func(), received func() bool) {
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
	n.SetHub(hub)
	ctx, cancel := context.WithCancel(context.Background())
	go n.Run(ctx, hub, n)
	t.Cleanup(func() { cancel(); closeHub(); server.Close() })
	return n
}

// Guards against reports, registry changes and configurations that differ after
// transmission, and against a daemon that cannot send to one that connected to it.
func TestPeersExchangeReportsChangesAndConfigurations(t *testing.T) {
	a, b := newNode(t, "a", 3), newNode(t, "b", 9)
	a.SetPeers([]exchanger.Peer{{Peer: connector.Peer{ID: "b", Address: b.address}}})
	report := controller.Report{
		Whole: true, Config: controller.ConfigState{Version: 3, Confirmed: true, Age: 70 * time.Millisecond, StoreTime: 9 * time.Second, Hops: 1}, Registry: controller.RegistryState{Moment: registrar.Moment{Era: 2, Revision: 5}, Digest: 1 << 63, Age: 40 * time.Millisecond, StoreTime: 48 * time.Hour, Hops: 1},
		Loads: []placer.Load{{
			Target: placer.KeyOf("t"), PrefillTokens: 160, Running: 2, MemoryTokens: 320, EventGaps: 4, EventGapSum: 320 * time.Millisecond, SpeedSamples: 6, LogSpeedSum: 6 * math.Log(12.5),
		}, {
			Target: placer.KeyOf("limited"), Wanted: 12.5, LimitKnown: true, LimitAge: 250 * time.Millisecond, Limit: placer.RequestLimit{Limited: true, PerSecond: 3.125},
		}, {
			Target: placer.KeyOf("unlimited again"), LimitKnown: true,
		}},
		Accounts: []sharer.Total{{Account: "forge", Demand: 10, Served: 7}}, Recent: []sharer.Total{{Account: "forge", Demand: 5, Served: 3}},
		Streams:  []versioner.Batch{{Origin: versioner.Origin{Service: "s", Version: "v1"}, Left: 12 * time.Second, Streams: []versioner.Stream{1, 1 << 63}}},
		Versions: versioner.History{Age: time.Minute, Sightings: []versioner.Sighting{{Origin: versioner.Origin{Service: "s", Version: "v1"}}, {Origin: versioner.Origin{Service: "s"}, Age: 3 * time.Second}}},
		Evidence: quarantiner.Evidence{
			Incidents: []quarantiner.Incident{{Part: math.MaxUint64, Crash: 2, Request: 3, Age: 2 * time.Hour}}, Proofs: []quarantiner.Proof{{Part: 4, Crash: 5}},
		},
		Evacuations: controller.EvacuationReport{
			EvacuationState: registrar.NewEvacuationState(registrar.Moment{Era: 3, Revision: 1 << 50}, []string{"d", "e"}),
			Known:           true, Age: 90 * time.Millisecond, StoreTime: 3 * time.Hour, Hops: 2,
		},
		Departures: []registrar.Departure{{ID: "t", Incarnation: 1 << 40}, {ID: "u"}},
		Spills:     []placer.Spill{{Target: "t", PrefixHash: 1 << 62}},
		Group:      grouper.Group("d"), Total: true, Daemons: []controller.Daemon{{ID: "a", Address: a.address, DataCentre: "d"}, {ID: "c"}},
	}
	a.resendUntil(func() { a.Send(report, []string{"b"}) }, func() bool { return len(b.reports) > 0 })
	if got := <-b.reports; got.Peer != "a" || got.Incarnation != 1 || !reflect.DeepEqual(got.Report, report) {
		t.Errorf("received report %+v, want %+v", got, report)
	}
	change := controller.RegistryChange{Age: 30 * time.Millisecond, StoreTime: time.Minute, Hops: 2, Change: registrar.Change{
		Base: 1, Digest: 2, Moment: registrar.Moment{Era: 1 << 40, Revision: 3}, RemovedIDs: []string{"old"},
		Entries: []registrar.Entry{{ID: "t", Service: "s", Address: "10.0.0.1:1", DataCentre: "d", Incarnation: 7, Slots: 6, Draining: true}, {ID: "u", Incarnation: 8, Cold: true, WarmUp: 9 * time.Second}},
	}}
	// b does not know the address of a and uses the connection that a opened.
	b.resendUntil(func() { b.SendChange(change, []string{"a"}) }, func() bool { return len(a.changes) > 0 })
	if got := <-a.changes; !reflect.DeepEqual(got, change) {
		t.Errorf("received registry change %+v, want %+v", got, change)
	}
	a.resendUntil(func() { a.RequestConfig("b", 3) }, func() bool { return len(a.configs) > 0 })
	if got := <-a.configs; got.Version() != 9 {
		t.Errorf("received configuration version %d, want 9", got.Version())
	}
	a.resendUntil(func() { a.SendConfig(a.config, []string{"b"}) }, func() bool { return len(b.configs) > 0 })
	if got := <-b.configs; got.Version() != 3 {
		t.Errorf("SendConfig sent version %d, want 3", got.Version())
	}
}

// Guards against a number of messages per second that grows with the fleet.
func TestReportIntervalGrowsWithRecipients(t *testing.T) {
	last := exchanger.ReportInterval(0)
	for _, recipients := range []int{5, 60, 300} {
		if exchanger.ReportInterval(recipients) < last {
			t.Errorf("report interval %v with %d recipients, %v with fewer", exchanger.ReportInterval(recipients), recipients, last)
		}
		last = exchanger.ReportInterval(recipients)
	}
	if last > time.Second {
		t.Errorf("report interval %v is longer than 1 s; peers would time the daemon out", last)
	}
}

// Guards against daemons that joined after the list of daemons was read and stay
// unreachable, and against reports to daemons that are not among the recipients.
func TestReportsReachDaemonsLearnedFromPeers(t *testing.T) {
	a, b, c := newNode(t, "a", 1), newNode(t, "b", 1), newNode(t, "c", 1)
	a.SetPeers([]exchanger.Peer{{Peer: connector.Peer{ID: "b", Address: b.address}}})
	a.AddPeers([]controller.Daemon{{ID: "c"}})
	if names := a.Peers(); len(names) != 1 {
		t.Errorf("a daemon without an address was added to the peers: %v", names)
	}
	a.AddPeers([]controller.Daemon{{ID: "c", Address: c.address, DataCentre: "d"}})
	if peers := a.Peers(); len(peers) != 2 || peers[1] != (controller.Daemon{ID: "c", Address: c.address, DataCentre: "d"}) {
		t.Errorf("peers %+v, want b and c with the address and the data centre of c", peers)
	}
	a.resendUntil(func() { a.Send(controller.Report{}, []string{"c", "d"}) }, func() bool { return len(c.reports) > 0 })
	if len(b.reports) > 0 {
		t.Error("a report was sent to a daemon that is not among its recipients")
	}
}

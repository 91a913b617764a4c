package controller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/configurer"
	"monsoondeck.example/connector"
	"monsoondeck.example/detector"
	"monsoondeck.example/messenger"
)

// change commits one more version and hands it to a daemon as its poller would.
func (f *fleet) change(id string, large bool) {
	account := configurer.Account{ID: "a0", Name: fmt.Sprint("version ", f.config.Version()+1), Share: 1, Pools: []string{"quotes"}}
	d := configurer.Delta{ID: fmt.Sprint(f.config.Version()), Base: f.config.Version(), Version: f.config.Version() + 1, PutAccounts: []configurer.Account{account}}
	if large {
		for i := range 2000 { // more than a frame can carry
			d.PutAccounts = append(d.PutAccounts, configurer.Account{ID: fmt.Sprintf("large-%d", i), Name: "one of many client accounts", Share: 1, Pools: []string{"quotes"}})
		}
	}
	next, err := f.config.WithDelta(d)
	if err != nil {
		f.t.Fatal(err)
	}
	f.config = next
	f.nodes[id].controller.ApplyDeltas([]configurer.Delta{d})
	f.settleDown()
}

// probe lets every daemon learn the version of a random other one.
func (f *fleet) probe() {
	for _, m := range f.members {
		version := f.nodes[m.ID].controller.config.Version()
		other := rapid.SampledFrom(f.members).Draw(f.t, "probed")
		f.nodes[m.ID].Send(peerOf(other), func(frame *messenger.Frame) {
			frame.Probes = append(frame.Probes, messenger.Probe{ConfigVersion: version})
		})
	}
}

// fetch serves the daemons that want a complete configuration from a peer.
func (f *fleet) fetch() {
	for _, m := range f.members {
		select {
		case p := <-f.nodes[m.ID].controller.Fetches():
			if config, ok := f.nodes[p.ID].controller.Current(); ok {
				f.nodes[m.ID].controller.SetConfig(config)
			}
		default:
		}
	}
	f.settleDown()
}

func peerOf(m detector.Member) connector.Peer { return connector.Peer{ID: m.ID, Address: m.Address} }

// Guards against a version that is lost with a message or a daemon, and against
// an older version that comes back into force.
func TestConfigurationReachesAllAndNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.lossy = true
		inForce := map[string]uint64{}
		read := []configurer.Config{f.config}
		for range 40 {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				f.change(rapid.SampledFrom(f.members).Draw(t, "poller").ID, rapid.IntRange(0, 4).Draw(t, "size") == 0)
				read = append(read, f.config)
			case 1:
				id := rapid.SampledFrom(f.members).Draw(t, "restarted").ID
				f.restart(id)
				inForce[id] = 0
			case 2:
				f.probe()
				f.fetch()
			case 3: // a late or stale read of the platform
				f.nodes[rapid.SampledFrom(f.members).Draw(t, "reader").ID].controller.SetConfig(rapid.SampledFrom(read).Draw(t, "read"))
				f.settleDown()
			default:
				f.advance(300 * time.Millisecond)
				f.deliver(rapid.IntRange(0, 2).Draw(t, "loss") == 0)
			}
			for id, n := range f.nodes {
				version := n.controller.config.Version()
				if version < inForce[id] {
					t.Fatalf("%s went from version %d to %d", id, inForce[id], version)
				}
				inForce[id] = version
			}
		}
		f.lossy = false
		for range 60 {
			f.advance(300 * time.Millisecond)
			f.probe()
			f.deliverAll()
			f.fetch()
		}
		newest := uint64(0)
		for _, n := range f.nodes {
			newest = max(newest, n.controller.config.Version())
		}
		for id, n := range f.nodes {
			if n.controller.config.Version() != newest {
				t.Fatalf("%s has version %d, the newest is %d", id, n.controller.config.Version(), newest)
			}
		}
	})
}

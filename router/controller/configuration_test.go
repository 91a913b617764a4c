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

// commitChange commits a new version and passes it to a daemon as its poller would.
// A large change does not fit into a frame.
func (f *fleet) commitChange(id string, large bool) {
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
	f.processAll()
}

// exchangeProbes lets every daemon announce its version to a random daemon.
func (f *fleet) exchangeProbes() {
	for _, m := range f.members {
		version := f.nodes[m.ID].controller.config.Version()
		other := rapid.SampledFrom(f.members).Draw(f.t, "probed")
		f.nodes[m.ID].Send(peerOf(other), func(frame *messenger.Frame) {
			frame.Probes = append(frame.Probes, messenger.Probe{ConfigVersion: version})
		})
	}
}

// serveFetches completes the pending fetches of a complete configuration from a
// peer.
func (f *fleet) serveFetches() {
	for _, m := range f.members {
		select {
		case p := <-f.nodes[m.ID].controller.Fetches():
			if config, ok := f.nodes[p.ID].controller.Current(); ok {
				f.nodes[m.ID].controller.SetConfig(config)
			}
		default:
		}
	}
	f.processAll()
}

func peerOf(m detector.Member) connector.Peer { return connector.Peer{ID: m.ID, Address: m.Address} }

// Guards against a version that some daemon never gets because a message or a daemon
// is lost, and against a return to an older version.
func TestConfigurationReachesAllAndNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.lossy = true
		inForce := map[string]uint64{}
		read := []configurer.Config{f.config}
		for range 40 {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				f.commitChange(rapid.SampledFrom(f.members).Draw(t, "poller").ID, rapid.IntRange(0, 4).Draw(t, "size") == 0)
				read = append(read, f.config)
			case 1:
				id := rapid.SampledFrom(f.members).Draw(t, "restarted").ID
				f.restart(id)
				inForce[id] = 0
			case 2:
				f.exchangeProbes()
				f.serveFetches()
			case 3: // a late or stale read of the platform
				f.nodes[rapid.SampledFrom(f.members).Draw(t, "reader").ID].controller.SetConfig(rapid.SampledFrom(read).Draw(t, "read"))
				f.processAll()
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
			f.exchangeProbes()
			f.deliverAll()
			f.serveFetches()
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

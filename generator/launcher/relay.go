package launcher

import (
	"net"
	"time"

	"monsoondeck.example/emulator"
)

// platform is the data centre of the emulated platform. A data centre that is cut
// off cannot reach it.
const platform = "platform"

// relayEmulated starts relays to the emulated targets and platform services if the
// options ask for it.
func (f *Fleet) relayEmulated() error {
	if !f.options.Relayed {
		return nil
	}
	nodes := map[string]node{}
	for _, e := range f.options.Deployment.Engines {
		nodes[f.Address(emulator.KindEngine, e.ID)] = node{e.ID, e.DataCentre}
	}
	for _, s := range f.options.Deployment.Services {
		nodes[f.Address(emulator.KindService, s.ID)] = node{s.ID, s.DataCentre}
	}
	for _, kind := range []string{emulator.KindTable, emulator.KindObjects, emulator.KindHosts} {
		nodes[f.Address(kind, "")] = node{kind, platform}
	}
	for address, p := range nodes {
		relayAddress, err := f.network.listen(p, address)
		if err != nil {
			return err
		}
		f.relayAddresses[address] = relayAddress
	}
	return nil
}

// daemonAddress returns the address at which daemons reach an emulated target or
// platform service: that of the relay if there is one.
func (f *Fleet) daemonAddress(address string) string {
	if relayAddress, ok := f.relayAddresses[address]; ok {
		return relayAddress
	}
	return address
}

func (f *Fleet) daemonURL(kind string) string {
	return "http://" + f.daemonAddress(f.Address(kind, ""))
}

// Only daemons use the relay addresses. A daemon that dials before its process id
// is recorded is found by a later attempt.
const (
	lookUpAttempts = 10
	lookUpInterval = 10 * time.Millisecond
)

// findDialler returns the daemon that dialled an accepted connection.
func (f *Fleet) findDialler(accepted net.Conn) dialler {
	var d dialler
	for range lookUpAttempts {
		if d = f.lookUpDialler(accepted); d.isDaemon {
			break
		}
		time.Sleep(lookUpInterval)
	}
	return d
}

// lookUpDialler makes one attempt to find the dialling daemon.
func (f *Fleet) lookUpDialler(accepted net.Conn) dialler {
	var pids []int
	daemons := map[int]*Daemon{}
	for _, d := range f.Daemons {
		if p := d.currentProcess(); p != nil {
			pids = append(pids, p.ID())
			daemons[p.ID()] = d
		}
	}
	pid, owned := f.finder.find(accepted, pids)
	if d, ok := daemons[pid]; ok {
		return dialler{node: d.node(), isDaemon: true}
	}
	return dialler{orphaned: !owned}
}

// CutDataCentre cuts a data centre off from the others and from the platform.
func (f *Fleet) CutDataCentre(name string) error { return f.network.setDataCentreCut(name, true) }

// ReconnectDataCentre ends the cut of a data centre.
func (f *Fleet) ReconnectDataCentre(name string) error {
	return f.network.setDataCentreCut(name, false)
}

// CutOutgoing holds back what the daemon sends to other nodes.
func (d *Daemon) CutOutgoing() error { return d.fleet.network.setOutgoingCut(d.ID, true) }

// ReconnectOutgoing ends the cut of CutOutgoing.
func (d *Daemon) ReconnectOutgoing() error { return d.fleet.network.setOutgoingCut(d.ID, false) }

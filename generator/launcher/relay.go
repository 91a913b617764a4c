package launcher

import (
	"net"
	"time"

	"monsoondeck.example/emulator"
)

// platform is a data centre of its own: one that is cut off loses it.
const platform = "platform"

// relayStandIns relays the targets and the platform when they can be cut off.
func (f *Fleet) relayStandIns() error {
	if !f.options.Cuttable {
		return nil
	}
	places := map[string]place{}
	for _, e := range f.options.Deployment.Engines {
		places[f.Address(emulator.KindEngine, e.ID)] = place{e.ID, e.DataCentre}
	}
	for _, s := range f.options.Deployment.Services {
		places[f.Address(emulator.KindService, s.ID)] = place{s.ID, s.DataCentre}
	}
	for _, kind := range []string{emulator.KindTable, emulator.KindObjects, emulator.KindHosts} {
		places[f.Address(kind, "")] = place{kind, platform}
	}
	for address, p := range places {
		relayed, err := f.network.listen(p, address)
		if err != nil {
			return err
		}
		f.relayed[address] = relayed
	}
	return nil
}

// reach returns the address at which daemons reach a stand-in.
func (f *Fleet) reach(address string) string {
	if relayed, ok := f.relayed[address]; ok {
		return relayed
	}
	return address
}

func (f *Fleet) daemonURL(kind string) string { return "http://" + f.reach(f.Address(kind, "")) }

// Only daemons use the relayed addresses. One that dials before its process id
// is noted is found by a later attempt.
const (
	sourceAttempts = 10
	sourcePause    = 10 * time.Millisecond
)

// source returns the daemon that dialled an accepted connection.
func (f *Fleet) source(accepted net.Conn) dialler {
	var d dialler
	for range sourceAttempts {
		if d = f.findSource(accepted); d.known {
			break
		}
		time.Sleep(sourcePause)
	}
	return d
}

func (f *Fleet) findSource(accepted net.Conn) dialler {
	var pids []int
	daemons := map[int]*Daemon{}
	for _, d := range f.Daemons {
		if p := d.current(); p != nil {
			pids = append(pids, p.ID())
			daemons[p.ID()] = d
		}
	}
	pid, owned := f.finder.find(accepted, pids)
	if d, ok := daemons[pid]; ok {
		return dialler{place: d.place(), known: true}
	}
	return dialler{gone: !owned}
}

// CutDataCentre cuts a data centre off from the others and from the platform.
func (f *Fleet) CutDataCentre(name string) error { return f.network.setCut(name, true) }

// JoinDataCentre ends the cut.
func (f *Fleet) JoinDataCentre(name string) error { return f.network.setCut(name, false) }

// CutOutgoing keeps back what the daemon sends to others.
func (d *Daemon) CutOutgoing() error { return d.fleet.network.setMuted(d.ID, true) }

// JoinOutgoing ends the cut.
func (d *Daemon) JoinOutgoing() error { return d.fleet.network.setMuted(d.ID, false) }

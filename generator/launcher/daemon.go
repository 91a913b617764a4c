package launcher

import (
	"context"
	"strings"
	"sync"

	"monsoondeck.example/emulator"
)

// Daemon is one router daemon of a fleet. Its process can be ended and started
// again.
type Daemon struct {
	ID, DataCentre string
	// Caller, Peer and Admin are the addresses of the listeners; Advertise is the
	// relay address at which other daemons reach Peer.
	Caller, Peer, Admin, Advertise string

	fleet *Fleet

	// mu guards process and starts.
	mu      sync.Mutex
	process *Process
	starts  int
}

func (d *Daemon) node() node { return node{d.ID, d.DataCentre} }

// Start starts a new process of the daemon. The last one must have ended.
func (d *Daemon) Start() error {
	f := d.fleet
	seeds := []string{}
	for _, other := range f.Daemons {
		if other != d && len(seeds) < 3 {
			seeds = append(seeds, other.Advertise)
		}
	}
	env := append([]string{
		"MONSOOND_ID=" + d.ID, "MONSOOND_DATA_CENTRE=" + d.DataCentre,
		"MONSOOND_CALLER_ADDRESS=" + d.Caller, "MONSOOND_PEER_ADDRESS=" + d.Peer, "MONSOOND_ADMIN_ADDRESS=" + d.Admin,
		"MONSOOND_ADVERTISE=" + d.Advertise,
		"MONSOOND_TABLE_URL=" + f.daemonURL(emulator.KindTable), "MONSOOND_OBJECTS_URL=" + f.daemonURL(emulator.KindObjects),
		"MONSOOND_HOSTS_URL=" + f.daemonURL(emulator.KindHosts), "MONSOOND_FLEET_SECRET=" + fleetSecret,
		"MONSOOND_POLICY=" + f.options.Policy,
	}, f.options.Settings...)
	if len(seeds) > 0 {
		env = append(env, "MONSOOND_SEEDS="+strings.Join(seeds, ","))
	}
	p, err := f.starter.Run(d.ID, f.options.Programs.Daemon, nil, env, f.options.Log, nil)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process = p
	d.starts++
	return nil
}

func (d *Daemon) currentProcess() *Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process
}

// Process returns the current process.
func (d *Daemon) Process() *Process { return d.currentProcess() }

// Starts returns how often the daemon was started.
func (d *Daemon) Starts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts
}

// Status reads the daemon's status.
func (d *Daemon) Status(ctx context.Context) (Status, error) { return ReadStatus(ctx, d.Admin) }

// Control reads the daemon's counters of its control work.
func (d *Daemon) Control(ctx context.Context) (Control, error) { return ReadControl(ctx, d.Admin) }

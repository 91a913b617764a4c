package launcher

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator"
)

// Daemon is one router daemon. Its process can be ended and started again.
type Daemon struct {
	ID, DataCentre string
	// Caller, Peer and Admin are the addresses of the listeners; Advertise is the
	// peer address as others reach it.
	Caller, Peer, Admin, Advertise string

	fleet *Fleet

	mu      sync.Mutex
	process *Process
	starts  int
}

// Start starts the daemon's process.
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
		"MONSOOND_TABLE_URL=" + f.URL(emulator.KindTable, ""), "MONSOOND_OBJECTS_URL=" + f.URL(emulator.KindObjects, ""),
		"MONSOOND_HOSTS_URL=" + f.URL(emulator.KindHosts, ""), "MONSOOND_FLEET_SECRET=" + fleetSecret,
		"MONSOOND_POLICY=" + f.options.Policy,
	}, f.options.Settings...)
	if len(seeds) > 0 {
		env = append(env, "MONSOOND_SEEDS="+strings.Join(seeds, ","))
	}
	p, err := start(d.ID, f.options.Programs.Daemon, nil, env, f.options.Log, nil)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process = p
	d.starts++
	return nil
}

func (d *Daemon) current() *Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process
}

// Process returns the current process.
func (d *Daemon) Process() *Process { return d.current() }

// Starts returns how often the daemon was started.
func (d *Daemon) Starts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts
}

// Status is what a daemon says about itself on its admin listener.
type Status struct {
	ID            string   `json:"id"`
	Incarnation   uint64   `json:"incarnation"`
	ConfigVersion uint64   `json:"configVersion"`
	Ready         bool     `json:"ready"`
	Members       []string `json:"members"`
	ShardsOwned   []string `json:"shardsOwned"`
	Waiting       int      `json:"waiting"`
	Held          int      `json:"held"`
}

// Status reads the daemon's status.
func (d *Daemon) Status(ctx context.Context) (Status, error) {
	var s Status
	res, err := d.get(ctx, "/v1/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = res.Body.Close() }()
	return s, errors.Wrap(json.NewDecoder(res.Body).Decode(&s), "decode the status")
}

func (d *Daemon) get(ctx context.Context, path string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Admin+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	res, err := d.fleet.client.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, d.ID)
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, errors.Newf("%s: status %d", d.ID, res.StatusCode)
	}
	return res, nil
}

// Control are a daemon's counters of its control work.
type Control struct {
	Bytes, CPUSeconds float64
}

// Control reads the counters. Bytes sent and received are added.
func (d *Daemon) Control(ctx context.Context) (Control, error) {
	var c Control
	res, err := d.get(ctx, "/metrics")
	if err != nil {
		return c, err
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		switch {
		case err != nil:
		case strings.HasPrefix(name, "monsoond_control_bytes_total{"):
			c.Bytes += value
		case name == "monsoond_control_cpu_seconds_total":
			c.CPUSeconds = value
		}
	}
	return c, errors.Wrap(lines.Err(), "read the metrics")
}

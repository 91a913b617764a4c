package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/emulator"
	"monsoondeck.example/generator/deployment"
	"monsoondeck.example/provider"
	"monsoondeck.example/provider/committer"
	"monsoondeck.example/reserver"
)

const (
	fleetSecret = "a secret for processes on one machine"
	// startTimeout is long enough for a machine that runs other tests as well.
	startTimeout = 60 * time.Second
	// stopTimeout is how long a process may take to stop gracefully at clean-up.
	stopTimeout  = 500 * time.Millisecond
	pollInterval = 50 * time.Millisecond
)

// Options of a Fleet.
type Options struct {
	Programs   Programs
	Deployment deployment.Deployment
	Policy     string
	// Relayed means that the connections of daemons to targets and to the platform are
	// relayed, so that data centres can be cut off. Connections between daemons are always
	// relayed, with the deployment's delay between data centres.
	Relayed bool
	// Settings are additional environment variables of the daemons (NAME=value).
	Settings []string
	// Log receives the standard error of all processes.
	Log io.Writer
}

// Fleet is a running deployment: the daemons, the emulated targets and platform
// services, and the proxy between them.
type Fleet struct {
	Daemons   []*Daemon
	Committer *committer.Committer

	options   Options
	emulator  *Process
	endpoints []emulator.Endpoint
	network   *network
	starter   *Starter
	finder    *ownerFinder
	// relayAddresses holds, by the address of an emulated service, the relay address
	// that daemons use instead.
	relayAddresses map[string]string
	client         *http.Client
	// release releases the reserved addresses of the daemons.
	release func()

	mu     sync.Mutex
	config configurer.Config
}

// New starts a deployment, commits its configuration and waits until every daemon
// is ready. The clean-up function ends all processes.
func New(ctx context.Context, o Options) (*Fleet, func(), error) {
	f := &Fleet{options: o, client: &http.Client{Timeout: callTimeout}, relayAddresses: map[string]string{}, starter: NewStarter(), finder: newOwnerFinder(), release: func() {}}
	f.network = newNetwork(o.Deployment.PeerDelay, f.findDialler)
	if err := f.start(ctx); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

func (f *Fleet) close() {
	var group sync.WaitGroup
	for _, d := range f.Daemons {
		if p := d.currentProcess(); p != nil {
			group.Go(func() { p.Stop(stopTimeout) })
		}
	}
	group.Wait()
	f.finder.close()
	f.network.close()
	if f.emulator != nil {
		f.emulator.Stop(stopTimeout)
	}
	f.starter.Close()
	f.client.CloseIdleConnections()
	f.release()
}

func (f *Fleet) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout+time.Duration(len(f.options.Deployment.Routers))*time.Second)
	defer cancel()
	if err := f.startEmulator(ctx); err != nil {
		return err
	}
	if err := f.relayEmulated(); err != nil {
		return err
	}
	f.Committer = committer.New(committer.Options{
		Table:   provider.NewTable(provider.Options{URL: f.URL(emulator.KindTable, "")}),
		Objects: provider.NewObjects(provider.Options{URL: f.URL(emulator.KindObjects, "")}),
	})
	address := func(id string) string {
		return f.daemonAddress(f.Address(emulator.KindEngine, id) + f.Address(emulator.KindService, id))
	}
	if _, err := f.Commit(ctx, f.options.Deployment.Delta(address), "start"); err != nil {
		return errors.Wrap(err, "commit the configuration")
	}
	if err := f.startDaemons(); err != nil {
		return err
	}
	return f.WaitReady(ctx)
}

func (f *Fleet) startEmulator(ctx context.Context) error {
	ready := make(chan struct{})
	p, err := f.starter.Run(emulatorProgram, f.options.Programs.Emulator, f.options.Deployment.EmulatorArguments(), nil, f.options.Log, func(line []byte) {
		var e emulator.Endpoint
		if json.Unmarshal(line, &e) != nil {
			return
		}
		if e.Kind == "ready" {
			close(ready)
			return
		}
		f.endpoints = append(f.endpoints, e)
	})
	if err != nil {
		return err
	}
	f.emulator = p
	select {
	case <-ready:
		return nil
	case <-p.Done():
	case <-ctx.Done():
	}
	return errors.Wrap(ErrNotReady, emulatorProgram)
}

// Address returns the address of an emulated target or platform service, or "" if
// there is none of this kind and id.
func (f *Fleet) Address(kind, id string) string {
	for _, e := range f.endpoints {
		if e.Kind == kind && e.ID == id {
			return e.Address
		}
	}
	return ""
}

// URL returns the base URL of an emulated target or platform service.
func (f *Fleet) URL(kind, id string) string { return "http://" + f.Address(kind, id) }

// Commit commits a change on top of the newest configuration that this process
// knows and returns the new version.
func (f *Fleet) Commit(ctx context.Context, d configurer.Delta, action string) (uint64, error) {
	next, _, err := f.Committer.Commit(ctx, f.Config(), d, action)
	if err != nil {
		return 0, err
	}
	f.setConfig(next)
	return next.Version(), nil
}

// Reload reads the newest configuration from the emulated platform.
func (f *Fleet) Reload(ctx context.Context) error {
	c, err := f.Committer.Load(ctx)
	if err != nil {
		return err
	}
	f.setConfig(c)
	return nil
}

// setConfig replaces the known configuration if c is newer.
func (f *Fleet) setConfig(c configurer.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Version() > f.config.Version() {
		f.config = c
	}
}

// Config returns the newest configuration that this process knows.
func (f *Fleet) Config() configurer.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func (f *Fleet) startDaemons() error {
	ports, release, err := reserver.Addresses(3 * len(f.options.Deployment.Routers))
	if err != nil {
		return err
	}
	f.release = release
	for i, centre := range f.options.Deployment.Routers {
		d := &Daemon{
			ID: fmt.Sprintf("router-%d", i+1), DataCentre: centre,
			Caller: ports[3*i], Peer: ports[3*i+1], Admin: ports[3*i+2], fleet: f,
		}
		if d.Advertise, err = f.network.listen(d.node(), d.Peer); err != nil {
			return err
		}
		f.Daemons = append(f.Daemons, d)
	}
	for _, d := range f.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until every running daemon is ready and knows all others.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, d := range f.Daemons {
		for {
			if id := f.exitedDaemon(); id != "" {
				return errors.Wrapf(ErrNotReady, "%s has ended", id)
			}
			s, err := d.Status(ctx)
			if err == nil && s.Ready && len(s.Members) >= len(f.Daemons) {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ErrNotReady, "%s: status %+v: %v", d.ID, s, err)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// exitedDaemon returns the id of a daemon whose process has ended, or "".
func (f *Fleet) exitedDaemon() string {
	for _, d := range f.Daemons {
		if !d.Process().Alive() {
			return d.ID
		}
	}
	return ""
}

// Callers returns the caller addresses of all daemons.
func (f *Fleet) Callers() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, d.Caller)
	}
	return out
}

package router

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/connector"
	"monsoondeck.example/router/authenticator"
	"monsoondeck.example/router/controller"
	"monsoondeck.example/router/receiver"
)

// configPath is the path at which a daemon serves its complete configuration to
// other daemons, because it is too large for a frame of a peer connection.
const configPath = "/peer/config"

const (
	fetchTimeout = 5 * time.Second
	// maxConfigBytes bounds a fetched configuration. A configuration of 19,000 client
	// accounts has less than 10 MB.
	maxConfigBytes = 64 << 20
)

// forwardScope is the scope of the signature of a forwarded request.
const forwardScope = "forward"

// peerHandler returns the handler of the peer listener. hub serves the peer
// connections, forwarded the requests that other daemons forward to this one
// because it issued their tickets.
func peerHandler(hub, forwarded http.Handler, control *controller.Controller, auth *authenticator.Authenticator) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/peer", hub)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if _, err := auth.VerifyHeader(r.Header, forwardScope); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		forwarded.ServeHTTP(w, r)
	})
	mux.HandleFunc("GET "+configPath, func(w http.ResponseWriter, r *http.Request) {
		if _, err := auth.Verify(r); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		config, ok := control.Current()
		if !ok {
			http.Error(w, "this daemon has no configuration yet", http.StatusNotFound)
			return
		}
		// A write fails only if the peer has disconnected.
		_ = json.NewEncoder(w).Encode(config)
	})
	return mux
}

// issuerResolver finds the daemons that issued tickets among the live members.
type issuerResolver struct {
	control *controller.Controller
	auth    *authenticator.Authenticator
}

// Issuer returns the daemon with the incarnation, or receiver.ErrIssuerGone.
func (ir issuerResolver) Issuer(incarnation uint64) (receiver.Peer, error) {
	m, ok := ir.control.Snapshot().Member(incarnation)
	if !ok {
		return receiver.Peer{}, receiver.ErrIssuerGone
	}
	return receiver.Peer{
		Address:      m.Address,
		Authenticate: func(h http.Header) { ir.auth.SignHeader(h, forwardScope) },
	}, nil
}

// errNoConfig is returned if a peer does not send its configuration.
var errNoConfig = errors.New("peer did not send a configuration")

// configFetcher fetches complete configurations from peers.
type configFetcher struct {
	control *controller.Controller
	auth    *authenticator.Authenticator
	client  *http.Client
}

func newConfigFetcher(control *controller.Controller, auth *authenticator.Authenticator) *configFetcher {
	return &configFetcher{control: control, auth: auth, client: &http.Client{Timeout: fetchTimeout}}
}

// run fetches a configuration from the seeds, and then from every peer that the
// controller names, until the context ends.
func (f *configFetcher) run(ctx context.Context, seeds []string) {
	f.bootstrap(ctx, seeds)
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-f.control.Fetches():
			// If a fetch fails, the next membership probe that reports a newer
			// version requests another one.
			if config, err := f.fetch(ctx, peer); err == nil {
				f.control.SetConfig(config)
			}
		}
	}
}

// seedTimeout bounds the wait for one seed. It is short because the poller asks the
// platform soon after the start.
const seedTimeout = time.Second

// bootstrap fetches a configuration from the first seed that sends one. It does so
// before the other members know this daemon, which otherwise could become the owner
// of shards that it cannot schedule yet.
func (f *configFetcher) bootstrap(ctx context.Context, seeds []string) {
	for _, address := range seeds {
		if f.control.Snapshot().Configured {
			return
		}
		seedContext, cancel := context.WithTimeout(ctx, seedTimeout)
		config, err := f.fetch(seedContext, connector.Peer{Address: address})
		cancel()
		if err == nil {
			f.control.SetConfig(config)
			return
		}
	}
}

func (f *configFetcher) fetch(ctx context.Context, peer connector.Peer) (configurer.Config, error) {
	var config configurer.Config
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Address+configPath, nil)
	if err != nil {
		return config, err
	}
	f.auth.Sign(r)
	response, err := f.client.Do(r)
	if err != nil {
		return config, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return config, errors.Wrapf(errNoConfig, "status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxConfigBytes)).Decode(&config)
	return config, err
}

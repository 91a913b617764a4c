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

// configPath serves the complete configuration to other daemons, because it
// does not fit into a frame.
const configPath = "/peer/config"

const (
	fetchTimeout = 5 * time.Second
	// maxConfigBytes bounds a fetched configuration; 19,000 client accounts need
	// less than 10 MB.
	maxConfigBytes = 64 << 20
)

// forwardScope is what a daemon signs when it forwards a ticketed request.
const forwardScope = "forward"

// peerHandler serves other daemons. forwarded serves the ticketed requests that
// they send to this daemon as the issuer.
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
		// A failed write means that the peer has gone.
		_ = json.NewEncoder(w).Encode(config)
	})
	return mux
}

// forwarder finds the issuers of tickets among the members.
type forwarder struct {
	control *controller.Controller
	auth    *authenticator.Authenticator
}

// Issuer returns the daemon with the incarnation, or receiver.ErrIssuerGone.
func (f forwarder) Issuer(incarnation uint64) (receiver.Peer, error) {
	m, ok := f.control.Snapshot().Member(incarnation)
	if !ok {
		return receiver.Peer{}, receiver.ErrIssuerGone
	}
	return receiver.Peer{
		Address:      m.Address,
		Authenticate: func(h http.Header) { f.auth.SignHeader(h, forwardScope) },
	}, nil
}

// errNoConfig reports a peer that has no configuration to give.
var errNoConfig = errors.New("peer gives no configuration")

// fetcher fetches complete configurations from peers.
type fetcher struct {
	control *controller.Controller
	auth    *authenticator.Authenticator
	client  *http.Client
}

func newFetcher(control *controller.Controller, auth *authenticator.Authenticator) *fetcher {
	return &fetcher{control: control, auth: auth, client: &http.Client{Timeout: fetchTimeout}}
}

func (f *fetcher) run(ctx context.Context, seeds []string) {
	f.bootstrap(ctx, seeds)
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-f.control.Fetches():
			// A failed fetch is repeated when the next probe shows the gap again.
			if config, err := f.fetch(ctx, peer); err == nil {
				f.control.SetConfig(config)
			}
		}
	}
}

// seedTimeout bounds the wait for one seed; the platform is asked soon after.
const seedTimeout = time.Second

// bootstrap asks the seeds for a configuration before the members know this
// daemon, so that it does not become the owner of shards that it cannot
// schedule yet.
func (f *fetcher) bootstrap(ctx context.Context, seeds []string) {
	for _, address := range seeds {
		if f.control.Snapshot().Configured {
			return
		}
		attempt, cancel := context.WithTimeout(ctx, seedTimeout)
		config, err := f.fetch(attempt, connector.Peer{Address: address})
		cancel()
		if err == nil {
			f.control.SetConfig(config)
			return
		}
	}
}

func (f *fetcher) fetch(ctx context.Context, peer connector.Peer) (configurer.Config, error) {
	var config configurer.Config
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Address+configPath, nil)
	if err != nil {
		return config, err
	}
	f.auth.Sign(r)
	answer, err := f.client.Do(r)
	if err != nil {
		return config, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return config, errors.Wrapf(errNoConfig, "status %d", answer.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, maxConfigBytes)).Decode(&config)
	return config, err
}

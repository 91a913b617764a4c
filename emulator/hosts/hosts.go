// Package hosts emulates the platform's host list, which lags behind the actual
// state.
package hosts

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/wire"
)

// Host is one live or leaving host.
type Host struct {
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Role        string `json:"role"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

// Hosts is the answer of GET /v1/hosts.
type Hosts struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// Settings of a host list.
type Settings struct {
	// Lag is how late a change becomes visible.
	Lag time.Duration
}

type version struct {
	value Hosts
	at    time.Time
}

// List is an http.Handler that emulates the host list.
type List struct {
	settings Settings
	faults   *fault.Faults

	mu       sync.Mutex
	versions []version // oldest first; the last one is the actual state
}

// New returns an empty host list.
func New(s Settings) *List {
	return &List{settings: s, faults: fault.New(), versions: []version{{value: Hosts{Hosts: []Host{}}}}}
}

// Faults returns the faults of the host list.
func (l *List) Faults() *fault.Faults { return l.faults }

// Set replaces the list. The change becomes visible after the lag.
func (l *List) Set(now time.Time, hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	revision := l.versions[len(l.versions)-1].value.Revision + 1
	l.versions = append(l.versions, version{Hosts{Revision: revision, Hosts: hosts}, now.Add(l.settings.Lag)})
}

// Visible returns the list as readers see it.
func (l *List) Visible(now time.Time) Hosts {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) > 1 && !now.Before(l.versions[1].at) {
		l.versions = l.versions[1:]
	}
	return l.versions[0].value
}

// ServeHTTP serves GET /v1/hosts, PUT /v1/hosts (which sets the list in tests)
// and the fault control.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/control":
		l.faults.ServeControl(w, r)
	case r.URL.Path != "/v1/hosts":
		http.NotFound(w, r)
	case r.Method == http.MethodPut:
		var h []Host
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
			wire.WriteError(w, http.StatusBadRequest, "body", err.Error())
			return
		}
		l.Set(time.Now(), h)
		w.WriteHeader(http.StatusNoContent)
	case r.Method != http.MethodGet:
		wire.WriteError(w, http.StatusMethodNotAllowed, "method", "the host list is read with GET")
	case l.faults.Gate(w, r):
		wire.WriteJSON(w, http.StatusOK, l.Visible(time.Now()))
	}
}

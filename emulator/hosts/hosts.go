// Package hosts emulates the platform's list of hosts, whose changes become visible
// with a delay.
package hosts

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/wire"
)

// Host is one host that runs or is leaving.
type Host struct {
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Role        string `json:"role"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

// Hosts is the response body of GET /v1/hosts. Revision increases by one at every
// change.
type Hosts struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// Settings configures a List.
type Settings struct {
	// Lag is the delay until a change becomes visible.
	Lag time.Duration
}

// version is one state of the list.
type version struct {
	hosts       Hosts
	visibleFrom time.Time
}

// List is an http.Handler that emulates the host list.
type List struct {
	settings Settings
	faults   *fault.Faults

	mu       sync.Mutex
	versions []version // oldest first; the last one is the actual list, the first the visible one
}

// New returns an empty host list.
func New(s Settings) *List {
	return &List{settings: s, faults: fault.New(), versions: []version{{hosts: Hosts{Hosts: []Host{}}}}}
}

// Faults returns the faults that tests inject into the host list.
func (l *List) Faults() *fault.Faults { return l.faults }

// Set replaces the list. The change becomes visible after Settings.Lag.
func (l *List) Set(now time.Time, hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	revision := l.versions[len(l.versions)-1].hosts.Revision + 1
	l.versions = append(l.versions, version{Hosts{Revision: revision, Hosts: hosts}, now.Add(l.settings.Lag)})
}

// Visible returns the list as readers see it at a time. It drops older versions.
func (l *List) Visible(now time.Time) Hosts {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) > 1 && !now.Before(l.versions[1].visibleFrom) {
		l.versions = l.versions[1:]
	}
	return l.versions[0].hosts
}

// ServeHTTP serves GET /v1/hosts, PUT /v1/hosts, with which tests replace the list,
// and /v1/control, which sets the faults.
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

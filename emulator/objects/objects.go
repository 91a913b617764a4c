// Package objects emulates the platform's object store.
package objects

import (
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/table"
	"monsoondeck.example/emulator/wire"
)

const maxObjectBytes = 64 << 20

// Settings configures a Store.
type Settings struct {
	// ReadsPerSecond and WritesPerSecond are rate limits; 0 means no limit. A list
	// counts as a read, a deletion as a write.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Store is an http.Handler that emulates the object store.
type Store struct {
	faults        *fault.Faults
	reads, writes *table.Rate

	mu      sync.Mutex
	objects map[string][]byte
}

// New returns an empty store.
func New(s Settings) *Store {
	return &Store{
		faults: fault.New(), objects: map[string][]byte{},
		reads: table.NewRate(s.ReadsPerSecond), writes: table.NewRate(s.WritesPerSecond),
	}
}

// Faults returns the faults that tests inject into the store.
func (s *Store) Faults() *fault.Faults { return s.faults }

// Keys is the response body of a list request, sorted.
type Keys struct {
	Keys []string `json:"keys"`
}

// ServeHTTP serves the API of the store and /v1/control, which sets the faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.EscapedPath()
	if path == "/v1/control" {
		s.faults.ServeControl(w, r) // objects are durable, so a restart changes nothing
		return
	}
	if !s.faults.Gate(w, r) {
		return
	}
	if rate := s.rateFor(r.Method); !rate.Take(time.Now()) {
		wire.Refuse(w, http.StatusTooManyRequests, "rate", "over the rate of the store")
		return
	}
	key, err := url.PathUnescape(strings.TrimPrefix(path, "/v1/objects/"))
	switch {
	case path == "/v1/objects" && r.Method == http.MethodGet:
		wire.WriteJSON(w, http.StatusOK, Keys{Keys: s.list(r.URL.Query().Get("prefix"))})
	case err != nil || key == "" || !strings.HasPrefix(path, "/v1/objects/"):
		wire.WriteError(w, http.StatusNotFound, "path", "no such operation")
	default:
		s.serveObject(w, r, key)
	}
}

// rateFor returns the rate limit for requests with an HTTP method.
func (s *Store) rateFor(method string) *table.Rate {
	if method == http.MethodGet {
		return s.reads
	}
	return s.writes
}

// serveObject reads, writes or deletes the object with a key.
func (s *Store) serveObject(w http.ResponseWriter, r *http.Request, key string) {
	switch r.Method {
	case http.MethodGet:
		s.mu.Lock()
		body, ok := s.objects[key]
		s.mu.Unlock()
		if !ok {
			wire.WriteError(w, http.StatusNotFound, "notFound", "no object "+key)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(body) // the client may have disconnected
		return
	case http.MethodPut:
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if err != nil {
			wire.WriteError(w, http.StatusBadRequest, "body", err.Error())
			return
		}
		s.mu.Lock()
		s.objects[key] = body
		s.mu.Unlock()
	case http.MethodDelete:
		s.mu.Lock()
		delete(s.objects, key)
		s.mu.Unlock()
	default:
		wire.WriteError(w, http.StatusMethodNotAllowed, "method", "no such operation")
		return
	}
	if s.faults.TakeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

// list returns the sorted keys that have a prefix.
func (s *Store) list(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []string{}
	for k := range s.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

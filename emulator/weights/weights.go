// Package weights emulates the rate-limited store from which engines load the weights
// of models.
package weights

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/table"
	"monsoondeck.example/emulator/wire"
)

// ErrRate is returned when a load exceeds the rate limit of the store.
var ErrRate = errors.New("over the rate of the weight store")

// Settings configures a Store.
type Settings struct {
	// LoadsPerSecond limits the rate at which loads start; 0 means no limit.
	LoadsPerSecond float64
	// LoadTime is the duration of one load.
	LoadTime time.Duration
}

// Store emulates a weight store. Engines in this process call Fetch; ServeHTTP offers
// the same to other clients.
type Store struct {
	settings Settings
	faults   *fault.Faults
	rate     *table.Rate
}

// New returns a store that holds the weights of every model.
func New(s Settings) *Store {
	return &Store{settings: s, faults: fault.New(), rate: table.NewRate(s.LoadsPerSecond)}
}

// Fetch loads the weights of a model, which takes LoadTime. It returns ErrRate if the
// load exceeds the rate limit, or the error of the context.
func (s *Store) Fetch(ctx context.Context, _ string) error {
	if !s.rate.Take(time.Now()) {
		return ErrRate
	}
	t := time.NewTimer(time.Duration(float64(s.settings.LoadTime) * s.faults.Slowdown()))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeHTTP serves GET /v1/weights/{model} and /v1/control, which sets the faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/control" {
		s.faults.ServeControl(w, r)
		return
	}
	model, ok := strings.CutPrefix(r.URL.Path, "/v1/weights/")
	if !ok || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	if !s.faults.Gate(w, r) {
		return
	}
	switch err := s.Fetch(r.Context(), model); {
	case errors.Is(err, ErrRate):
		wire.Refuse(w, http.StatusTooManyRequests, "rate", err.Error())
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// Package weights emulates the rate-limited weight store that engines load
// models from.
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

// ErrRate is returned when a load is over the rate of the store.
var ErrRate = errors.New("over the rate of the weight store")

// Settings of a weight store.
type Settings struct {
	// LoadsPerSecond limits the loads that may start; 0 is unlimited.
	LoadsPerSecond float64
	// LoadTime is how long one load takes.
	LoadTime time.Duration
}

// Store emulates a weight store. Engines use Fetch; ServeHTTP is the same for
// other clients.
type Store struct {
	settings Settings
	faults   *fault.Faults
	rate     *table.Rate
}

// New returns a store that holds the weights of every model.
func New(s Settings) *Store {
	return &Store{settings: s, faults: fault.New(), rate: table.NewRate(s.LoadsPerSecond)}
}

// Fetch waits for the load time. Errors: ErrRate, or that of the context.
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

// ServeHTTP serves GET /v1/weights/{model} and the fault control.
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

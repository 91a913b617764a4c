// Package service emulates a plain HTTP service, such as an order desk, with a
// fixed number of workers.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/emulator/wire"
)

// ErrSettings is returned by New for settings that cannot work.
var ErrSettings = errors.New("service settings are not usable")

const (
	// UnitsPerSecond is the price of one second of slot time.
	UnitsPerSecond = 50
	maxBody        = 8 << 20
)

// Settings of a service.
type Settings struct {
	ID   string
	Name string
	// Slots is the number of requests that run at once.
	Slots int
	// WaitingRoom is the number of requests that may wait for a slot.
	WaitingRoom int
	// Duration of a request that does not state its own.
	Duration time.Duration
}

// Service is an http.Handler that emulates one server of a plain service. A
// request that has started runs to its end even when the client has gone.
type Service struct {
	settings Settings
	faults   *fault.Faults
	oracle   *oracle.Oracle
	slots    chan struct{}

	mu          sync.Mutex
	incarnation uint64
	waiting     int
	cut         chan struct{} // closed at a restart
	lastID      string
}

// New returns a service that records its executions in o.
func New(s Settings, o *oracle.Oracle) (*Service, error) {
	if s.ID == "" || s.Name == "" || s.Slots <= 0 || s.WaitingRoom < 0 {
		return nil, errors.Wrapf(ErrSettings, "service %q needs an id, a name and slots", s.ID)
	}
	o.SetSlots(s.ID, s.Slots)
	return &Service{
		settings: s, faults: fault.New(), oracle: o, incarnation: 1,
		slots: make(chan struct{}, s.Slots), cut: make(chan struct{}),
	}, nil
}

// Faults returns the faults of the service.
func (s *Service) Faults() *fault.Faults { return s.faults }

// Answer is the body of every answer.
type Answer struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Request is the caller's own id, from the directive of the request.
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// BodyHash is the SHA-256 hash of the request body.
	BodyHash string `json:"bodyHash"`
}

// ServeHTTP runs one request, or serves the fault control.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/control" {
		if s.faults.ServeControl(w, r) {
			s.restart()
		}
		return
	}
	id := r.Header.Get(wire.HeaderRequestID)
	w.Header().Set(wire.HeaderRequestID, s.answerID(id))
	if !s.faults.Gate(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		wire.Refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	d := wire.ParseDirective(r.URL.RawQuery)
	if d.Request == "" {
		d = wire.ParseDirective(string(body))
	}
	arrived := time.Now()
	if !s.acquire(r) {
		wire.Refuse(w, http.StatusTooManyRequests, "full", "the waiting room is full")
		return
	}
	complete := s.execute(r, id, d, arrived)
	if !complete || s.faults.TakeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	sum := sha256.Sum256(body)
	wire.WriteJSON(w, http.StatusOK, Answer{
		Service: s.settings.Name, Target: s.settings.ID, Request: d.Request,
		Method: r.Method, Path: r.URL.Path, BodyHash: hex.EncodeToString(sum[:]),
	})
}

func (s *Service) answerID(id string) string {
	foreign := s.faults.TakeForeignID()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastID
	s.lastID = id
	if !foreign {
		return id
	}
	if last == "" || last == id {
		return "foreign-" + id
	}
	return last
}

// acquire takes a slot. It reports false when the request is refused.
func (s *Service) acquire(r *http.Request) bool {
	if s.faults.RefuseAll() {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := s.waiting >= s.settings.WaitingRoom
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// execute runs a request in the acquired slot and reports whether it reached
// its end.
func (s *Service) execute(r *http.Request, id string, d wire.Directive, arrived time.Time) bool {
	defer func() { <-s.slots }()
	s.mu.Lock()
	cut, incarnation := s.cut, s.incarnation
	s.mu.Unlock()
	run := s.oracle.Begin(oracle.Execution{
		RequestID: id, CallerRequestID: d.Request, IdempotencyKey: r.Header.Get(wire.HeaderIdempotencyKey),
		Target: s.settings.ID, Pool: s.settings.Name, Account: r.Header.Get(wire.HeaderAccount), Incarnation: incarnation,
		Arrived: arrived,
	})
	duration := s.settings.Duration
	if d.Duration > 0 {
		duration = d.Duration
	}
	start := time.Now()
	t := time.NewTimer(time.Duration(float64(duration) * s.faults.Slowdown()))
	defer t.Stop()
	state := oracle.StateComplete
	select {
	case <-t.C:
	case <-cut:
		state = oracle.StateCut
	}
	end := time.Now()
	run.AddSpan(start, end, end.Sub(start).Seconds()*UnitsPerSecond)
	s.oracle.AddBusy(s.settings.ID, start, end, 1)
	run.End(state)
	return state == oracle.StateComplete
}

// restart cuts all running requests and starts a new incarnation.
func (s *Service) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
	s.incarnation++
}

// Package service emulates a plain HTTP service, such as an order service, that
// runs a fixed number of requests at once.
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

// ErrSettings is returned by New for invalid settings.
var ErrSettings = errors.New("invalid service settings")

const (
	// UnitsPerSecond is the number of units of service that one second in a slot
	// counts for.
	UnitsPerSecond = 50
	maxBodyBytes   = 8 << 20
)

// Settings configures a Service.
type Settings struct {
	ID   string
	Name string
	// Slots is the largest number of requests that run at once.
	Slots int
	// QueueLimit is the largest number of requests that wait for a slot.
	QueueLimit int
	// Duration is the slot time of a request whose directive sets none.
	Duration time.Duration
}

// Service is an http.Handler that emulates one server of a plain service. A
// request that has started runs to its end even if the client disconnects.
type Service struct {
	settings Settings
	faults   *fault.Faults
	oracle   *oracle.Oracle
	slots    chan struct{} // holds one element per occupied slot

	mu            sync.Mutex
	incarnation   uint64        // number of the current start of the server, from 1
	waiting       int           // number of requests that wait for a slot
	restarted     chan struct{} // closed and replaced at a restart, which aborts the running requests
	lastRequestID string
}

// New returns a service that records its executions in o.
func New(s Settings, o *oracle.Oracle) (*Service, error) {
	if s.ID == "" || s.Name == "" || s.Slots <= 0 || s.QueueLimit < 0 {
		return nil, errors.Wrapf(ErrSettings, "service %q needs an ID, a name, at least one slot and a queue limit that is not negative", s.ID)
	}
	o.SetSlots(s.ID, s.Slots)
	return &Service{
		settings: s, faults: fault.New(), oracle: o, incarnation: 1,
		slots: make(chan struct{}, s.Slots), restarted: make(chan struct{}),
	}, nil
}

// Faults returns the faults that tests inject into the service.
func (s *Service) Faults() *fault.Faults { return s.faults }

// Answer is the body of every successful response.
type Answer struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Request is the ID that the caller gave in the directive of the request.
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// BodyHash is the hexadecimal SHA-256 hash of the request body.
	BodyHash string `json:"bodyHash"`
}

// ServeHTTP runs one request, or serves /v1/control, which sets the faults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/control" {
		if s.faults.ServeControl(w, r) {
			s.restart()
		}
		return
	}
	id := r.Header.Get(wire.HeaderRequestID)
	w.Header().Set(wire.HeaderRequestID, s.responseID(id))
	if !s.faults.Gate(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		wire.Refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	d := wire.ParseDirective(r.URL.RawQuery)
	if d.Request == "" {
		d = wire.ParseDirective(string(body))
	}
	arrived := time.Now()
	if !s.acquireSlot(r) {
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

// responseID returns the request ID for the response: that of the request, or that
// of another request if the fault ForeignIDs asks for it.
func (s *Service) responseID(id string) string {
	useForeignID := s.faults.TakeForeignID()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastRequestID
	s.lastRequestID = id
	if !useForeignID {
		return id
	}
	if last == "" || last == id {
		return "foreign-" + id
	}
	return last
}

// acquireSlot takes a slot, waiting in the queue if necessary. It reports false if
// the request is refused.
func (s *Service) acquireSlot(r *http.Request) bool {
	if s.faults.RefuseAll() {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := s.waiting >= s.settings.QueueLimit
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

// execute runs a request in the acquired slot, releases the slot and reports
// whether the request completed before a restart.
func (s *Service) execute(r *http.Request, id string, d wire.Directive, arrived time.Time) bool {
	defer func() { <-s.slots }()
	s.mu.Lock()
	restarted, incarnation := s.restarted, s.incarnation
	s.mu.Unlock()
	record := s.oracle.Begin(oracle.Execution{
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
	case <-restarted:
		state = oracle.StateAborted
	}
	end := time.Now()
	record.AddSpan(start, end, end.Sub(start).Seconds()*UnitsPerSecond)
	s.oracle.AddBusy(s.settings.ID, start, end, 1)
	record.End(state)
	return state == oracle.StateComplete
}

// restart aborts all running requests and starts a new incarnation.
func (s *Service) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.restarted)
	s.restarted = make(chan struct{})
	s.incarnation++
}

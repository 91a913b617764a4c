// Package server emulates a target that speaks the platform's protocol. Its
// responses are determined by the request, it records the requests that it ran, and
// it injects the faults of real targets.
package server

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/platform/wire"
	"monsoondeck.example/sleeper"
)

// Registry is the table of the platform in which targets register.
type Registry interface {
	// Put writes an entry and returns its version.
	Put(table, key string, payload []byte) uint64
	// Delete removes an entry, if it exists.
	Delete(table, key string)
}

// Options configures a Server.
type Options struct {
	Name, Service, DataCentre string
	// Address is where the server listens. Advertised is the address that it
	// registers, which differs if a relay forwards to the server.
	Address, Advertised string
	// Slots is the largest number of requests that run at once.
	Slots int
	// Events is the number of events in a response; 0 sends one plain body.
	Events int
	// FirstByteDelay is the time to the first byte, EventInterval the time between events.
	FirstByteDelay, EventInterval time.Duration
	// Registry is where the server registers.
	Registry Registry
	// FaultFor, if not nil, returns the fault of requests with a path, FaultNone if they
	// have none.
	FaultFor func(path string) Fault
	// Crashing is called before a request with FaultCrash crashes the server.
	Crashing func()
}

// Run records one execution of a request, or of the rest of a resumed stream.
type Run struct {
	// Attempt is the attempt ID that the caller sent in the field wire.FieldAttempt.
	Attempt, Server, Instance, Service, Path string
	// Account is the client account that the router named. Key is the API key of the
	// caller, which the router must not forward.
	Account, Key string
	// After is the ID of the event after which a resumed stream continues; empty for
	// a new run.
	After          string
	Started, Ended time.Time
	// Complete is set if the whole response was written, Lost if the server crashed
	// before the run ended.
	Complete, Lost bool
	// Fault is the kind of fault of the run.
	Fault Kind
	// Version is that of the software that ran the request, Events the number of events that
	// were written.
	Version string
	Events  int
}

// Server is a target that can stop and start again at the same address.
type Server struct {
	options Options

	mutex    sync.Mutex
	starts   int       // number of starts so far
	instance string    // ID of the last start
	started  time.Time // of the instance, by the clock of the server
	draining bool      // the registry entry says that the server takes no new requests
	// clockAhead is how far the clock of the server is ahead of the real time.
	clockAhead time.Duration
	fault      Fault
	// version is that of the software since the last start, nextVersion from the next one on.
	version, nextVersion string
	active               int // number of running requests
	runs                 []*Run
	http                 *http.Server // nil while the server does not run
	listener             net.Listener // of http
	// openConnections are reset by a crash; nil while the server does not run.
	openConnections map[net.Conn]bool
}

// New returns a Server that is not started.
func New(o Options) *Server { return &Server{options: o} }

// Name returns the name of the server, which it keeps across starts.
func (s *Server) Name() string { return s.options.Name }

// Start starts a new instance of the server and registers it.
func (s *Server) Start() error {
	l, err := listen(s.options.Address)
	if err != nil {
		return errors.Wrapf(err, "start target %s", s.options.Name)
	}
	s.mutex.Lock()
	s.starts++
	s.instance = fmt.Sprintf("%s-%d", s.options.Name, s.starts)
	s.draining, s.started, s.version = false, time.Now().Add(s.clockAhead), s.nextVersion
	s.openConnections = map[net.Conn]bool{}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.trackConnection, ErrorLog: log.New(io.Discard, "", 0)}
	httpServer := s.http
	s.listener = l
	s.mutex.Unlock()
	go func() { _ = httpServer.Serve(l) }() // returns when Crash closes the server
	s.Register()
	return nil
}

// listen opens a listener at an address that may have been closed just now. A child
// process has a copy of every socket until it executes its program, so the address can
// stay in use for some milliseconds.
func listen(address string) (net.Listener, error) {
	for end := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryDelay) {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, err
		}
	}
}

const (
	listenTimeout    = 5 * time.Second
	listenRetryDelay = time.Millisecond
)

// trackConnection keeps openConnections up to date.
func (s *Server) trackConnection(c net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew:
		if s.openConnections == nil { // accepted during a crash
			_ = c.Close()
			return
		}
		s.openConnections[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.openConnections, c)
	}
}

// Register writes the registry entry of a running server, as a heartbeat does.
func (s *Server) Register() {
	s.mutex.Lock()
	state := wire.StateReady
	if s.draining {
		state = wire.StateDraining
	}
	id, running, started, version := s.instance, s.http != nil, s.started, s.version
	s.mutex.Unlock()
	if !running {
		return
	}
	payload, err := json.Marshal(wire.Target{
		Service: &s.options.Service, Address: &s.options.Advertised, DataCentre: s.options.DataCentre, Slots: s.options.Slots,
		State: &state, Born: started.UnixMilli(), Version: &version,
	})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	s.options.Registry.Put(wire.TargetsTable, id, payload)
}

// SetVersion sets the version of the software from the next start on.
func (s *Server) SetVersion(version string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nextVersion = version
}

// Drain registers the server as draining and returns its instance ID.
func (s *Server) Drain() string {
	s.mutex.Lock()
	s.draining = true
	id := s.instance
	s.mutex.Unlock()
	s.Register()
	return id
}

// Crash stops the server at once: its connections are reset, and its registry entry
// stays.
func (s *Server) Crash() {
	s.mutex.Lock()
	httpServer, listener, open := s.http, s.listener, s.openConnections
	s.http, s.openConnections = nil, nil
	for _, r := range s.runs {
		r.Lost = r.Lost || r.Ended.IsZero()
	}
	s.mutex.Unlock()
	if httpServer == nil {
		return
	}
	for c := range open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = listener.Close() // Serve may not have got it yet
	_ = httpServer.Close()
}

// DeregisterAndStop removes the registry entry and stops the server at once.
func (s *Server) DeregisterAndStop() {
	s.Deregister()
	s.Crash()
}

// Deregister removes the registry entry of the server, as the registry does when the
// heartbeats stop.
func (s *Server) Deregister() {
	s.options.Registry.Delete(wire.TargetsTable, s.InstanceID())
}

// InstanceID returns the instance ID, which is new at each start.
func (s *Server) InstanceID() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.instance
}

// Running reports whether the server is started.
func (s *Server) Running() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.http != nil
}

// SetClockOffset sets how far the clock of the server is ahead of the real time. It
// takes effect in the start time that the next instance registers.
func (s *Server) SetClockOffset(ahead time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.clockAhead = ahead
}

// SetFault replaces the injected fault.
func (s *Server) SetFault(f Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = f
}

// ActiveRequests returns the number of running requests.
func (s *Server) ActiveRequests() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.active
}

// Runs returns a copy of the recorded runs, in the order of their starts.
func (s *Server) Runs() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		all = append(all, *r)
	}
	return all
}

// beginRun records the start of a run. If it refuses the request, the run is nil and
// the reason is not empty.
func (s *Server) beginRun(r *http.Request) (*Run, Fault, string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := r.Header.Get(wire.FieldAttempt)
	f := s.drawFault(r)
	switch {
	case r.Header.Get(wire.FieldExpectTarget) != s.instance:
		return nil, f, reasonOtherInstance
	case s.active >= s.options.Slots || f.Kind == FaultBusy:
		return nil, f, reasonFull
	}
	s.active++
	run := &Run{
		Attempt: id, Server: s.options.Name, Instance: s.instance, Service: s.options.Service, Path: r.URL.Path,
		Account: r.Header.Get(wire.FieldTenant), Key: r.Header.Get(wire.FieldKey), After: r.Header.Get(wire.FieldLastEvent), Started: time.Now(), Fault: f.Kind, Version: s.version,
	}
	s.runs = append(s.runs, run)
	return run, f, ""
}

// countEvents records that a run has written n more events.
func (s *Server) countEvents(run *Run, n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	run.Events += n
}

// endRun records the end of a run.
func (s *Server) endRun(run *Run, complete bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
	run.Ended, run.Complete = time.Now(), complete
}

// Reasons for refusing a request, sent in the field wire.FieldNotRun.
const (
	reasonOtherInstance = "misdirected"
	reasonFull          = "full"
)

// serve runs one request from a router, with the injected fault.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.refuseEarly(w, r) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the caller has disconnected
	}
	run, fault, reason := s.beginRun(r)
	header := w.Header()
	header.Set(wire.FieldAttempt, r.Header.Get(wire.FieldAttempt))
	if run == nil {
		header.Set(wire.FieldNotRun, reason)
		w.WriteHeader(map[string]int{reasonOtherInstance: http.StatusMisdirectedRequest, reasonFull: http.StatusServiceUnavailable}[reason])
		return
	}
	complete := false
	defer func() { s.endRun(run, complete) }()
	if fault.Kind == FaultHang {
		<-r.Context().Done()
		return
	}
	if !sleeper.Sleep(r.Context(), time.Duration(float64(s.options.FirstByteDelay)*cmp.Or(fault.Factor, 1))) {
		return
	}
	header.Set(wire.FieldSignature, run.Instance+"."+run.Attempt)
	complete = s.respond(w, r, run, fault)
}

// RunsByAttempt returns the runs of several servers by attempt ID, for each attempt in
// the order of their starts.
func RunsByAttempt(servers []*Server) map[string][]Run {
	all := map[string][]Run{}
	for _, s := range servers {
		for _, r := range s.Runs() {
			all[r.Attempt] = append(all[r.Attempt], r)
		}
	}
	for _, runs := range all {
		slices.SortFunc(runs, func(a, b Run) int { return a.Started.Compare(b.Started) })
	}
	return all
}

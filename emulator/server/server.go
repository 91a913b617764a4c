// Package server is a stand-in of a target on the platform's wire. Its answers
// follow from the request, it records what it ran, and it can fail in the ways
// of real targets.
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
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/platform/wire"
	"monsoondeck.example/sleeper"
)

// Registry holds the entries of targets.
type Registry interface {
	Put(table, key string, payload []byte) uint64
	Delete(table, key string)
}

// Options describe a Server.
type Options struct {
	Name, Service, DataCentre string
	// Address is where the server listens, Advertised what it enters into the
	// registry: a relay may lie between.
	Address, Advertised string
	Slots               int
	// Events is the number of events in an answer; 0 answers with one body.
	Events int
	// Work is the time to the first byte, Pause that between events.
	Work, Pause time.Duration
	Registry    Registry
}

// Run is one run of a request, or the start of one.
type Run struct {
	Attempt, Server, Instance, Service, Path string
	// Account is the client account that the router named, Key the key that it must
	// not pass on.
	Account, Key string
	// After is the event after which a resumed stream goes on; empty for a new run.
	After          string
	Started, Ended time.Time
	// Complete is set if the whole answer was written, Lost if the server ended first.
	Complete, Lost bool
}

// Server is a target that can end and start again at its address.
type Server struct {
	options Options

	mutex    sync.Mutex
	starts   int
	instance string
	born     time.Time
	draining bool
	// skew is how far the clock of the server is ahead.
	skew   time.Duration
	fault  Fault
	active int
	runs   []*Run
	http   *http.Server
	// connections are those that are open, for a crash.
	connections map[net.Conn]bool
}

// New returns a Server that does not run yet.
func New(o Options) *Server { return &Server{options: o} }

// Name returns the name of the server, which it keeps across starts.
func (s *Server) Name() string { return s.options.Name }

// Start begins a new incarnation and enters it into the registry.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return errors.Wrapf(err, "start target %s", s.options.Name)
	}
	s.mutex.Lock()
	s.starts++
	s.instance = fmt.Sprintf("%s-%d", s.options.Name, s.starts)
	s.draining, s.born = false, time.Now().Add(s.skew)
	s.connections = map[net.Conn]bool{}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.track, ErrorLog: log.New(io.Discard, "", 0)}
	h := s.http
	s.mutex.Unlock()
	go func() { _ = h.Serve(l) }() // ends with Crash or Stop
	s.Register()
	return nil
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew:
		if s.connections == nil { // accepted while the server crashed
			_ = c.Close()
			return
		}
		s.connections[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, c)
	}
}

// Register writes the entry of the server, as its heartbeat does.
func (s *Server) Register() {
	s.mutex.Lock()
	state := wire.StateReady
	if s.draining {
		state = wire.StateDraining
	}
	id, running, born := s.instance, s.http != nil, s.born
	s.mutex.Unlock()
	if !running {
		return
	}
	payload, err := json.Marshal(wire.Target{
		Service: &s.options.Service, Address: &s.options.Advertised, DataCentre: s.options.DataCentre, Slots: s.options.Slots,
		State: &state, Born: born.UnixMilli(),
	})
	if err != nil {
		panic(err) // plain fields can always be encoded
	}
	s.options.Registry.Put(wire.TargetsTable, id, payload)
}

// Drain announces that the server will leave and returns its instance.
func (s *Server) Drain() string {
	s.mutex.Lock()
	s.draining = true
	id := s.instance
	s.mutex.Unlock()
	s.Register()
	return id
}

// Crash ends the server at once: its connections are reset, and its entry stays.
func (s *Server) Crash() {
	s.mutex.Lock()
	h, open := s.http, s.connections
	s.http, s.connections = nil, nil
	for _, r := range s.runs {
		r.Lost = r.Lost || r.Ended.IsZero()
	}
	s.mutex.Unlock()
	if h == nil {
		return
	}
	for c := range open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = h.Close()
}

// Leave removes the entry and ends the server.
func (s *Server) Leave() {
	s.Forget()
	s.Crash()
}

// Forget removes the entry of the server, as the registry does after a silence.
func (s *Server) Forget() {
	s.options.Registry.Delete(wire.TargetsTable, s.Instance())
}

// Instance returns the id of the last start.
func (s *Server) Instance() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.instance
}

// Running reports whether the server runs.
func (s *Server) Running() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.http != nil
}

// SetClock sets how far the clock of the server is ahead; it shows at the next
// start.
func (s *Server) SetClock(ahead time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.skew = ahead
}

// SetFault replaces the fault.
func (s *Server) SetFault(f Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = f
}

// Active returns the number of requests that run.
func (s *Server) Active() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.active
}

// Runs returns the runs so far.
func (s *Server) Runs() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		all = append(all, *r)
	}
	return all
}

// begin notes the start of a run; a reason other than empty refuses it.
func (s *Server) begin(r *http.Request) (*Run, Fault, string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := r.Header.Get(wire.FieldAttempt)
	f := s.fault.draw()
	switch {
	case r.Header.Get(wire.FieldExpect) != s.instance:
		return nil, f, reasonOther
	case s.active >= s.options.Slots || f.Kind == FaultBusy:
		return nil, f, reasonFull
	}
	s.active++
	run := &Run{
		Attempt: id, Server: s.options.Name, Instance: s.instance, Service: s.options.Service, Path: r.URL.Path,
		Account: r.Header.Get(wire.FieldTenant), Key: r.Header.Get(wire.FieldKey), After: r.Header.Get(wire.FieldLastEvent), Started: time.Now(),
	}
	s.runs = append(s.runs, run)
	return run, f, ""
}

func (s *Server) end(run *Run, complete bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
	run.Ended, run.Complete = time.Now(), complete
}

// Reasons not to run a request.
const (
	reasonOther = "misdirected"
	reasonFull  = "full"
)

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.early(w, r) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the caller has gone
	}
	run, fault, reason := s.begin(r)
	h := w.Header()
	h.Set(wire.FieldAttempt, r.Header.Get(wire.FieldAttempt))
	if run == nil {
		h.Set(wire.FieldNotRun, reason)
		w.WriteHeader(map[string]int{reasonOther: http.StatusMisdirectedRequest, reasonFull: http.StatusServiceUnavailable}[reason])
		return
	}
	complete := false
	defer func() { s.end(run, complete) }()
	if fault.Kind == FaultHang {
		<-r.Context().Done()
		return
	}
	if !sleeper.Sleep(r.Context(), time.Duration(float64(s.options.Work)*cmp.Or(fault.Factor, 1))) {
		return
	}
	h.Set(wire.FieldSignature, run.Instance+"."+run.Attempt)
	complete = s.answer(w, r, run, fault)
}

// answer writes the answer and reports whether it is complete.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, run *Run, fault Fault) bool {
	switch fault.Kind {
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
		return false
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultForeign:
		w.Header().Set(wire.FieldAttempt, "another-"+run.Attempt)
	case FaultGarbage, FaultExtra, FaultUnframed:
		return s.spoil(w, run, fault.Kind)
	}
	pieces := s.pieces(run)
	if s.options.Events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	control := http.NewResponseController(w)
	for i, piece := range pieces {
		if i > 0 && !sleeper.Sleep(r.Context(), time.Duration(float64(s.options.Pause)*cmp.Or(fault.Factor, 1))) {
			// The end of the handler would look like that of the answer.
			panic(http.ErrAbortHandler)
		}
		if fault.Kind == FaultTruncate && i == len(pieces)/2 {
			_, _ = io.WriteString(w, piece[:len(piece)/2]) // breaks off anyway
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, piece); err != nil {
			return false
		}
		_ = control.Flush() // a broken connection shows at the next write
	}
	return r.Context().Err() == nil
}

// pieces returns the part of the answer that a run makes.
func (s *Server) pieces(run *Run) []string {
	pieces := Pieces(run.Attempt, s.options.Events)
	if after, err := strconv.Atoi(run.After); err == nil {
		return pieces[min(after+1, len(pieces)):]
	}
	return pieces
}

// Pieces returns the answer to an attempt: its events, or one body if events is 0.
func Pieces(attempt string, events int) []string {
	if events == 0 {
		return []string{"answer to " + attempt + "\n"}
	}
	var pieces []string
	for i := range events {
		pieces = append(pieces, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, attempt, i))
	}
	return pieces
}

// Merge returns the runs of several servers by attempt, in the order of their
// starts.
func Merge(servers []*Server) map[string][]Run {
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

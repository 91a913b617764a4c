package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the heartbeat-interval-ms of the settings.
const heartbeat = 1200 * time.Millisecond

// ServerOptions describes a server.
type ServerOptions struct {
	ID, Service, Zone string
	Slots             int
	// Work is the time to the answer or to the first event.
	Work time.Duration
	// Events is the number of events of a stream, one each Pause; 0 answers with one body.
	Events int
	Pause  time.Duration
}

// Run is one request that a server ran.
type Run struct {
	Attempt, Server, Path, Tenant string
	Bytes                         int64
	Started                       time.Time
	// Complete is set once the whole answer has been written.
	Complete bool
}

// Server is a sound server: it registers, runs up to Slots requests at once and records
// what it ran.
type Server struct {
	options ServerOptions
	address string
	store   *Store
	born    int64

	mutex  sync.Mutex
	active int
	runs   []*Run
	// trouble, unless nil, may answer a request in place of the sound answer. It reports
	// whether it did.
	trouble func(w http.ResponseWriter, r *http.Request, id string) bool
}

// SetTrouble makes the server answer with f, where f does so; nil ends the trouble.
func (s *Server) SetTrouble(f func(w http.ResponseWriter, r *http.Request, id string) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.trouble = f
}

// StartServer starts a server and registers it.
func StartServer(o ServerOptions, store *Store) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, address: l.Addr().String(), store: store, born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(l, s) }()
	go s.beat()
	return s, nil
}

func (s *Server) beat() {
	for n := 1; ; n++ {
		s.store.Put("servers", s.options.ID, map[string]any{
			"service": s.options.Service, "address": s.address, "availability-zone": s.options.Zone, "version": "v1",
			"capacity-slots": s.options.Slots, "lifecycle-state": "ready", "cold-remaining-ms": 0, "sequence-number": n, "born": s.born,
		})
		time.Sleep(heartbeat)
	}
}

// Runs returns a copy of the runs so far.
func (s *Server) Runs() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]Run, len(s.runs))
	for i, r := range s.runs {
		all[i] = *r
	}
	return all
}

// ServeHTTP runs one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	if r.Header.Get("X-Expect-Instance") != s.options.ID {
		h.Set("X-Instance-Id", s.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	if s.active >= s.options.Slots {
		s.mutex.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.active++
	run := &Run{Attempt: id, Server: s.options.ID, Path: r.URL.Path, Tenant: r.Header.Get("X-Tenant-Name"), Bytes: n, Started: time.Now()}
	s.runs = append(s.runs, run)
	s.mutex.Unlock()
	complete := false
	defer func() { // also when answer aborts the connection
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.active--
		run.Complete = complete
	}()
	s.mutex.Lock()
	trouble := s.trouble
	s.mutex.Unlock()
	if trouble != nil && trouble(w, r, id) {
		return
	}
	complete = s.answer(w, r, id)
}

// answer writes the answer. It stops when the connection closes.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, id string) bool {
	sleep := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-r.Context().Done():
			return false
		}
	}
	if !sleep(s.options.Work) {
		return false
	}
	h := w.Header()
	h.Set("X-Server-Signature", s.options.ID+"."+id)
	if s.options.Events == 0 {
		_, err := io.WriteString(w, Body(id))
		return err == nil
	}
	h.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := range s.options.Events {
		if i > 0 && !sleep(s.options.Pause) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i+1, id, i+1); err != nil {
			return false
		}
		_ = control.Flush()
	}
	return true
}

// Body is the body of a plain answer to an attempt.
func Body(id string) string { return "answer to " + id + "\n" }

// Package harness has stand-ins for the surroundings of the daemon: the platform's store,
// the servers, the supervisor of the processes and the clients. They speak what
// PROTOCOL.md says, on loopback addresses.
package harness

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer, as on the sheet.
const storeLatency = 4 * time.Millisecond

// Row is one row of the store.
type Row struct {
	Table   string `json:"table-name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Payload string `json:"payload,omitempty"`
	Version uint64 `json:"row-version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// Store is a stand-in for the platform's metadata store that keeps everything in memory
// and its whole history.
type Store struct {
	mutex   sync.Mutex
	version uint64
	rows    map[rowID]Row
	changed chan struct{}
	start   time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowID]Row{}, changed: make(chan struct{}), start: time.Now()}
}

// Put writes a value as JSON into the empty part of a table, as the operator and the
// servers do.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.rows[rowID{table, "", key}] = Row{Table: table, Key: key, Payload: base64.StdEncoding.EncodeToString(data), Version: s.version}
	s.notify()
}

// Delete removes a row from the empty part of a table.
func (s *Store) Delete(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.rows[rowID{table, "", key}] = Row{Table: table, Key: key, Version: s.version, Deleted: true}
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) now() int64 { return time.Since(s.start).Milliseconds() }

// ServeHTTP serves the calls of the daemons.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/rows-get":
		s.serveGet(w, r)
	case "/rows-feed":
		s.serveFeed(w, r)
	case "/rows-tx":
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mutex.Lock()
	version := s.version
	rows := []Row{}
	for id, row := range s.rows {
		if id.table == q.Get("table-name") && id.part == q.Get("part") && !row.Deleted && id.key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	s.mutex.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	reply(w, map[string]any{"rows": rows, "has-more": false, "row-version": version, "current-time-ms": s.now()})
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		version, changed := s.version, s.changed
		rows := []Row{}
		for id, row := range s.rows {
			if id.table == q.Get("table-name") && row.Version > after {
				rows = append(rows, row)
			}
		}
		s.mutex.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
		timedOut := false
		if len(rows) == 0 {
			select {
			case <-changed:
				continue
			case <-end:
				timedOut = true
			case <-r.Context().Done():
				return
			}
		}
		if len(rows) > 0 || timedOut {
			reply(w, map[string]any{"rows": rows, "row-version": version, "current-time-ms": s.now()})
			return
		}
	}
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition, Write, Delete []Row
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range t.Precondition {
		row := s.rows[rowID{c.Table, c.Part, c.Key}]
		if row.Deleted {
			row.Version = 0
		}
		if row.Version != c.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			reply(w, map[string]any{"rows": []Row{row}, "row-version": s.version, "current-time-ms": s.now()})
			return
		}
	}
	for _, c := range append(t.Write, t.Delete...) {
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, row := range t.Write {
		row.Version = s.version
		s.rows[rowID{row.Table, row.Part, row.Key}] = row
	}
	for _, row := range t.Delete {
		s.rows[rowID{row.Table, row.Part, row.Key}] = Row{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Deleted: true}
	}
	s.notify()
	reply(w, map[string]any{"row-version": s.version, "current-time-ms": s.now()})
}

func reply(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

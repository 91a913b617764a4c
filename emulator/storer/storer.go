// Package storer is a stand-in of the platform's store. It speaks the platform's
// wire and can be slow, away, forgetful, or lose its answers.
package storer

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoondeck.example/platform/wire"
	"monsoondeck.example/sleeper"
)

// Fault is what the store does instead of answering. The zero value is a sound
// store.
type Fault struct {
	// Status answers every call with a status and does nothing; 0 does not.
	Status int
	// Delay passes before a call is handled.
	Delay time.Duration
	// Silent leaves calls without an answer and does nothing.
	Silent bool
	// LoseAnswers applies writes and then resets the connection.
	LoseAnswers bool
}

// maxWait is the longest time that a call for changes is held: that of the
// platform.
const maxWait = 30 * time.Second

// defaultPage is the number of rows in one answer of the platform.
const defaultPage = 500

// Store is a store. Use New.
type Store struct {
	// Translate changes rows as they are read; nil does not.
	Translate func(wire.Row) wire.Row
	// Page is the number of rows in one answer.
	Page int

	mutex   sync.Mutex
	version uint64
	rows    map[string]wire.Row
	// gone holds the deleted rows for calls for changes.
	gone map[string]wire.Row
	// oldest is the version from which changes are known.
	oldest uint64
	fault  Fault
	// changed is closed at the next change of rows or of the fault.
	changed chan struct{}
	calls   map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{Page: defaultPage, rows: map[string]wire.Row{}, gone: map[string]wire.Row{}, changed: make(chan struct{}), calls: map[string]int{}}
}

func key(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// Put writes a row into the empty part of a table.
func (s *Store) Put(table, name string, payload []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.putLocked(wire.Put{Table: table, Key: name, Payload: payload})
	s.notifyLocked()
	return s.version
}

// Delete removes a row from the empty part of a table.
func (s *Store) Delete(table, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.deleteLocked(wire.Key{Table: table, Key: name})
	s.notifyLocked()
}

// Keys returns the keys in the empty part of a table, sorted.
func (s *Store) Keys(table string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for _, r := range s.rows {
		if r.Table == table && r.Part == "" {
			keys = append(keys, r.Key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Row returns the row in the empty part of a table; false if there is none.
func (s *Store) Row(table, name string) (wire.Row, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r, ok := s.rows[key(table, "", name)]
	return r, ok
}

// Forget drops the history, so that calls for earlier changes are told to read
// the whole.
func (s *Store) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.oldest = s.version
	clear(s.gone)
	s.notifyLocked()
}

// SetFault replaces the fault. Calls that are held are not answered by a store
// that was away.
func (s *Store) SetFault(f Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = f
}

// Calls returns the numbers of calls by path and table, such as that of the reads of the targets.
func (s *Store) Calls() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.calls)
}

func (s *Store) putLocked(p wire.Put) {
	k := key(p.Table, p.Part, p.Key)
	s.rows[k] = wire.Row{Table: p.Table, Part: p.Part, Key: p.Key, Payload: p.Payload, Version: s.version}
	delete(s.gone, k)
}

func (s *Store) deleteLocked(d wire.Key) {
	k := key(d.Table, d.Part, d.Key)
	if _, ok := s.rows[k]; ok {
		delete(s.rows, k)
		s.gone[k] = wire.Row{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.version, Deleted: true}
	}
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls[strings.TrimSpace(r.URL.Path+" "+r.URL.Query().Get(wire.QueryTable))]++
	f := s.fault
	s.mutex.Unlock()
	if f.Delay > 0 && !sleeper.Sleep(r.Context(), f.Delay) {
		return
	}
	if f.Silent {
		<-r.Context().Done()
		return
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		return
	}
	switch r.URL.Path {
	case wire.CallRead:
		s.get(w, r)
	case wire.CallFeed:
		s.feed(w, r)
	case wire.CallTransact:
		s.transact(w, r, f.LoseAnswers)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mutex.Lock()
	page := wire.Rows{Rows: []wire.Row{}, Version: s.version}
	for _, row := range s.rows {
		if row.Table == query.Get(wire.QueryTable) && row.Part == query.Get(wire.QueryPart) && row.Key >= query.Get(wire.QueryFrom) {
			page.Rows = append(page.Rows, row)
		}
	}
	s.mutex.Unlock()
	slices.SortFunc(page.Rows, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > s.Page {
		page.Rows, page.More = page.Rows[:s.Page], true
	}
	s.answer(w, page)
}

// feed answers when there is a change, or when the time is over.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(wire.QueryAfter), 10, 64)
	ms, errWait := strconv.ParseInt(query.Get(wire.QueryWait), 10, 64)
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	over := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer over.Stop()
	for {
		s.mutex.Lock()
		page, known, changed := s.changesLocked(query.Get(wire.QueryTable), after), after >= s.oldest, s.changed
		s.mutex.Unlock()
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(page.Rows) > 0 {
			s.answer(w, page)
			return
		}
		select {
		case <-changed:
		case <-over.C:
			s.answer(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) changesLocked(table string, after uint64) wire.Rows {
	page := wire.Rows{Rows: []wire.Row{}, Version: s.version}
	for _, rows := range []map[string]wire.Row{s.rows, s.gone} {
		for _, row := range rows {
			if row.Table == table && row.Version > after {
				page.Rows = append(page.Rows, row)
			}
		}
	}
	slices.SortFunc(page.Rows, func(a, b wire.Row) int { return int(a.Version) - int(b.Version) })
	return page
}

// transact applies a transaction as a whole or not at all.
func (s *Store) transact(w http.ResponseWriter, r *http.Request, lose bool) {
	var t wire.Transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	for _, c := range t.Conditions {
		if s.rows[key(c.Table, c.Part, c.Key)].Version != c.Version {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			s.answer(w, wire.Rows{Rows: []wire.Row{}})
			return
		}
	}
	s.version++
	for _, p := range t.Writes {
		s.putLocked(p)
	}
	for _, d := range t.Deletes {
		s.deleteLocked(d)
	}
	applied := wire.Applied{Version: s.version, TimeMs: uint64(time.Now().UnixMilli())}
	s.notifyLocked()
	s.mutex.Unlock()
	if lose {
		panic(http.ErrAbortHandler) // resets the connection
	}
	s.answer(w, applied)
}

func (s *Store) answer(w io.Writer, v any) {
	if page, ok := v.(wire.Rows); ok && s.Translate != nil {
		for i, r := range page.Rows {
			page.Rows[i] = s.Translate(r)
		}
	}
	_ = json.NewEncoder(w).Encode(v) // the caller sees a cut connection
}

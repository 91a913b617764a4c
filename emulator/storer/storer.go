// Package storer emulates the platform's store. It speaks the protocol of the
// platform and injects faults: delays, outages, a lost history of changes, lost
// responses, and a state that is restored from a copy.
package storer

import (
	"bytes"
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

// Fault is a fault that the store injects into every call. The zero value is no
// fault.
type Fault struct {
	// Status is the HTTP status of the response to every call, which then has no
	// effect; 0 disables this.
	Status int
	// Delay is the time that passes before a call is handled.
	Delay time.Duration
	// Silent leaves every call without a response and without effect.
	Silent bool
	// LoseAnswers applies writes and then breaks the connection instead of responding.
	LoseAnswers bool
}

// maxWait is the longest time that a call for changes waits for one, as on the
// platform.
const maxWait = 30 * time.Second

// defaultPageRows is the largest number of rows in one response, as on the platform.
const defaultPageRows = 500

// Store is an http.Handler that emulates the platform's store. Use New to create one.
type Store struct {
	// Translate, if not nil, is applied to every row in a response.
	Translate func(wire.Row) wire.Row
	// PageRows is the largest number of rows in the response to one read.
	PageRows int

	mutex sync.Mutex
	// era increases by one with each call of Restore.
	era     uint64
	version uint64              // increases by one at every change, until Restore
	rows    map[string]wire.Row // by rowKey
	// deleted holds, by rowKey, the deleted rows that calls for changes report.
	deleted map[string]wire.Row
	// historyStart is the version from which all changes are known.
	historyStart uint64
	fault        Fault
	// changed is closed and replaced at every change of rows and by DropHistory.
	changed chan struct{}
	calls   map[string]int // by path and table, as returned by Calls
}

// New returns an empty store.
func New() *Store {
	return &Store{era: 1, PageRows: defaultPageRows, rows: map[string]wire.Row{}, deleted: map[string]wire.Row{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// rowKey returns the key of a row in Store.rows and Store.deleted.
func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// Put writes a row into the empty part of a table and returns the new version of the
// store.
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

// Row returns a row in the empty part of a table and whether it exists.
func (s *Store) Row(table, name string) (wire.Row, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r, ok := s.rows[rowKey(table, "", name)]
	return r, ok
}

// DropHistory drops the history of changes: calls for changes after an earlier version
// get the status 410 Gone, which tells the caller to read the whole table.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.historyStart = s.version
	clear(s.deleted)
	s.notifyLocked()
}

// Copy is a copy of the rows of a store.
type Copy struct {
	version       uint64
	rows, deleted map[string]wire.Row
}

// Copy returns a copy of the rows as they are now.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Copy{version: s.version, rows: maps.Clone(s.rows), deleted: maps.Clone(s.deleted)}
}

// Restore replaces the rows by those of a copy, so that versions are given out again. What
// was written since to the tables in rewritten is then written again. Calls that wait for
// a change get no response, like those on a connection that has gone silent.
func (s *Store) Restore(c Copy, rewritten ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lost := s.rows
	s.era++
	s.version, s.rows, s.deleted = c.version, maps.Clone(c.rows), maps.Clone(c.deleted)
	for k, row := range lost {
		if slices.Contains(rewritten, row.Table) && !bytes.Equal(s.rows[k].Payload, row.Payload) {
			s.version++
			s.putLocked(wire.Put{Table: row.Table, Part: row.Part, Key: row.Key, Payload: row.Payload})
		}
	}
	for k, row := range c.rows {
		if _, ok := lost[k]; !ok && slices.Contains(rewritten, row.Table) {
			s.version++
			s.deleteLocked(wire.Key{Table: row.Table, Part: row.Part, Key: row.Key})
		}
	}
	s.notifyLocked()
}

// SetFault replaces the injected fault. Calls that have begun are not affected.
func (s *Store) SetFault(f Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = f
}

// Calls returns the number of calls by path and table, which are separated by a
// space.
func (s *Store) Calls() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.calls)
}

// putLocked writes a row at the current version. The caller holds s.mutex, as for all
// methods whose names end in Locked.
func (s *Store) putLocked(p wire.Put) {
	k := rowKey(p.Table, p.Part, p.Key)
	s.rows[k] = wire.Row{Table: p.Table, Part: p.Part, Key: p.Key, Payload: p.Payload, Version: s.version}
	delete(s.deleted, k)
}

// deleteLocked deletes a row, if it exists, at the current version.
func (s *Store) deleteLocked(d wire.Key) {
	k := rowKey(d.Table, d.Part, d.Key)
	if _, ok := s.rows[k]; ok {
		delete(s.rows, k)
		s.deleted[k] = wire.Row{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.version, Deleted: true}
	}
}

// notifyLocked wakes the calls that wait for a change.
func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP counts a call and serves it, unless the injected fault prevents that.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls[strings.TrimSpace(r.URL.Path+" "+r.URL.Query().Get(wire.QueryTable))]++
	f, era := s.fault, s.era
	s.mutex.Unlock()
	w.Header().Set(wire.FieldEra, strconv.FormatUint(era, 10))
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
	case wire.PathRead:
		s.serveRead(w, r)
	case wire.PathFeed:
		s.serveChanges(w, r, era)
	case wire.PathTransact:
		s.serveTransaction(w, r, f.LoseAnswers)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// storeNow returns the time of the store's clock in milliseconds.
func storeNow() *float64 {
	ms := float64(time.Now().UnixMilli())
	return &ms
}

// serveRead returns the first page of the rows of a part of a table from a key on.
func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mutex.Lock()
	page := wire.Rows{Rows: []wire.Row{}, Version: s.version, Now: storeNow()}
	for _, row := range s.rows {
		if row.Table == query.Get(wire.QueryTable) && row.Part == query.Get(wire.QueryPart) && row.Key >= query.Get(wire.QueryFrom) {
			page.Rows = append(page.Rows, row)
		}
	}
	s.mutex.Unlock()
	slices.SortFunc(page.Rows, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > s.PageRows {
		page.Rows, page.More = page.Rows[:s.PageRows], true
	}
	s.writeResponse(w, page)
}

// serveChanges responds when there is a change after the given version, or when the
// requested time has passed. era is that at the start of the call.
func (s *Store) serveChanges(w http.ResponseWriter, r *http.Request, era uint64) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(wire.QueryAfter), 10, 64)
	ms, errWait := strconv.ParseInt(query.Get(wire.QueryWait), 10, 64)
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer timeout.Stop()
	for {
		s.mutex.Lock()
		page, changed := s.changesLocked(query.Get(wire.QueryTable), after), s.changed
		known, restored := after >= s.historyStart && after <= s.version, s.era != era
		s.mutex.Unlock()
		if restored {
			<-r.Context().Done()
			return
		}
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(page.Rows) > 0 {
			s.writeResponse(w, page)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			s.writeResponse(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesLocked returns the rows of a table that were written or deleted after a
// version.
func (s *Store) changesLocked(table string, after uint64) wire.Rows {
	page := wire.Rows{Rows: []wire.Row{}, Version: s.version, Now: storeNow()}
	for _, rows := range []map[string]wire.Row{s.rows, s.deleted} {
		for _, row := range rows {
			if row.Table == table && row.Version > after {
				page.Rows = append(page.Rows, row)
			}
		}
	}
	slices.SortFunc(page.Rows, func(a, b wire.Row) int { return int(a.Version) - int(b.Version) })
	return page
}

// serveTransaction applies a transaction completely or not at all. If loseAnswer is
// set, it applies the transaction and breaks the connection instead of responding.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request, loseAnswer bool) {
	var t wire.Transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	for _, c := range t.Conditions {
		if s.rows[rowKey(c.Table, c.Part, c.Key)].Version != c.Version {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			s.writeResponse(w, wire.Rows{Rows: []wire.Row{}})
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
	if loseAnswer {
		panic(http.ErrAbortHandler) // breaks the connection
	}
	s.writeResponse(w, applied)
}

// writeResponse encodes a response, with its rows translated.
func (s *Store) writeResponse(w io.Writer, v any) {
	if page, ok := v.(wire.Rows); ok && s.Translate != nil {
		for i, r := range page.Rows {
			page.Rows[i] = s.Translate(r)
		}
	}
	_ = json.NewEncoder(w).Encode(v) // on failure the caller sees a broken connection
}

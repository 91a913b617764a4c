package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/emulator/wire"
)

// maxEvents is the capacity of the event log, which drops the oldest events.
const maxEvents = 4096

// Kinds of cache events.
const (
	EventStored  = "stored"
	EventRemoved = "removed"
)

// Event is one change of the content of the prefix cache.
type Event struct {
	// Sequence increases by one per change; a gap means that events were dropped.
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	// Block is the hash of the prompt up to the end of the block. In JSON it is a
	// decimal string, because JSON numbers lose precision above 2^53.
	Block    uint64 `json:"block,string"`
	recorded time.Time
}

// Events is the response body of GET /v1/cache/events.
type Events struct {
	Incarnation uint64  `json:"incarnation"`
	BlockTokens int     `json:"blockTokens"`
	Events      []Event `json:"events"`
}

// Blocks is the body of an export or import of the cache, least recently used
// block first.
type Blocks struct {
	Blocks []Block `json:"blocks"`
}

// Block is one cached block, named by the hash of the prompt up to its end.
type Block struct {
	Hash uint64 `json:"hash,string"`
}

// eventLog holds the most recent cache events. It drops every n-th one, where n is
// dropEvery; 0 drops none.
type eventLog struct {
	events    []Event
	sequence  uint64
	dropEvery int
}

func (l *eventLog) add(kind string, block uint64, now time.Time) {
	l.sequence++
	if l.dropEvery > 0 && l.sequence%uint64(l.dropEvery) == 0 {
		return
	}
	l.events = append(l.events, Event{Sequence: l.sequence, Kind: kind, Block: block, recorded: now})
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents:]
	}
}

// after returns the events after a sequence number that are at least lag old.
func (l *eventLog) after(sequence uint64, now time.Time, lag time.Duration) []Event {
	out := []Event{}
	for _, x := range l.events {
		if x.Sequence > sequence && now.Sub(x.recorded) >= lag {
			out = append(out, x)
		}
	}
	return out
}

// serveEvents serves GET /v1/cache/events.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		wire.WriteError(w, http.StatusBadRequest, "after", "after is not a number")
		return
	}
	e.mu.Lock()
	x := Events{Incarnation: e.incarnation, BlockTokens: blockTokens, Events: e.cache.log.after(after, time.Now(), e.settings.CacheEventLag)}
	e.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, x)
}

// serveExport serves GET /v1/cache/blocks.
func (e *Engine) serveExport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	b := Blocks{Blocks: e.cache.export()}
	e.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, b)
}

// serveImport serves POST /v1/cache/blocks.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var b Blocks
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b); err != nil {
		wire.WriteError(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	e.mu.Lock()
	for _, x := range b.Blocks {
		e.cache.store(x.Hash)
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

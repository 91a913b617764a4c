package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/emulator/wire"
)

// maxEvents bounds the event log; older events are lost.
const maxEvents = 4096

// Kinds of cache events.
const (
	EventStored  = "stored"
	EventRemoved = "removed"
)

// Event is one change of the prefix cache.
type Event struct {
	// Sequence increases by one per change; a gap means lost events.
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	// Block is the chained hash of a block, in decimal because JSON numbers lose
	// precision above 2^53.
	Block uint64 `json:"block,string"`
	at    time.Time
}

// Events is the answer of GET /v1/cache/events.
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

// Block is one cached block of KV state.
type Block struct {
	Hash uint64 `json:"hash,string"`
}

// eventLog keeps cache events; it drops every gap-th one.
type eventLog struct {
	events   []Event
	sequence uint64
	gap      int
}

func (l *eventLog) add(kind string, block uint64, now time.Time) {
	l.sequence++
	if l.gap > 0 && l.sequence%uint64(l.gap) == 0 {
		return
	}
	l.events = append(l.events, Event{Sequence: l.sequence, Kind: kind, Block: block, at: now})
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents:]
	}
}

// after returns the events after a sequence number that are older than the lag.
func (l *eventLog) after(sequence uint64, now time.Time, lag time.Duration) []Event {
	out := []Event{}
	for _, x := range l.events {
		if x.Sequence > sequence && now.Sub(x.at) >= lag {
			out = append(out, x)
		}
	}
	return out
}

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

func (e *Engine) serveExport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	b := Blocks{Blocks: e.cache.export()}
	e.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, b)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var b Blocks
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&b); err != nil {
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

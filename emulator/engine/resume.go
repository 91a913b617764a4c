package engine

import (
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/emulator/wire"
)

// keepResumable makes a started generation resumable for the resume window.
func (e *Engine) keepResumable(g *generation, now time.Time) {
	if e.settings.ResumeWindow > 0 && g.record != nil {
		g.resumableUntil = now.Add(e.settings.ResumeWindow)
		e.resumable[g.id] = g
	}
}

// dropExpired forgets the generations whose resume window has ended.
func (e *Engine) dropExpired(now time.Time) {
	for id, g := range e.resumable {
		if now.After(g.resumableUntil) {
			delete(e.resumable, id)
		}
	}
}

// serveResume continues the stream of an earlier request from an offset in
// tokens. It refuses if the engine no longer knows that request.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, id string) {
	offset, err := strconv.Atoi(r.Header.Get(wire.HeaderResumeOffset))
	if err != nil || offset < 0 {
		wire.Refuse(w, http.StatusBadRequest, "offset", wire.HeaderResumeOffset+" is not a number of tokens")
		return
	}
	g, known, notify := e.resume(id, time.Now())
	switch {
	case !known:
		wire.Refuse(w, http.StatusNotFound, "resume", "request "+id+" is not known")
	case g == nil:
		wire.Refuse(w, http.StatusTooManyRequests, "full", "the waiting room is full")
	default:
		e.respond(w, r, g, notify, true, offset)
	}
}

// resume attaches the caller to the generation of an earlier request, which it
// continues if it was aborted. The generation is nil when the queue is full.
func (e *Engine) resume(id string, now time.Time) (g *generation, known bool, notify chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExpired(now)
	if g := e.findActive(id); g != nil {
		return g, true, g.attach()
	}
	g, ok := e.resumable[id]
	if !ok {
		return nil, false, nil
	}
	if g.state == oracle.StateComplete {
		return g, true, g.attach()
	}
	g.state = oracle.StateRunning
	if !e.place(g) {
		g.state = oracle.StateAborted
		return nil, true, nil
	}
	delete(e.resumable, id)
	return g, true, g.attach()
}

// findActive returns a running or queued generation, or nil.
func (e *Engine) findActive(id string) *generation {
	for _, list := range [][]*generation{e.running, e.waiting} {
		for _, g := range list {
			if g.id == id {
				return g
			}
		}
	}
	return nil
}

// serveCancel serves DELETE /v1/requests/{id}: it aborts a request and frees its
// slot at once.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	g := e.findActive(id)
	if g != nil {
		e.abort(g)
	}
	_, resumable := e.resumable[id]
	delete(e.resumable, id)
	e.mu.Unlock()
	if g == nil && !resumable {
		wire.WriteError(w, http.StatusNotFound, "request", "no such request")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

package engine

import (
	"net/http"
	"strconv"
	"time"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/emulator/wire"
)

// suspend keeps a run for resumption for the resume window.
func (e *Engine) suspend(r *run, now time.Time) {
	if e.settings.ResumeWindow > 0 && r.record != nil {
		r.expiry = now.Add(e.settings.ResumeWindow)
		e.suspended[r.id] = r
	}
}

func (e *Engine) expire(now time.Time) {
	for id, r := range e.suspended {
		if now.After(r.expiry) {
			delete(e.suspended, id)
		}
	}
}

// serveResume continues the stream of an earlier request from an offset in
// tokens. It refuses a request that the engine no longer knows.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, id string) {
	offset, err := strconv.Atoi(r.Header.Get(wire.HeaderResumeOffset))
	if err != nil || offset < 0 {
		wire.Refuse(w, http.StatusBadRequest, "offset", wire.HeaderResumeOffset+" is not a number of tokens")
		return
	}
	a, known, notify := e.resume(id, time.Now())
	switch {
	case !known:
		wire.Refuse(w, http.StatusNotFound, "resume", "request "+id+" is not known")
	case a == nil:
		wire.Refuse(w, http.StatusTooManyRequests, "full", "the waiting room is full")
	default:
		e.answer(w, r, a, notify, true, offset)
	}
}

// resume takes over a suspended or running run. The run is nil when the waiting
// room is full.
func (e *Engine) resume(id string, now time.Time) (a *run, known bool, notify chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	if r := e.find(id); r != nil {
		return r, true, r.attach()
	}
	r, ok := e.suspended[id]
	if !ok {
		return nil, false, nil
	}
	if r.state == oracle.StateComplete {
		return r, true, r.attach()
	}
	r.state = oracle.StateRunning
	if !e.place(r) {
		r.state = oracle.StateCut
		return nil, true, nil
	}
	delete(e.suspended, id)
	return r, true, r.attach()
}

// find returns a running or waiting run.
func (e *Engine) find(id string) *run {
	for _, runs := range [][]*run{e.running, e.waiting} {
		for _, r := range runs {
			if r.id == id {
				return r
			}
		}
	}
	return nil
}

// serveCancel stops a request and frees its slot at once.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	a := e.find(id)
	if a != nil {
		e.cut(a)
	}
	_, suspended := e.suspended[id]
	delete(e.suspended, id)
	e.mu.Unlock()
	if a == nil && !suspended {
		wire.WriteError(w, http.StatusNotFound, "request", "no such request")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

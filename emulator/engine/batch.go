package engine

import (
	"slices"
	"time"

	"monsoondeck.example/emulator/oracle"
)

const (
	// minStep bounds the rate of batch steps; faster engines produce several
	// tokens in one step.
	minStep = 2 * time.Millisecond
	// maxLag bounds how much lost time the batch makes up after a pause of the
	// process.
	maxLag = time.Second
)

// run is one request in the engine. Its fields are guarded by Engine.mu.
type run struct {
	execution oracle.Execution
	record    *oracle.Run // nil until the request first gets a slot
	id        string      // X-Request-Id
	text      string      // prefix of each token
	prompt    promptUse
	prefill   float64 // uncached prompt tokens not yet computed
	progress  float64 // tokens produced, with the fraction in progress
	produced  int
	total     int
	state     oracle.State
	// notify wakes the handler that sends the answer; it is closed when another
	// handler takes over.
	notify chan struct{}
	expiry time.Time // while suspended
}

func (r *run) finish(s oracle.State) {
	if r.state != oracle.StateRunning {
		return
	}
	r.state = s
	if r.record != nil {
		r.record.End(s)
	}
	r.signal()
}

// attach makes the caller the handler of the run, in place of an earlier one.
func (r *run) attach() chan struct{} {
	if r.notify != nil {
		close(r.notify)
	}
	r.notify = make(chan struct{}, 1)
	r.signal()
	return r.notify
}

func (r *run) signal() {
	if r.notify == nil {
		return
	}
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// admit places a run and attaches the caller to it.
func (e *Engine) admit(r *run) (notify chan struct{}, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.place(r) {
		return nil, false
	}
	e.lastID = r.id
	return r.attach(), true
}

// place puts a run in a slot or in the waiting room. It reports false when both
// are full.
func (e *Engine) place(r *run) bool {
	switch {
	case len(e.running) < e.settings.Slots:
		e.start(r)
	case len(e.waiting) < e.settings.WaitingRoom:
		e.waiting = append(e.waiting, r)
	default:
		return false
	}
	e.noteLoad(time.Now())
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

func (e *Engine) start(r *run) {
	if r.record == nil {
		r.execution.Incarnation = e.incarnation
		r.record = e.oracle.Begin(r.execution)
		r.prompt = e.cache.use(r.prompt)
		r.prefill = float64(r.prompt.tokens - r.prompt.cached)
	} else {
		r.record.Resume()
	}
	e.running = append(e.running, r)
}

// stepTime returns the time of one batch step and the tokens each slot produces
// in it.
func (e *Engine) stepTime() (step time.Duration, tokens float64) {
	step = max(minStep, time.Duration(float64(time.Second)/e.settings.TokensPerSecond))
	tokens = e.settings.TokensPerSecond * step.Seconds()
	return time.Duration(float64(step) * e.faults.Slowdown()), tokens
}

func (e *Engine) loop() {
	defer close(e.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	last := time.Now()
	for {
		step, tokens := e.stepTime()
		if e.idle() {
			select {
			case <-e.wake:
			case <-e.stop:
				return
			}
			last = time.Now()
			continue
		}
		timer.Reset(time.Until(last.Add(step)))
		select {
		case <-timer.C:
		case <-e.stop:
			return
		}
		if late := time.Since(last); late > maxLag+step {
			last = last.Add(late - maxLag - step)
		}
		from := last
		last = last.Add(step)
		e.step(from, last, tokens)
	}
}

func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)+len(e.waiting) == 0
}

// step advances every slot by one batch step and fills free slots.
func (e *Engine) step(from, to time.Time, tokens float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.oracle.AddBusy(e.settings.ID, from, to, len(e.running))
	prefillTokens := tokens * e.settings.PromptTokensPerSecond / e.settings.TokensPerSecond
	for _, r := range e.running {
		r.advance(to, tokens, prefillTokens)
	}
	for _, r := range e.running {
		if r.state == oracle.StateComplete {
			e.suspend(r, to)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return r.state != oracle.StateRunning })
	for len(e.waiting) > 0 && len(e.running) < e.settings.Slots {
		e.start(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.expire(to)
	e.noteLoad(to)
}

func (r *run) advance(now time.Time, tokens, prefillTokens float64) {
	if r.prefill > 0 {
		n := min(r.prefill, prefillTokens)
		r.prefill -= n
		r.record.Add(now, n*UnitsPerPromptToken)
		return
	}
	r.progress += tokens
	n := min(int(r.progress+1e-9), r.total) - r.produced
	if n <= 0 {
		return
	}
	r.produced += n
	r.record.Add(now, float64(n))
	if r.produced == r.total {
		r.finish(oracle.StateComplete)
		return
	}
	r.signal()
}

// remove takes a run whose client has gone out of the batch. A run that has
// started stays available for resumption for the resume window.
func (e *Engine) remove(r *run, notify chan struct{}, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.state != oracle.StateRunning || r.notify != notify {
		return
	}
	e.cut(r)
	e.suspend(r, now)
}

// cut ends a run and frees its slot.
func (e *Engine) cut(r *run) {
	r.finish(oracle.StateCut)
	same := func(o *run) bool { return o == r }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.noteLoad(time.Now())
}

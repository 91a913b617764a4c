package engine

import (
	"slices"
	"time"

	"monsoondeck.example/emulator/oracle"
)

const (
	// minStepTime is the shortest batch step. Engines with a higher token rate
	// produce several tokens per slot in one step.
	minStepTime = 2 * time.Millisecond
	// maxCatchUp is the longest delay, for instance after a pause of the process,
	// that the batch makes up with immediate steps. The rest is skipped.
	maxCatchUp = time.Second
)

// generation is the processing of one request in the engine: the prefill of its
// prompt, then the decoding of its output. Its fields are guarded by Engine.mu.
type generation struct {
	execution        oracle.Execution
	record           *oracle.Run // nil until the generation first gets a slot
	id               string      // X-Request-Id of the request that started it
	tokenPrefix      string      // start of each token
	prompt           prompt
	remainingPrefill float64 // uncached prompt tokens not yet computed
	decoded          float64 // tokens produced, including the fraction of the next one
	produced         int
	totalTokens      int
	state            oracle.State
	// notify wakes the HTTP handler that sends the response. It is closed when
	// another handler takes over, and nil until the first one is attached.
	notify         chan struct{}
	resumableUntil time.Time // set while it is in Engine.resumable
}

// finish ends a running generation in a final state and wakes its handler.
func (g *generation) finish(s oracle.State) {
	if g.state != oracle.StateRunning {
		return
	}
	g.state = s
	if g.record != nil {
		g.record.End(s)
	}
	g.signal()
}

// attach makes the caller the handler of the generation, in place of an earlier
// one, and returns the channel that wakes it.
func (g *generation) attach() chan struct{} {
	if g.notify != nil {
		close(g.notify)
	}
	g.notify = make(chan struct{}, 1)
	g.signal()
	return g.notify
}

// signal wakes the attached handler, if there is one.
func (g *generation) signal() {
	if g.notify == nil {
		return
	}
	select {
	case g.notify <- struct{}{}:
	default:
	}
}

// admit places a generation and attaches the caller to it. It reports false when
// the slots and the queue are full.
func (e *Engine) admit(g *generation) (notify chan struct{}, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.place(g) {
		return nil, false
	}
	e.lastAdmittedID = g.id
	return g.attach(), true
}

// place puts a generation in a slot or in the queue. It reports false when both
// are full.
func (e *Engine) place(g *generation) bool {
	switch {
	case len(e.running) < e.settings.Slots:
		e.start(g)
	case len(e.waiting) < e.settings.QueueLimit:
		e.waiting = append(e.waiting, g)
	default:
		return false
	}
	e.recordLoad(time.Now())
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// start puts a new or resumed generation in a slot.
func (e *Engine) start(g *generation) {
	if g.record == nil {
		g.execution.Incarnation = e.incarnation
		g.record = e.oracle.Begin(g.execution)
		g.prompt = e.cache.lookupAndStore(g.prompt)
		g.remainingPrefill = float64(g.prompt.tokens - g.prompt.cached)
	} else {
		g.record.Resume()
	}
	e.running = append(e.running, g)
}

// stepDuration returns the duration of one batch step and the number of tokens
// that each slot produces in it.
func (e *Engine) stepDuration() (step time.Duration, tokens float64) {
	step = max(minStepTime, time.Duration(float64(time.Second)/e.settings.TokensPerSecond))
	tokens = e.settings.TokensPerSecond * step.Seconds()
	return time.Duration(float64(step) * e.faults.Slowdown()), tokens
}

// loop runs the batch steps until the engine is stopped.
func (e *Engine) loop() {
	defer close(e.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	last := time.Now()
	for {
		step, tokens := e.stepDuration()
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
		if late := time.Since(last); late > maxCatchUp+step {
			last = last.Add(late - maxCatchUp - step)
		}
		from := last
		last = last.Add(step)
		e.step(from, last, tokens)
	}
}

// idle reports whether no generation has or waits for a slot.
func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)+len(e.waiting) == 0
}

// step advances every slot by one batch step and gives free slots to queued
// generations.
func (e *Engine) step(from, to time.Time, tokens float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.oracle.AddBusy(e.settings.ID, from, to, len(e.running))
	prefillTokens := tokens * e.settings.PromptTokensPerSecond / e.settings.TokensPerSecond
	for _, g := range e.running {
		g.advance(to, tokens, prefillTokens)
	}
	for _, g := range e.running {
		if g.state == oracle.StateComplete {
			e.keepResumable(g, to)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(g *generation) bool { return g.state != oracle.StateRunning })
	for len(e.waiting) > 0 && len(e.running) < e.settings.Slots {
		e.start(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.dropExpired(to)
	e.recordLoad(to)
}

// advance computes remaining prompt tokens or, after the prefill, produces tokens
// of the output.
func (g *generation) advance(now time.Time, tokens, prefillTokens float64) {
	if g.remainingPrefill > 0 {
		n := min(g.remainingPrefill, prefillTokens)
		g.remainingPrefill -= n
		g.record.Add(now, n*UnitsPerPromptToken)
		return
	}
	g.decoded += tokens
	n := min(int(g.decoded+1e-9), g.totalTokens) - g.produced
	if n <= 0 {
		return
	}
	g.produced += n
	g.record.Add(now, float64(n))
	if g.produced == g.totalTokens {
		g.finish(oracle.StateComplete)
		return
	}
	g.signal()
}

// removeDisconnected aborts a generation whose client has disconnected, unless
// another handler has taken it over. If it has started, it can be resumed within
// the resume window.
func (e *Engine) removeDisconnected(g *generation, notify chan struct{}, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.state != oracle.StateRunning || g.notify != notify {
		return
	}
	e.abort(g)
	e.keepResumable(g, now)
}

// abort ends a running generation and frees its slot or its place in the queue.
func (e *Engine) abort(g *generation) {
	g.finish(oracle.StateAborted)
	isSame := func(o *generation) bool { return o == g }
	e.running = slices.DeleteFunc(e.running, isSame)
	e.waiting = slices.DeleteFunc(e.waiting, isSame)
	e.recordLoad(time.Now())
}

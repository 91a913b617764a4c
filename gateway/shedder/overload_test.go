package shedder_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"monsoondeck.example/gateway/shedder"
)

const (
	// Processor time on a host of 0.144 cores, in real time.
	parseCost, decideCost, sendCost, firstEventCost, eventCost = 900 * time.Microsecond, 200 * time.Microsecond, 700 * time.Microsecond, 300 * time.Microsecond, 110 * time.Microsecond
	refuseConnectionCost                                       = 330 * time.Microsecond
	// modelEvents is the number of events after the first one, modelEventGap the time between
	// two, and modelTargetTime that from the request to the first one.
	modelEvents, modelEventGap, modelTargetTime = 10, 20 * time.Millisecond, 50 * time.Millisecond
	// modelObjective is the time within which a response must begin to be on time.
	modelObjective = 300 * time.Millisecond
	// modelServeCost is the processor time of a request that is served.
	modelServeCost = parseCost + decideCost + sendCost + firstEventCost + modelEvents*eventCost
	// collectionTime and collectionInterval are those of the garbage collector.
	collectionTime, collectionInterval = 40 * time.Millisecond, 700 * time.Millisecond
	timerInterval                      = shedder.TimerInterval
)

// processor is a model of a host without a network: one processor that runs tasks in the order
// in which they become ready, as the scheduler of the runtime does.
type processor struct {
	timeline
	busyUntil time.Duration
	random    *rand.Rand
	shedder   *shedder.Shedder
	spreader  shedder.Spreader
	// onTime and late count the responses that began by the time they did, refused the
	// connections.
	onTime, late, refused int
}

type scheduled struct {
	at   time.Duration
	call func()
}

type schedule []scheduled

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at < s[j].at }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// timeline is the time of a model and what happens in it.
type timeline struct {
	now    time.Duration
	events schedule
}

func (t *timeline) after(d time.Duration, call func()) {
	heap.Push(&t.events, scheduled{t.now + d, call})
}

// runUntil lets happen what is due by the given time or next after it.
func (t *timeline) runUntil(end time.Duration) {
	for t.now < end {
		e := heap.Pop(&t.events).(scheduled)
		t.now = e.at
		e.call()
	}
}

// run lets a task run behind those that are ready now, and calls then at its end.
func (p *processor) run(cost time.Duration, then func()) {
	p.busyUntil = max(p.busyUntil, p.now) + cost
	p.after(p.busyUntil-p.now, then)
}

// arrive lets a request arrive on a new connection. The connection is accepted once the
// processor gets to it.
func (p *processor) arrive() {
	arrived := p.now
	p.run(0, func() {
		if !p.spreader.Admit(p.shedder.RefusedShare()) {
			p.refused++
			p.run(refuseConnectionCost, func() {})
			return
		}
		p.run(parseCost, func() {
			p.run(decideCost, func() { p.run(sendCost, func() { p.after(modelTargetTime, func() { p.respond(arrived) }) }) })
		})
	})
}

func (p *processor) respond(arrived time.Duration) {
	p.run(firstEventCost, func() {
		if p.now-arrived <= modelObjective {
			p.onTime++
		} else {
			p.late++
		}
		for i := range modelEvents {
			p.after(time.Duration(i+1)*modelEventGap, func() { p.run(eventCost, func() {}) })
		}
	})
}

func (p *processor) tick() {
	due := p.now + timerInterval
	p.after(timerInterval, func() {
		p.run(0, func() {
			p.shedder.RecordTimerDelay(p.now, p.now-due)
			p.tick()
		})
	})
}

// collect lets the garbage collector take the processor for a moment, again and again.
func (p *processor) collect() {
	p.run(collectionTime, func() {})
	p.after(collectionInterval, p.collect)
}

// offer lets requests arrive at a rate for some time and returns the responses on time a
// second, without the first two seconds.
func offer(seed uint64, perSecond float64, duration time.Duration) (onTime, late, refused float64) {
	const settled = 2 * time.Second
	p := &processor{random: rand.New(rand.NewPCG(seed, seed)), shedder: shedder.New(0)}
	var next func()
	next = func() {
		p.arrive()
		p.after(time.Duration(p.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	p.tick()
	next()
	p.collect()
	var before processor
	p.after(settled, func() { before = *p })
	p.runUntil(duration)
	seconds := (duration - settled).Seconds()
	return float64(p.onTime-before.onTime) / seconds, float64(p.late-before.late) / seconds, float64(p.refused-before.refused) / seconds
}

// Load: a host of 0.144 cores gets 1 to 5 times the requests that it can serve. Guards
// against FAIR: accounts whose callers are on such a host get a part of what it could serve,
// because it spends its time on requests whose objective passes in its own run queue.
func TestBusyHostServesOnTimeWhatItCan(t *testing.T) {
	processorTime := float64(time.Second) * (1 - float64(collectionTime)/float64(collectionInterval))
	peak := 0.9 * processorTime / float64(modelServeCost)
	for _, times := range []float64{0.7, 1, 2, 3, 5} {
		offered := times * peak
		// What is left of each second after the refusals of the rest.
		possible := min((processorTime-offered*float64(refuseConnectionCost))/float64(modelServeCost-refuseConnectionCost), offered)
		for seed := range uint64(3) {
			onTime, late, refused := offer(seed, offered, 20*time.Second)
			t.Logf("%.1f times, seed %d: offered %.0f, on time %.0f of %.0f, late %.0f, refused %.0f", times, seed, offered, onTime, possible, late, refused)
			if onTime < 0.9*possible {
				t.Errorf("%.1f times what it can serve, seed %d: %.0f responses a second begin on time, want 0.9 of the %.0f that the refusals leave", times, seed, onTime, possible)
			}
		}
	}
}

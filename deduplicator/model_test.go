package deduplicator

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed gives the same verdict on every run; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "3000", "rapid.steps": "60", "rapid.nofailfile": "true", "rapid.shrinktime": "0s",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// machine is what the model drives: an Attempt or a mutant of one.
type machine interface {
	Start() Action
	Claimed(ClaimResult) Action
	Read(ReadResult, Record) Action
	Dispatch() error
	Cancel() Action
	Finish(Outcome, *Answer) Action
	Record() Record
	Verdict() Verdict
	Found() Record
}

type row struct {
	record   Record
	revision int
}

// actor is one attempt and its driver.
type actor struct {
	id         string
	m          machine
	next       Action
	read       *row // read by the first half of a release or store
	dispatched bool
	refused    bool
	released   bool
	told       []Verdict
}

// world is one key of the table service with several attempts. Its executions
// are those that a target ran.
type world struct {
	t        *rapid.T
	make     func(id, request string) machine
	row      *row
	history  []*row // every value that the row had, for stale reads
	revision int
	actors   []*actor
	late     []func() // writes whose answer was lost and that are still on their way
	answers  []string // answers of executions
	runs     int
	held     bool // a dispatch that the target did not refuse exists
	made     int
}

func (w *world) write(r *row) {
	w.row = r
	w.history = append(w.history, r)
}

func (w *world) insert(r Record) bool {
	if w.row != nil {
		return false
	}
	w.revision++
	w.write(&row{r, w.revision})
	return true
}

func (w *world) replace(a *actor, at *row, r *Record) bool {
	if w.row == nil || w.row.revision != at.revision {
		return false
	}
	w.revision++
	if r != nil {
		w.write(&row{*r, w.revision})
		return true
	}
	if a.dispatched {
		w.t.Fatalf("claim of %s released after its dispatch", a.id)
	}
	a.released = true
	w.write(nil)
	return true
}

// transact runs a write with a drawn fault. unknown is true if the answer was
// lost; done tells whether the condition held.
func (w *world) transact(write func() bool) (done, unknown, unavailable bool) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "lost", "never", "late", "outage"}).Draw(w.t, "fault") {
	case "ok":
		return write(), false, false
	case "lost":
		write()
		return false, true, false
	case "late":
		w.late = append(w.late, func() { write() })
		return false, true, false
	case "outage":
		return false, false, true
	}
	return false, true, false
}

func (w *world) readRow() (*row, bool) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "stale", "outage"}).Draw(w.t, "read") {
	case "ok":
		return w.row, true
	case "stale":
		if len(w.history) > 0 {
			return rapid.SampledFrom(w.history).Draw(w.t, "stale"), true
		}
		return nil, true
	}
	return nil, false
}

func (w *world) start(*rapid.T) {
	if len(w.actors) >= 6 {
		return
	}
	w.made++
	a := &actor{id: fmt.Sprint("attempt", w.made)}
	a.m = w.make(a.id, "request")
	a.next = a.m.Start()
	w.actors = append(w.actors, a)
}

// pick returns one of the wanted attempts, nil if there is none.
func (w *world) pick(wanted func(*actor) bool) *actor {
	list := slices.DeleteFunc(slices.Clone(w.actors), func(a *actor) bool { return !wanted(a) })
	if len(list) == 0 {
		return nil
	}
	return rapid.SampledFrom(list).Draw(w.t, "attempt")
}

// step performs the next action of one attempt; attempts that are not picked
// are paused.
func (w *world) step(*rapid.T) {
	a := w.pick(func(a *actor) bool { return a.next != ActionNone && a.next != ActionDispatch })
	if a == nil {
		return
	}
	switch a.next {
	case ActionClaim:
		record := a.m.Record()
		done, unknown, unavailable := w.transact(func() bool { return w.insert(record) })
		a.next = a.m.Claimed(claimResult(done, unknown, unavailable))
	case ActionRead:
		found, ok := w.readRow()
		switch {
		case !ok:
			a.next = a.m.Read(ReadFailed, Record{})
		case found == nil:
			a.next = a.m.Read(ReadAbsent, Record{})
		default:
			a.next = a.m.Read(ReadFound, found.record)
		}
	case ActionReply:
		w.reply(a)
	case ActionRelease, ActionStore:
		w.update(a)
	}
}

func claimResult(done, unknown, unavailable bool) ClaimResult {
	switch {
	case unknown:
		return ClaimUnknown
	case unavailable:
		return ClaimUnavailable
	case done:
		return ClaimTaken
	}
	return ClaimConflict
}

// update is a release or a store: a read, then a conditional write.
func (w *world) update(a *actor) {
	if a.read == nil {
		found, ok := w.readRow()
		if !ok || found == nil || found.record.Attempt != a.id || found.record.Done {
			a.next = ActionNone
			return
		}
		a.read = found
		return
	}
	at, record := a.read, a.m.Record()
	put := &record
	if a.next == ActionRelease {
		put = nil
	}
	w.transact(func() bool { return w.replace(a, at, put) })
	a.next, a.read = ActionNone, nil
}

// reply checks what the caller is told.
func (w *world) reply(a *actor) {
	v := a.m.Verdict()
	a.told = append(a.told, v)
	switch v {
	case VerdictReplay:
		if !slices.Contains(w.answers, string(a.m.Found().Answer.Body)) {
			w.t.Fatalf("%s replays an answer that no run gave", a.id)
		}
	case VerdictNotKept:
		if w.runs == 0 {
			w.t.Fatalf("%s is told that the request has run", a.id)
		}
	case VerdictSpent:
		if w.held {
			w.t.Fatalf("%s is told notRun of a key that was dispatched", a.id)
		}
	}
	if v.Outcome() == OutcomeNotRun && a.dispatched && !a.refused {
		w.t.Fatalf("%s is told notRun after its dispatch", a.id)
	}
	a.next = a.m.Cancel()
}

func (w *world) dispatch(*rapid.T) {
	w.send(w.pick(func(a *actor) bool { return a.next == ActionDispatch && !a.dispatched }))
}

// dispatchAny is a driver that dispatches at the wrong time.
func (w *world) dispatchAny(*rapid.T) {
	w.send(w.pick(func(a *actor) bool { return !a.refused }))
}

func (w *world) send(a *actor) {
	if a == nil || a.m.Dispatch() != nil {
		return
	}
	if a.released {
		w.t.Fatalf("%s dispatched after its claim was released", a.id)
	}
	for _, v := range a.told {
		w.t.Fatalf("%s dispatched after its caller was told %v", a.id, v)
	}
	a.dispatched = true
	if rapid.IntRange(0, 3).Draw(w.t, "refused") == 0 {
		a.refused = true
		a.next = a.m.Finish(OutcomeNotRun, nil)
		return
	}
	w.held = true
	if w.runs++; w.runs > 1 {
		w.t.Fatalf("%s is run %d", a.id, w.runs)
	}
}

func (w *world) finish(*rapid.T) {
	a := w.pick(func(a *actor) bool { return a.dispatched && !a.refused && a.next != ActionStore })
	if a == nil {
		return
	}
	body := "answer of " + a.id
	switch rapid.SampledFrom([]string{"whole", "large", "broken"}).Draw(w.t, "answer") {
	case "whole":
		w.answers = append(w.answers, body)
		a.next = a.m.Finish(OutcomeComplete, &Answer{Status: 200, Body: []byte(body)})
	case "large":
		a.next = a.m.Finish(OutcomeComplete, &Answer{Body: make([]byte, MaximumAnswer+1)})
	default:
		a.next = a.m.Finish(OutcomeUnknown, nil)
	}
}

// cancel is a caller that goes away or a permit that is not granted.
func (w *world) cancel(*rapid.T) {
	if rapid.IntRange(0, 3).Draw(w.t, "stays") > 0 {
		return
	}
	a := w.pick(func(a *actor) bool { return a.next != ActionStore && a.next != ActionRelease })
	if a == nil {
		return
	}
	if next := a.m.Cancel(); next != ActionNone || !a.dispatched {
		a.next, a.read = next, nil
		// The caller is told notRun of an attempt that was cancelled.
		a.told = append(a.told, VerdictUnavailable)
	}
}

// crash loses an attempt; its writes may still arrive.
func (w *world) crash(*rapid.T) {
	if rapid.IntRange(0, 3).Draw(w.t, "survives") > 0 {
		return
	}
	a := w.pick(func(*actor) bool { return true })
	w.actors = slices.DeleteFunc(w.actors, func(b *actor) bool { return b == a })
}

func (w *world) arrive(*rapid.T) {
	if len(w.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late")
	write := w.late[i]
	w.late = slices.Delete(w.late, i, i+1)
	write()
}

func property(build func(id, request string) machine) func(*rapid.T) {
	return func(t *rapid.T) {
		w := &world{t: t, make: build}
		t.Repeat(map[string]func(*rapid.T){
			"start": w.start, "step1": w.step, "step2": w.step, "step3": w.step, "step4": w.step,
			"dispatch": w.dispatch, "dispatchAny": w.dispatchAny, "finish": w.finish,
			"cancel": w.cancel, "crash": w.crash, "arrive": w.arrive,
		})
	}
}

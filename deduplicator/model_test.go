package deduplicator

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed so that every run gives the same result; -rapid.seed
// overrides it.
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

// claimant is implemented by Attempt and its mutants.
type claimant interface {
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

// row is one revision of the row of the key in the table service.
type row struct {
	record   Record
	revision int
}

// attemptDriver is one attempt and the state of its driver.
type attemptDriver struct {
	id         string
	attempt    claimant
	nextAction Action
	readRow    *row // read by the first half of a release or store
	dispatched bool
	refused    bool
	released   bool
	// verdicts lists what the caller was told.
	verdicts []Verdict
}

// model simulates one key of the table service with several attempts. executions
// counts the requests that a target ran.
type model struct {
	t             *rapid.T
	newAttempt    func(id, request string) claimant
	row           *row
	history       []*row // every value that the row had, for stale reads
	revision      int
	drivers       []*attemptDriver
	delayedWrites []func() // writes whose answer was lost and that may still take effect
	answers       []string // answers of executions
	executions    int
	executed      bool // a dispatch that the target did not refuse exists
	attemptCount  int
}

// setRow sets the current row, nil to delete it.
func (m *model) setRow(r *row) {
	m.row = r
	m.history = append(m.history, r)
}

// insertRow inserts the row and reports whether it was absent.
func (m *model) insertRow(r Record) bool {
	if m.row != nil {
		return false
	}
	m.revision++
	m.setRow(&row{r, m.revision})
	return true
}

// replaceRow replaces the row, or deletes it if r is nil, and reports whether it still
// had the revision of at.
func (m *model) replaceRow(a *attemptDriver, at *row, r *Record) bool {
	if m.row == nil || m.row.revision != at.revision {
		return false
	}
	m.revision++
	if r != nil {
		m.setRow(&row{*r, m.revision})
		return true
	}
	if a.dispatched {
		m.t.Fatalf("claim of %s released after its dispatch", a.id)
	}
	a.released = true
	m.setRow(nil)
	return true
}

// writeWithFault performs a conditional write with a random fault. done reports
// whether the condition held, unknown that the answer was lost, and unavailable that
// the write was refused.
func (m *model) writeWithFault(write func() bool) (done, unknown, unavailable bool) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "lost", "never", "late", "outage"}).Draw(m.t, "fault") {
	case "ok":
		return write(), false, false
	case "lost":
		write()
		return false, true, false
	case "late":
		m.delayedWrites = append(m.delayedWrites, func() { write() })
		return false, true, false
	case "outage":
		return false, false, true
	}
	return false, true, false
}

// readRow returns the current row or a stale one, and false during an outage.
func (m *model) readRow() (*row, bool) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "stale", "outage"}).Draw(m.t, "read") {
	case "ok":
		return m.row, true
	case "stale":
		if len(m.history) > 0 {
			return rapid.SampledFrom(m.history).Draw(m.t, "stale"), true
		}
		return nil, true
	}
	return nil, false
}

func (m *model) startAttempt(*rapid.T) {
	if len(m.drivers) >= 6 {
		return
	}
	m.attemptCount++
	a := &attemptDriver{id: fmt.Sprint("attempt", m.attemptCount)}
	a.attempt = m.newAttempt(a.id, "request")
	a.nextAction = a.attempt.Start()
	m.drivers = append(m.drivers, a)
}

// pick returns one of the wanted attempts, nil if there is none.
func (m *model) pick(wanted func(*attemptDriver) bool) *attemptDriver {
	list := slices.DeleteFunc(slices.Clone(m.drivers), func(a *attemptDriver) bool { return !wanted(a) })
	if len(list) == 0 {
		return nil
	}
	return rapid.SampledFrom(list).Draw(m.t, "attempt")
}

// performAction performs the next action of one random attempt. The others do not
// advance, as if they were paused.
func (m *model) performAction(*rapid.T) {
	a := m.pick(func(a *attemptDriver) bool { return a.nextAction != ActionNone && a.nextAction != ActionDispatch })
	if a == nil {
		return
	}
	switch a.nextAction {
	case ActionClaim:
		record := a.attempt.Record()
		done, unknown, unavailable := m.writeWithFault(func() bool { return m.insertRow(record) })
		a.nextAction = a.attempt.Claimed(claimResult(done, unknown, unavailable))
	case ActionRead:
		found, ok := m.readRow()
		switch {
		case !ok:
			a.nextAction = a.attempt.Read(ReadFailed, Record{})
		case found == nil:
			a.nextAction = a.attempt.Read(ReadAbsent, Record{})
		default:
			a.nextAction = a.attempt.Read(ReadFound, found.record)
		}
	case ActionReply:
		m.checkVerdict(a)
	case ActionRelease, ActionStore:
		m.updateRow(a)
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

// updateRow performs half of a release or store: the read in the first call and the
// conditional write in the second.
func (m *model) updateRow(a *attemptDriver) {
	if a.readRow == nil {
		found, ok := m.readRow()
		if !ok || found == nil || found.record.Attempt != a.id || found.record.Done {
			a.nextAction = ActionNone
			return
		}
		a.readRow = found
		return
	}
	at, record := a.readRow, a.attempt.Record()
	put := &record
	if a.nextAction == ActionRelease {
		put = nil
	}
	m.writeWithFault(func() bool { return m.replaceRow(a, at, put) })
	a.nextAction, a.readRow = ActionNone, nil
}

// checkVerdict checks the verdict that the caller is told against the history of the
// model.
func (m *model) checkVerdict(a *attemptDriver) {
	v := a.attempt.Verdict()
	a.verdicts = append(a.verdicts, v)
	switch v {
	case VerdictReplay:
		if !slices.Contains(m.answers, string(a.attempt.Found().Answer.Body)) {
			m.t.Fatalf("%s replays an answer that no execution returned", a.id)
		}
	case VerdictAnswerNotKept:
		if m.executions == 0 {
			m.t.Fatalf("%s is told that the request has run, but it has not", a.id)
		}
	case VerdictRefusedBefore:
		if m.executed {
			m.t.Fatalf("%s is told notRun of a key that was dispatched", a.id)
		}
	}
	if v.Outcome() == OutcomeNotRun && a.dispatched && !a.refused {
		m.t.Fatalf("%s is told notRun after its dispatch", a.id)
	}
	a.nextAction = a.attempt.Cancel()
}

func (m *model) dispatchReady(*rapid.T) {
	m.dispatchAttempt(m.pick(func(a *attemptDriver) bool { return a.nextAction == ActionDispatch && !a.dispatched }))
}

// dispatchAny dispatches an attempt in any state, as a faulty driver would.
func (m *model) dispatchAny(*rapid.T) {
	m.dispatchAttempt(m.pick(func(a *attemptDriver) bool { return !a.refused }))
}

func (m *model) dispatchAttempt(a *attemptDriver) {
	if a == nil || a.attempt.Dispatch() != nil {
		return
	}
	if a.released {
		m.t.Fatalf("%s dispatched after its claim was released", a.id)
	}
	for _, v := range a.verdicts {
		m.t.Fatalf("%s dispatched after its caller was told %v", a.id, v)
	}
	a.dispatched = true
	if rapid.IntRange(0, 3).Draw(m.t, "refused") == 0 {
		a.refused = true
		a.nextAction = a.attempt.Finish(OutcomeNotRun, nil)
		return
	}
	m.executed = true
	if m.executions++; m.executions > 1 {
		m.t.Fatalf("%s is execution %d of the request", a.id, m.executions)
	}
}

func (m *model) finishRun(*rapid.T) {
	a := m.pick(func(a *attemptDriver) bool { return a.dispatched && !a.refused && a.nextAction != ActionStore })
	if a == nil {
		return
	}
	body := "answer of " + a.id
	switch rapid.SampledFrom([]string{"whole", "large", "broken"}).Draw(m.t, "answer") {
	case "whole":
		m.answers = append(m.answers, body)
		a.nextAction = a.attempt.Finish(OutcomeComplete, &Answer{Status: 200, Body: []byte(body)})
	case "large":
		a.nextAction = a.attempt.Finish(OutcomeComplete, &Answer{Body: make([]byte, MaximumAnswer+1)})
	default:
		a.nextAction = a.attempt.Finish(OutcomeUnknown, nil)
	}
}

// cancelAttempt cancels an attempt, as when a caller goes away or no permit is granted.
func (m *model) cancelAttempt(*rapid.T) {
	if rapid.IntRange(0, 3).Draw(m.t, "stays") > 0 {
		return
	}
	a := m.pick(func(a *attemptDriver) bool { return a.nextAction != ActionStore && a.nextAction != ActionRelease })
	if a == nil {
		return
	}
	if next := a.attempt.Cancel(); next != ActionNone || !a.dispatched {
		a.nextAction, a.readRow = next, nil
		// The caller of a cancelled attempt is told notRun, so a later dispatch is a fault.
		a.verdicts = append(a.verdicts, VerdictUnavailable)
	}
}

// crashDriver removes an attempt; its delayed writes may still take effect.
func (m *model) crashDriver(*rapid.T) {
	if rapid.IntRange(0, 3).Draw(m.t, "survives") > 0 {
		return
	}
	a := m.pick(func(*attemptDriver) bool { return true })
	m.drivers = slices.DeleteFunc(m.drivers, func(b *attemptDriver) bool { return b == a })
}

// deliverWrite performs one of the delayed writes.
func (m *model) deliverWrite(*rapid.T) {
	if len(m.delayedWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayedWrites)-1).Draw(m.t, "late")
	write := m.delayedWrites[i]
	m.delayedWrites = slices.Delete(m.delayedWrites, i, i+1)
	write()
}

// attemptProperty returns a check of the model with the attempts that build returns.
func attemptProperty(build func(id, request string) claimant) func(*rapid.T) {
	return func(t *rapid.T) {
		m := &model{t: t, newAttempt: build}
		t.Repeat(map[string]func(*rapid.T){
			"start": m.startAttempt, "step1": m.performAction, "step2": m.performAction, "step3": m.performAction, "step4": m.performAction,
			"dispatch": m.dispatchReady, "dispatchAny": m.dispatchAny, "finish": m.finishRun,
			"cancel": m.cancelAttempt, "crash": m.crashDriver, "arrive": m.deliverWrite,
		})
	}
}

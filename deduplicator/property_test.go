package deduplicator

import (
	"testing"

	"pgregory.net/rapid"
)

func correct(id, request string) machine { return NewAttempt(id, request) }

// Guards against a second run, a false notRun and a released claim that was
// dispatched, in any order of events of several attempts.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, property(correct))
}

// The mutants each have one fault that the property must find.

// trusting takes a lost insert for a success.
type trusting struct{ *Attempt }

func (m trusting) Claimed(r ClaimResult) Action {
	if r == ClaimUnknown {
		r = ClaimTaken
	}
	return m.Attempt.Claimed(r)
}

// greedy takes any row that it reads back for its own.
type greedy struct{ *Attempt }

func (m greedy) Read(r ReadResult, found Record) Action {
	found.Attempt = m.record.Attempt
	return m.Attempt.Read(r, found)
}

// hasty takes an absent row after a lost insert for a free key.
type hasty struct{ *Attempt }

func (m hasty) Read(r ReadResult, found Record) Action {
	if r == ReadAbsent && m.state == stateReading {
		m.state = stateClaimed
		return ActionDispatch
	}
	return m.Attempt.Read(r, found)
}

// impatient takes over a claim that has no answer yet.
type impatient struct{ *Attempt }

func (m impatient) Read(r ReadResult, found Record) Action {
	if r == ReadFound && !found.Done && m.state == stateReading {
		m.state = stateClaimed
		return ActionDispatch
	}
	return m.Attempt.Read(r, found)
}

// generous releases its claim after dispatch.
type generous struct{ *Attempt }

func (m generous) Cancel() Action {
	if m.state == stateDispatched {
		return ActionRelease
	}
	return m.Attempt.Cancel()
}

// stubborn can still be dispatched after it was given up.
type stubborn struct{ *Attempt }

func (m stubborn) Cancel() Action {
	before := m.state
	action := m.Attempt.Cancel()
	if before == stateClaimed {
		m.state = stateClaimed
	}
	return action
}

// repeating can be dispatched twice.
type repeating struct{ *Attempt }

func (m repeating) Dispatch() error {
	if m.state == stateDispatched {
		return nil
	}
	return m.Attempt.Dispatch()
}

// denying stores notRun for a run whose answer broke off.
type denying struct{ *Attempt }

func (m denying) Finish(o Outcome, a *Answer) Action {
	if o == OutcomeUnknown {
		o = OutcomeNotRun
	}
	return m.Attempt.Finish(o, a)
}

// boasting stores complete for a request that the target refused.
type boasting struct{ *Attempt }

func (m boasting) Finish(_ Outcome, a *Answer) Action { return m.Attempt.Finish(OutcomeComplete, a) }

// recorder is a TB that records a failure instead of failing.
type recorder struct {
	rapid.TB
	failed bool
}

type stopped struct{}

func (r *recorder) Helper()               {}
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }
func (r *recorder) FailNow()              { r.failed = true; panic(stopped{}) }

// fails tells whether a property can be falsified.
func fails(t *testing.T, check func(*rapid.T)) bool {
	r := &recorder{TB: t}
	func() {
		defer func() {
			if e := recover(); e != nil && e != any(stopped{}) {
				panic(e)
			}
		}()
		rapid.Check(r, check)
	}()
	return r.failed
}

// Guards against a property that cannot fail.
func TestPropertyFindsMutants(t *testing.T) {
	mutants := map[string]func(id, request string) machine{
		"trusting":  func(i, r string) machine { return trusting{NewAttempt(i, r)} },
		"greedy":    func(i, r string) machine { return greedy{NewAttempt(i, r)} },
		"hasty":     func(i, r string) machine { return hasty{NewAttempt(i, r)} },
		"impatient": func(i, r string) machine { return impatient{NewAttempt(i, r)} },
		"generous":  func(i, r string) machine { return generous{NewAttempt(i, r)} },
		"stubborn":  func(i, r string) machine { return stubborn{NewAttempt(i, r)} },
		"repeating": func(i, r string) machine { return repeating{NewAttempt(i, r)} },
		"denying":   func(i, r string) machine { return denying{NewAttempt(i, r)} },
		"boasting":  func(i, r string) machine { return boasting{NewAttempt(i, r)} },
	}
	for name, build := range mutants {
		if !fails(t, property(build)) {
			t.Errorf("the property holds for mutant %s", name)
		}
	}
}

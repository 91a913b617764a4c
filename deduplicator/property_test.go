package deduplicator

import (
	"testing"

	"pgregory.net/rapid"
)

func newUnmodified(id, request string) claimant { return NewAttempt(id, request) }

// TestAtMostOnce guards against a second run, a wrong outcome notRun and the release of
// a claim that was dispatched, in any order of the events of several attempts.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, attemptProperty(newUnmodified))
}

// Each of the following mutants has one fault that the property must find.

// lostInsertSucceeds treats an insert with unknown result as successful.
type lostInsertSucceeds struct{ *Attempt }

func (m lostInsertSucceeds) Claimed(r ClaimResult) Action {
	if r == ClaimUnknown {
		r = ClaimTaken
	}
	return m.Attempt.Claimed(r)
}

// anyRowIsOwn treats any row that it reads as its own claim.
type anyRowIsOwn struct{ *Attempt }

func (m anyRowIsOwn) Read(r ReadResult, found Record) Action {
	found.Attempt = m.record.Attempt
	return m.Attempt.Read(r, found)
}

// absentRowIsFree dispatches when the row is absent after an insert with unknown result.
type absentRowIsFree struct{ *Attempt }

func (m absentRowIsFree) Read(r ReadResult, found Record) Action {
	if r == ReadAbsent && m.state == stateReading {
		m.state = stateClaimed
		return ActionDispatch
	}
	return m.Attempt.Read(r, found)
}

// takesOverClaim takes over a claim whose outcome is not known yet.
type takesOverClaim struct{ *Attempt }

func (m takesOverClaim) Read(r ReadResult, found Record) Action {
	if r == ReadFound && !found.Done && m.state == stateReading {
		m.state = stateClaimed
		return ActionDispatch
	}
	return m.Attempt.Read(r, found)
}

// releasesAfterDispatch releases its claim when it is cancelled after the dispatch.
type releasesAfterDispatch struct{ *Attempt }

func (m releasesAfterDispatch) Cancel() Action {
	if m.state == stateDispatched {
		return ActionRelease
	}
	return m.Attempt.Cancel()
}

// dispatchesAfterCancel can still be dispatched after it was cancelled.
type dispatchesAfterCancel struct{ *Attempt }

func (m dispatchesAfterCancel) Cancel() Action {
	before := m.state
	action := m.Attempt.Cancel()
	if before == stateClaimed {
		m.state = stateClaimed
	}
	return action
}

// dispatchesTwice can be dispatched more than once.
type dispatchesTwice struct{ *Attempt }

func (m dispatchesTwice) Dispatch() error {
	if m.state == stateDispatched {
		return nil
	}
	return m.Attempt.Dispatch()
}

// unknownBecomesNotRun stores notRun for a run whose answer was incomplete.
type unknownBecomesNotRun struct{ *Attempt }

func (m unknownBecomesNotRun) Finish(o Outcome, a *Answer) Action {
	if o == OutcomeUnknown {
		o = OutcomeNotRun
	}
	return m.Attempt.Finish(o, a)
}

// alwaysComplete stores complete even for a request that the target refused.
type alwaysComplete struct{ *Attempt }

func (m alwaysComplete) Finish(_ Outcome, a *Answer) Action {
	return m.Attempt.Finish(OutcomeComplete, a)
}

// failureRecorder is a TB that records a failure instead of failing.
type failureRecorder struct {
	rapid.TB
	failed bool
}

// testStopped is the panic value with which failureRecorder ends a check.
type testStopped struct{}

func (r *failureRecorder) Helper()               {}
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Failed() bool          { return r.failed }
func (r *failureRecorder) Fatalf(string, ...any) { r.FailNow() }
func (r *failureRecorder) FailNow()              { r.failed = true; panic(testStopped{}) }

// fails reports whether a check fails.
func fails(t *testing.T, check func(*rapid.T)) bool {
	r := &failureRecorder{TB: t}
	func() {
		defer func() {
			if e := recover(); e != nil && e != any(testStopped{}) {
				panic(e)
			}
		}()
		rapid.Check(r, check)
	}()
	return r.failed
}

// TestPropertyFindsMutants guards against a property that cannot fail.
func TestPropertyFindsMutants(t *testing.T) {
	mutants := map[string]func(id, request string) claimant{
		"lostInsertSucceeds":    func(i, r string) claimant { return lostInsertSucceeds{NewAttempt(i, r)} },
		"anyRowIsOwn":           func(i, r string) claimant { return anyRowIsOwn{NewAttempt(i, r)} },
		"absentRowIsFree":       func(i, r string) claimant { return absentRowIsFree{NewAttempt(i, r)} },
		"takesOverClaim":        func(i, r string) claimant { return takesOverClaim{NewAttempt(i, r)} },
		"releasesAfterDispatch": func(i, r string) claimant { return releasesAfterDispatch{NewAttempt(i, r)} },
		"dispatchesAfterCancel": func(i, r string) claimant { return dispatchesAfterCancel{NewAttempt(i, r)} },
		"dispatchesTwice":       func(i, r string) claimant { return dispatchesTwice{NewAttempt(i, r)} },
		"unknownBecomesNotRun":  func(i, r string) claimant { return unknownBecomesNotRun{NewAttempt(i, r)} },
		"alwaysComplete":        func(i, r string) claimant { return alwaysComplete{NewAttempt(i, r)} },
	}
	for name, build := range mutants {
		if !fails(t, attemptProperty(build)) {
			t.Errorf("the property holds for mutant %s", name)
		}
	}
}

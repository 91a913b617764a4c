package deduplicator

import "github.com/cockroachdb/errors"

// ErrNotClaimed is returned by Dispatch when the attempt must not run.
var ErrNotClaimed = errors.New("the attempt does not hold the claim")

// maxTries bounds the inserts of one attempt plus its repeats of failed reads.
const maxTries = 5

// Action is what the driver of an attempt does next.
type Action int

// Actions of an attempt.
const (
	// ActionNone: do nothing.
	ActionNone Action = iota
	// ActionClaim: insert Record() on condition that the row is absent, then
	// call Claimed.
	ActionClaim
	// ActionRead: read the row, then call Read.
	ActionRead
	// ActionDispatch: call Dispatch to run the request; the claim is held.
	ActionDispatch
	// ActionReply: answer the caller according to Verdict().
	ActionReply
	// ActionRelease: delete the row if it is still this attempt's claim.
	ActionRelease
	// ActionStore: put Record() if the row is still this attempt's claim.
	ActionStore
)

// ClaimResult is the result of the insert.
type ClaimResult int

// Results of ActionClaim.
const (
	// ClaimTaken: the row was inserted.
	ClaimTaken ClaimResult = iota
	// ClaimConflict: a row exists already.
	ClaimConflict
	// ClaimUnavailable: the insert did not take effect and never will.
	ClaimUnavailable
	// ClaimUnknown: the insert may have taken effect, or may do so later.
	ClaimUnknown
)

// ReadResult is the result of a read. A read may be stale.
type ReadResult int

// Results of ActionRead.
const (
	// ReadFound: the row exists.
	ReadFound ReadResult = iota
	// ReadAbsent: there is no row.
	ReadAbsent
	// ReadFailed: the row could not be read.
	ReadFailed
)

// state is the state of an Attempt.
type state int

const (
	stateNew state = iota
	stateClaiming
	stateReading
	stateClaimed
	stateDispatched
	stateFinished
	// stateEnded: the attempt got a verdict or was cancelled; it never runs.
	stateEnded
)

// Attempt is one try to run the request of a key. It is not safe for
// concurrent use.
type Attempt struct {
	state       state
	record      Record
	verdict     Verdict
	foundRecord Record
	// tries counts inserts and repeats of failed reads.
	tries int
	// mayTakeEffect is true once the result of an insert was unknown, so that the
	// claim may exist. Cancel then releases it.
	mayTakeEffect bool
	// insertConflicted is true when the last insert found a row.
	insertConflicted bool
}

// NewAttempt returns an attempt that has not started. id is unique among all
// attempts of the fleet; request is a hash of the request.
func NewAttempt(id, request string) *Attempt {
	return &Attempt{record: Record{Attempt: id, Request: request}}
}

// Record returns the value of the claim row to write.
func (a *Attempt) Record() Record { return a.record }

// Verdict returns the reason for which the attempt must not run, after ActionReply.
func (a *Attempt) Verdict() Verdict { return a.verdict }

// Found returns the record of the earlier attempt that led to the verdict; it is
// empty for VerdictUnavailable and when the row could not be read.
func (a *Attempt) Found() Record { return a.foundRecord }

// Start starts the attempt.
func (a *Attempt) Start() Action {
	if a.state != stateNew {
		return ActionNone
	}
	return a.tryClaim()
}

// tryClaim returns ActionClaim while tries are left.
func (a *Attempt) tryClaim() Action {
	if a.tries >= maxTries {
		return a.replyUnclaimed()
	}
	a.tries++
	a.state = stateClaiming
	return ActionClaim
}

// replyUnclaimed ends an attempt that has no tries left and does not know whether
// it holds the claim.
func (a *Attempt) replyUnclaimed() Action {
	if a.insertConflicted {
		// A row exists but could not be read.
		return a.endWithVerdict(VerdictClaimed)
	}
	return a.endWithVerdict(VerdictUnavailable)
}

// endWithVerdict ends the attempt without a run.
func (a *Attempt) endWithVerdict(v Verdict) Action {
	a.state, a.verdict = stateEnded, v
	return ActionReply
}

// Claimed handles the result of ActionClaim. A claim that is made after the attempt
// has ended is released.
func (a *Attempt) Claimed(r ClaimResult) Action {
	if a.state != stateClaiming {
		if a.state == stateEnded && r == ClaimTaken {
			return ActionRelease
		}
		return ActionNone
	}
	a.insertConflicted = r == ClaimConflict
	switch r {
	case ClaimTaken:
		a.state = stateClaimed
		return ActionDispatch
	case ClaimUnavailable:
		return a.endWithVerdict(VerdictUnavailable)
	case ClaimUnknown:
		a.mayTakeEffect = true
	case ClaimConflict:
	}
	a.state = stateReading
	return ActionRead
}

// Read handles the result of ActionRead. A row with this attempt's ID proves that
// the claim succeeded. An absent row proves nothing, because an insert with unknown
// result can still take effect; inserting again with the same ID is safe.
func (a *Attempt) Read(r ReadResult, found Record) Action {
	if a.state != stateReading {
		return ActionNone
	}
	switch {
	case r == ReadFound && found.Attempt == a.record.Attempt:
		a.state = stateClaimed
		return ActionDispatch
	case r == ReadFound:
		a.foundRecord = found
		return a.endWithVerdict(found.verdictFor(a.record.Request))
	case r == ReadAbsent:
		return a.tryClaim()
	case a.tries >= maxTries:
		return a.replyUnclaimed()
	default:
		a.tries++
		return ActionRead
	}
}

// Dispatch permits the single run of the request. It returns ErrNotClaimed if the
// attempt does not hold the claim or has already been dispatched.
func (a *Attempt) Dispatch() error {
	if a.state != stateClaimed {
		return ErrNotClaimed
	}
	a.state = stateDispatched
	return nil
}

// Dispatched reports whether Dispatch has permitted the run, so that the request may
// have run.
func (a *Attempt) Dispatched() bool { return a.state == stateDispatched || a.state == stateFinished }

// Cancel ends the attempt before its dispatch and releases a claim that exists or
// may exist. After the dispatch it does nothing, because the claim must stay.
func (a *Attempt) Cancel() Action {
	mayHold := a.state == stateClaiming || a.state == stateReading || a.state == stateClaimed || a.mayTakeEffect
	if a.Dispatched() {
		return ActionNone
	}
	a.state = stateEnded
	if mayHold {
		return ActionRelease
	}
	return ActionNone
}

// Finish handles the end of the run. answer is nil if it is incomplete or too large.
func (a *Attempt) Finish(o Outcome, answer *Answer) Action {
	if a.state != stateDispatched {
		return ActionNone
	}
	a.state = stateFinished
	a.record = a.record.withOutcome(o, answer)
	return ActionStore
}

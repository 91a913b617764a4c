package deduplicator

import "github.com/cockroachdb/errors"

// ErrNotClaimed is returned by Dispatch when the attempt must not run.
var ErrNotClaimed = errors.New("the attempt does not hold the claim")

// maximumTries bounds the inserts and reads of one attempt.
const maximumTries = 5

// Action is what the driver does next.
type Action int

// Actions of an attempt.
const (
	// ActionNone: nothing to do.
	ActionNone Action = iota
	// ActionClaim: insert Record() on condition that the row is absent, then
	// call Claimed.
	ActionClaim
	// ActionRead: read the row, then call Read.
	ActionRead
	// ActionDispatch: the claim is held; Dispatch may be called.
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
	ClaimTaken ClaimResult = iota
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
	ReadFound ReadResult = iota
	ReadAbsent
	ReadFailed
)

type state int

const (
	stateNew state = iota
	stateClaiming
	stateReading
	stateClaimed
	stateDispatched
	stateFinished
	// stateEnded: rejected, replayed or released; the attempt never runs.
	stateEnded
)

// Attempt is one try to run the request of a key. It is not safe for
// concurrent use.
type Attempt struct {
	state   state
	record  Record
	verdict Verdict
	found   Record
	tries   int
	// lost is true once an insert may take effect without this attempt's
	// knowledge; such a claim is released when the attempt ends.
	lost bool
	// conflict is true when the last insert found a row.
	conflict bool
}

// NewAttempt returns an attempt. id is unique among all attempts of the fleet;
// request is a hash of the request.
func NewAttempt(id, request string) *Attempt {
	return &Attempt{record: Record{Attempt: id, Request: request}}
}

// Record returns the value of the claim row to write.
func (a *Attempt) Record() Record { return a.record }

// Verdict says why the attempt must not run, after ActionReply.
func (a *Attempt) Verdict() Verdict { return a.verdict }

// Found is the record of the earlier attempt that led to the verdict.
func (a *Attempt) Found() Record { return a.found }

// Start begins the attempt.
func (a *Attempt) Start() Action {
	if a.state != stateNew {
		return ActionNone
	}
	return a.claim()
}

func (a *Attempt) claim() Action {
	if a.tries >= maximumTries {
		return a.giveUp()
	}
	a.tries++
	a.state = stateClaiming
	return ActionClaim
}

// giveUp ends an attempt whose claim could not be settled.
func (a *Attempt) giveUp() Action {
	if a.conflict {
		// A row exists but could not be read.
		return a.reply(VerdictClaimed)
	}
	return a.reply(VerdictUnavailable)
}

func (a *Attempt) reply(v Verdict) Action {
	a.state, a.verdict = stateEnded, v
	return ActionReply
}

// Claimed takes the result of an insert. An insert that succeeds after the
// attempt has ended is released.
func (a *Attempt) Claimed(r ClaimResult) Action {
	if a.state != stateClaiming {
		if a.state == stateEnded && r == ClaimTaken {
			return ActionRelease
		}
		return ActionNone
	}
	a.conflict = r == ClaimConflict
	switch r {
	case ClaimTaken:
		a.state = stateClaimed
		return ActionDispatch
	case ClaimUnavailable:
		return a.reply(VerdictUnavailable)
	case ClaimUnknown:
		a.lost = true
	case ClaimConflict:
	}
	a.state = stateReading
	return ActionRead
}

// Read takes the result of reading the row back. A row with this attempt's id
// proves that the claim succeeded. An absent row proves nothing, because a lost
// insert can still take effect; inserting again with the same id is safe.
func (a *Attempt) Read(r ReadResult, found Record) Action {
	if a.state != stateReading {
		return ActionNone
	}
	switch {
	case r == ReadFound && found.Attempt == a.record.Attempt:
		a.state = stateClaimed
		return ActionDispatch
	case r == ReadFound:
		a.found = found
		return a.reply(found.verdict(a.record.Request))
	case r == ReadAbsent:
		return a.claim()
	case a.tries >= maximumTries:
		return a.giveUp()
	default:
		a.tries++
		return ActionRead
	}
}

// Dispatch permits the one run. It returns ErrNotClaimed if the attempt does
// not hold the claim or has already been dispatched.
func (a *Attempt) Dispatch() error {
	if a.state != stateClaimed {
		return ErrNotClaimed
	}
	a.state = stateDispatched
	return nil
}

// Dispatched tells whether the request may have run.
func (a *Attempt) Dispatched() bool { return a.state == stateDispatched || a.state == stateFinished }

// Cancel gives the attempt up. Before dispatch it releases a claim that exists
// or may exist; after dispatch it does nothing, because the claim must stay.
func (a *Attempt) Cancel() Action {
	mayHold := a.state == stateClaiming || a.state == stateReading || a.state == stateClaimed || a.lost
	if a.Dispatched() {
		return ActionNone
	}
	a.state = stateEnded
	if mayHold {
		return ActionRelease
	}
	return ActionNone
}

// Finish takes the end of the run. answer is nil if it is not whole or too large.
func (a *Attempt) Finish(o Outcome, answer *Answer) Action {
	if a.state != stateDispatched {
		return ActionNone
	}
	a.state = stateFinished
	a.record = a.record.finished(o, answer)
	return ActionStore
}

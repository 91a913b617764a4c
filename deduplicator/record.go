package deduplicator

// Outcome is what is known about the run of a request.
type Outcome string

// Outcomes, as reported to callers.
const (
	// OutcomeComplete: the request has run.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun: the request has not run.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// MaximumAnswer is the largest answer body that a record keeps, in bytes.
const MaximumAnswer = 64 << 10

// Answer is an answer of a target that is kept for repeats of the request.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// Record is the value of a claim row.
type Record struct {
	// Attempt is the ID of the attempt that made the claim.
	Attempt string `json:"attempt"`
	// Request is a hash of the request. It prevents that a different request with
	// the same key gets this one's answer.
	Request string `json:"request"`
	// Done is false until the outcome is known.
	Done    bool    `json:"done"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Answer is nil when it was too large or incomplete, or is no longer kept.
	Answer *Answer `json:"answer,omitempty"`
}

// Verdict is the reason for which an attempt must not run the request.
type Verdict int

// Verdicts of an attempt.
const (
	// VerdictNone: there is no reason; for an Attempt, none is known yet.
	VerdictNone Verdict = iota
	// VerdictReplay: the request has run and Record.Answer is its answer.
	VerdictReplay
	// VerdictAnswerNotKept: the request has run; its answer is not kept.
	VerdictAnswerNotKept
	// VerdictClaimed: another attempt holds the claim; its outcome is not known.
	VerdictClaimed
	// VerdictUnknown: an earlier attempt ended with an unknown outcome.
	VerdictUnknown
	// VerdictRefusedBefore: an earlier attempt was refused by the target before it ran.
	VerdictRefusedBefore
	// VerdictKeyReused: the key belongs to a different request.
	VerdictKeyReused
	// VerdictUnavailable: the claim could not be made. This attempt will not run,
	// but an earlier one may have, so the outcome of the request is unknown.
	VerdictUnavailable
)

// Outcome returns the outcome that callers are told with the verdict.
func (v Verdict) Outcome() Outcome {
	switch v {
	case VerdictReplay, VerdictAnswerNotKept:
		return OutcomeComplete
	case VerdictRefusedBefore, VerdictKeyReused:
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// verdictFor returns the verdict on an attempt to run request that finds r.
func (r Record) verdictFor(request string) Verdict {
	switch {
	case r.Request != request:
		return VerdictKeyReused
	case !r.Done:
		return VerdictClaimed
	case r.Answer != nil:
		return VerdictReplay
	case r.Outcome == OutcomeComplete:
		return VerdictAnswerNotKept
	case r.Outcome == OutcomeNotRun:
		return VerdictRefusedBefore
	default:
		return VerdictUnknown
	}
}

// withOutcome returns the record completed with the outcome of the run. It drops
// an answer that is larger than MaximumAnswer.
func (r Record) withOutcome(o Outcome, a *Answer) Record {
	if a != nil && len(a.Body) > MaximumAnswer {
		a = nil
	}
	r.Done, r.Outcome, r.Answer = true, o, a
	return r
}

package deduplicator

// Outcome is what is known about a run.
type Outcome string

// Outcomes, as reported to callers.
const (
	OutcomeComplete Outcome = "complete"
	OutcomeNotRun   Outcome = "notRun"
	OutcomeUnknown  Outcome = "unknown"
)

// MaximumAnswer is the largest answer body that a record keeps, in bytes.
const MaximumAnswer = 64 << 10

// Answer is an answer kept for repeats.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}

// Record is the value of a claim row.
type Record struct {
	// Attempt is the id of the attempt that made the claim.
	Attempt string `json:"attempt"`
	// Request is a hash of the request, so that a key used for another request
	// does not get this one's answer.
	Request string `json:"request"`
	// Done is false until the outcome is known.
	Done    bool    `json:"done"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Answer is nil when it was too large, not whole or is no longer kept.
	Answer *Answer `json:"answer,omitempty"`
}

// Verdict is why an attempt must not run, or that its answer is known.
type Verdict int

// Verdicts of an attempt.
const (
	// VerdictNone: there is no verdict yet.
	VerdictNone Verdict = iota
	// VerdictReplay: the request has run and Answer is its answer.
	VerdictReplay
	// VerdictNotKept: the request has run; its answer is not kept.
	VerdictNotKept
	// VerdictClaimed: another attempt has the claim; its outcome is not known.
	VerdictClaimed
	// VerdictUnknown: an earlier attempt ended with an unknown outcome.
	VerdictUnknown
	// VerdictSpent: an earlier attempt was refused by the target before it ran.
	VerdictSpent
	// VerdictReused: the key belongs to a different request.
	VerdictReused
	// VerdictUnavailable: the claim could not be made; this attempt will not run,
	// but an earlier one may have, so that the outcome of the request is unknown.
	VerdictUnavailable
)

// Outcome is what the verdict says about the request.
func (v Verdict) Outcome() Outcome {
	switch v {
	case VerdictReplay, VerdictNotKept:
		return OutcomeComplete
	case VerdictSpent, VerdictReused:
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// verdict is what a repeat of request is told when it finds r.
func (r Record) verdict(request string) Verdict {
	switch {
	case r.Request != request:
		return VerdictReused
	case !r.Done:
		return VerdictClaimed
	case r.Answer != nil:
		return VerdictReplay
	case r.Outcome == OutcomeComplete:
		return VerdictNotKept
	case r.Outcome == OutcomeNotRun:
		return VerdictSpent
	default:
		return VerdictUnknown
	}
}

// finished returns the record of a run that has ended.
func (r Record) finished(o Outcome, a *Answer) Record {
	if a != nil && len(a.Body) > MaximumAnswer {
		a = nil
	}
	r.Done, r.Outcome, r.Answer = true, o, a
	return r
}

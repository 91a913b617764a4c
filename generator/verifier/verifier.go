// Package verifier compares the answers to callers with the executions recorded by
// the targets.
package verifier

import (
	"fmt"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/generator/loader"
)

// Counts counts the requests by outcome and by fault. In a correct fleet Wrong,
// Duplicated and FalseNotRun are 0.
type Counts struct {
	// Completed, NotRun and Unknown count the requests with that final outcome.
	Completed int
	NotRun    int
	Unknown   int
	// Unsent counts the requests for which no router could be reached.
	Unsent int
	// Wrong counts the answers that are incomplete, belong to another request,
	// contradict their outcome, or report completion without a complete execution.
	Wrong int
	// Duplicated counts the runs beyond the first of non-repeatable requests.
	Duplicated int
	// Broken counts the requests whose connection broke before the router stated an
	// outcome.
	Broken int
	// FalseNotRun counts the requests that a target ran although every attempt was
	// reported as not run or was never sent.
	FalseNotRun int
	// ByOutcome counts the requests by outcome and HTTP status, as "outcome/status".
	ByOutcome map[string]int
	// Findings describes the first maxFindings faults.
	Findings []string
}

const maxFindings = 20

// Compare compares the results of callers with the executions of the targets.
func Compare(results []loader.Result, executions []oracle.Execution) Counts {
	runs := map[string]int{}
	complete := map[string]bool{}
	for _, e := range executions {
		runs[e.CallerRequestID]++
		if e.State == oracle.StateComplete {
			complete[e.CallerRequestID] = true
		}
	}
	c := Counts{ByOutcome: map[string]int{}}
	for _, r := range results {
		c.add(r, runs[r.ID], complete[r.ID])
	}
	return c
}

func (c *Counts) add(r loader.Result, runs int, ran bool) {
	c.ByOutcome[fmt.Sprintf("%s/%d", r.Outcome, r.Status)]++
	switch r.Outcome {
	case loader.OutcomeComplete:
		c.Completed++
	case loader.OutcomeNotRun:
		c.NotRun++
	case loader.OutcomeUnknown:
		c.Unknown++
	case loader.OutcomeUnsent:
		c.Unsent++
	}
	switch {
	case r.Wrong != nil:
		c.Wrong++
		c.find("wrong: " + r.Wrong.Error())
	case r.Outcome == loader.OutcomeComplete && r.Status == 200 && !ran:
		c.Wrong++
		c.find("wrong: " + r.ID + " was reported complete without a complete execution")
	}
	if r.Broken {
		c.Broken++
		c.find(fmt.Sprintf("broken: %s at %s after %v: %v", r.ID, r.Router, r.End.Sub(r.Start), r.Cause))
	}
	if !r.Repeatable && runs > 1 {
		c.Duplicated += runs - 1
		c.find("duplicated: " + r.ID)
	}
	if runs > 0 && neverRan(r.Outcomes) {
		c.FalseNotRun++
		c.find("falseNotRun: " + r.ID)
	}
}

func (c *Counts) find(text string) {
	if len(c.Findings) < maxFindings {
		c.Findings = append(c.Findings, text)
	}
}

// neverRan reports whether every attempt was reported as not run or was never sent.
func neverRan(outcomes []loader.Outcome) bool {
	for _, o := range outcomes {
		if o != loader.OutcomeNotRun && o != loader.OutcomeUnsent {
			return false
		}
	}
	return len(outcomes) > 0
}

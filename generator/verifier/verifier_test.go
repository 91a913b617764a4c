package verifier

import (
	"testing"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/generator/loader"
)

// Guards against a comparison that misses a fault or reports one in a correct run:
// each kind of fault must be counted, and nothing else.
func TestCompareCountsEachFault(t *testing.T) {
	const complete, notRun, unknown = loader.OutcomeComplete, loader.OutcomeNotRun, loader.OutcomeUnknown
	ran := oracle.Execution{CallerRequestID: "r", State: oracle.StateComplete}
	cut := oracle.Execution{CallerRequestID: "r", State: oracle.StateAborted}
	for name, test := range map[string]struct {
		result                         loader.Result
		runs                           []oracle.Execution
		wrong, duplicated, falseNotRun int
	}{
		"correct":                     {loader.Result{Outcome: complete, Status: 200}, []oracle.Execution{ran}, 0, 0, 0},
		"complete without a run":      {loader.Result{Outcome: complete, Status: 200}, nil, 1, 0, 0},
		"complete after a cut run":    {loader.Result{Outcome: complete, Status: 200}, []oracle.Execution{cut}, 1, 0, 0},
		"wrong answer":                {loader.Result{Outcome: complete, Status: 200, Wrong: errors.New("x")}, []oracle.Execution{ran}, 1, 0, 0},
		"not run but ran":             {loader.Result{Outcome: notRun, Outcomes: []loader.Outcome{notRun}}, []oracle.Execution{cut}, 0, 0, 1},
		"not run after an unknown":    {loader.Result{Outcome: notRun, Outcomes: []loader.Outcome{unknown, notRun}}, []oracle.Execution{ran}, 0, 0, 0},
		"unknown and ran":             {loader.Result{Outcome: unknown, Outcomes: []loader.Outcome{unknown}}, []oracle.Execution{ran}, 0, 0, 0},
		"ran twice":                   {loader.Result{Outcome: complete, Status: 200}, []oracle.Execution{cut, ran, ran}, 0, 2, 0},
		"repeatable and ran twice":    {loader.Result{Outcome: complete, Status: 200, Repeatable: true}, []oracle.Execution{cut, ran}, 0, 0, 0},
		"not run and did not run":     {loader.Result{Outcome: notRun, Outcomes: []loader.Outcome{notRun, notRun}}, nil, 0, 0, 0},
		"unsent and ran all the same": {loader.Result{Outcome: loader.OutcomeUnsent, Outcomes: []loader.Outcome{loader.OutcomeUnsent}}, []oracle.Execution{ran}, 0, 0, 1},
	} {
		test.result.ID = "r"
		c := Compare([]loader.Result{test.result}, test.runs)
		if c.Wrong != test.wrong || c.Duplicated != test.duplicated || c.FalseNotRun != test.falseNotRun {
			t.Errorf("%s: %+v", name, c)
		}
	}
}

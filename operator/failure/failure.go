// Package failure holds the exit codes of the operators' tool and the errors
// that say what failed and what to do.
package failure

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/provider"
	"monsoondeck.example/provider/committer"
)

// Exit codes.
const (
	CodeDone         = 0
	CodeFailed       = 1
	CodeUsage        = 2
	CodeConflict     = 3
	CodeNotPermitted = 4
	CodeUnknown      = 5
)

// Failure is an error for an operator.
type Failure struct {
	Code int
	// What says in one line what failed.
	What string
	// Do says in one line what to do.
	Do string
}

// New returns a Failure.
func New(code int, what, do string) *Failure { return &Failure{Code: code, What: what, Do: do} }

// Usage returns a Failure for a wrong call.
func Usage(what, do string) *Failure { return New(CodeUsage, what, do) }

// Error returns both lines.
func (f *Failure) Error() string { return oneLine(f.What) + "\n" + oneLine(f.Do) }

func oneLine(s string) string { return strings.ReplaceAll(strings.TrimSpace(s), "\n", "; ") }

// Of returns the Failure for any error.
func Of(err error) *Failure {
	var f *Failure
	switch {
	case errors.As(err, &f):
		return f
	case errors.Is(err, provider.ErrConflict):
		return New(CodeConflict, err.Error(), "Look at the change with 'sheet history', then run the command again.")
	case errors.Is(err, provider.ErrUnknown):
		return New(CodeUnknown, err.Error(), "The change may be in force or come into force. Look for its ID with 'sheet history' before trying again.")
	case errors.Is(err, committer.ErrDamaged):
		return New(CodeFailed, err.Error(), "Restore the object store or the change rows of the table service; daemons go on with the configuration in memory.")
	case errors.Is(err, provider.ErrUnavailable):
		return New(CodeFailed, "platform is unavailable, nothing was changed: "+err.Error(), "Check the table service and try again later.")
	case errors.Is(err, context.Canceled):
		return New(CodeFailed, "interrupted", "Run the command again.")
	}
	return New(CodeFailed, fmt.Sprint(err), "Check the settings and try again.")
}

// Package failure contains the exit codes of monsoonctl and errors that say what
// failed and what to do about it.
package failure

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/provider"
	"monsoondeck.example/provider/committer"
)

// Exit codes of monsoonctl. CodeFailed means any failure without a code of its own,
// CodeUsage wrong arguments or settings, CodeConflict a change by somebody else,
// CodeNotPermitted a wrong key, a missing role or removals that need confirmation by
// name, and CodeUnknown a change that may or may not have taken effect.
const (
	CodeSuccess      = 0
	CodeFailed       = 1
	CodeUsage        = 2
	CodeConflict     = 3
	CodeNotPermitted = 4
	CodeUnknown      = 5
)

// Failure is an error that is shown to an operator.
type Failure struct {
	// Code is the exit code.
	Code int
	// What says in one line what failed.
	What string
	// Advice says in one line what to do.
	Advice string
}

// New returns a Failure with an exit code.
func New(code int, what, advice string) *Failure {
	return &Failure{Code: code, What: what, Advice: advice}
}

// Usage returns a Failure for wrong arguments or settings.
func Usage(what, advice string) *Failure { return New(CodeUsage, what, advice) }

// Error returns two lines: what failed, and what to do.
func (f *Failure) Error() string { return oneLine(f.What) + "\n" + oneLine(f.Advice) }

// oneLine replaces line breaks by semicolons.
func oneLine(s string) string { return strings.ReplaceAll(strings.TrimSpace(s), "\n", "; ") }

// Of returns the Failure for an error: the one in its chain, or a new one that
// depends on the kind of the error.
func Of(err error) *Failure {
	var f *Failure
	switch {
	case errors.As(err, &f):
		return f
	case errors.Is(err, provider.ErrConflict):
		return New(CodeConflict, err.Error(), "Look at the change with 'sheet history', then run the command again.")
	case errors.Is(err, provider.ErrUnknown):
		return New(CodeUnknown, err.Error(), "The change may have taken effect or may still do so. Look for its ID with 'sheet history' before trying again.")
	case errors.Is(err, committer.ErrDamaged):
		return New(CodeFailed, err.Error(), "Restore the object store or the change rows of the table service; daemons continue with the configuration in memory.")
	case errors.Is(err, provider.ErrUnavailable):
		return New(CodeFailed, "platform is unavailable, nothing was changed: "+err.Error(), "Check the table service and try again later.")
	case errors.Is(err, context.Canceled):
		return New(CodeFailed, "interrupted", "Run the command again.")
	}
	return New(CodeFailed, fmt.Sprint(err), "Check the settings and try again.")
}

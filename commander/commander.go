// Package commander parses the flags of a command, reports its errors in the
// same form for all commands and prints results as JSON lines.
package commander

import (
	"encoding/json"
	"fmt"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"monsoondeck.example/logger"
)

// Exit codes of commands.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Command is one command of a program.
type Command struct {
	// Name is what the caller typed, such as "monsoonload bench".
	Name    string
	Streams logger.Streams
}

// Parse fills the options from the arguments. It reports false where the
// command must end with the exit code: after the usage text was asked for, or
// after an error, which it has printed.
func (c Command) Parse(args []string, options any) (code int, ok bool) {
	p, err := arg.NewParser(arg.Config{Program: c.Name, Out: c.Streams.Err}, options)
	if err != nil {
		return c.Fail(ExitFailed, err), false
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(c.Streams.Out)
		return ExitDone, false
	case err != nil:
		return c.Fail(ExitUsage, err), false
	}
	return ExitDone, true
}

// Fail prints what failed and what to do, and returns the exit code.
func (c Command) Fail(code int, err error) int {
	// A failed write to the error stream cannot be reported anywhere.
	_, _ = fmt.Fprintf(c.Streams.Err, "%s: %v\nRun %s --help for its flags.\n", c.Name, err, c.Name)
	return code
}

// Print writes one JSON line for each value and returns the exit code.
func Print[T any](c Command, values []T) int {
	e := json.NewEncoder(c.Streams.Out)
	for _, v := range values {
		if err := e.Encode(v); err != nil {
			return c.Fail(ExitFailed, err)
		}
	}
	return ExitDone
}

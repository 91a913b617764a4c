// Package commander parses the flags of a command, prints its errors in a form common
// to all commands, and prints its results as JSON lines.
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

// Command is one command of a program, with its standard streams.
type Command struct {
	// Name is the command as the user types it, such as "monsoonload bench".
	Name    string
	Streams logger.Streams
}

// Parse sets the options, a pointer to a go-arg struct, from the arguments. It reports
// false if the command must exit with the code: after it has printed the help text or
// an error.
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

// Fail prints the error and a hint to the help text, and returns the exit code.
func (c Command) Fail(code int, err error) int {
	// A failed write to the error stream cannot be reported anywhere.
	_, _ = fmt.Fprintf(c.Streams.Err, "%s: %v\nRun %s --help for its flags.\n", c.Name, err, c.Name)
	return code
}

// Print writes each value to standard output as a JSON line and returns the exit code.
func Print[T any](c Command, values []T) int {
	e := json.NewEncoder(c.Streams.Out)
	for _, v := range values {
		if err := e.Encode(v); err != nil {
			return c.Fail(ExitFailed, err)
		}
	}
	return ExitDone
}

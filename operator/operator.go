// Package operator implements monsoonctl, the operators' command-line tool.
package operator

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"golang.org/x/term"

	"monsoondeck.example/logger"
	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/session"
	"monsoondeck.example/provider"
	"monsoondeck.example/provider/committer"
)

const program = "monsoonctl"

// command is implemented by the Options of every command package.
type command interface {
	Run(ctx context.Context, s *session.Session) error
}

// Run runs one command and returns the exit code, see package failure. env contains
// "NAME=value" pairs.
func Run(args, env []string, streams logger.Streams) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := run(ctx, args, env, streams)
	if err == nil {
		return failure.CodeSuccess
	}
	f := failure.Of(err)
	// A failed write to standard error cannot be reported anywhere.
	_, _ = fmt.Fprintln(streams.Err, f.Error())
	return f.Code
}

func run(ctx context.Context, args, env []string, streams logger.Streams) error {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: program, IgnoreEnv: true, Out: streams.Err, Exit: func(int) {}}, &a)
	if err != nil {
		return errors.Wrap(err, "set up argument parser")
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		return p.WriteHelpForSubcommand(streams.Out, p.SubcommandNames()...)
	case err != nil:
		return usageFailure(p, err.Error())
	}
	c, ok := p.Subcommand().(command)
	if !ok {
		return usageFailure(p, "no command is given")
	}
	a.fill(env)
	return c.Run(ctx, newSession(a, lookup(env, "MONSOONDECK_OPERATOR_KEY"), streams))
}

// usageFailure returns a failure that refers to the help of the subcommand.
func usageFailure(p *arg.Parser, what string) error {
	commandLine := append([]string{program}, p.SubcommandNames()...)
	return failure.Usage(what, "See '"+strings.Join(commandLine, " ")+" --help'.")
}

// newSession returns a session with the settings; a.fill must have been called.
func newSession(a arguments, key string, streams logger.Streams) *session.Session {
	s := &session.Session{
		Settings: session.Settings{Operator: a.Operator, Key: key, Timeout: a.Timeout, Daemons: splitList(a.Daemons)},
		Streams:  streams, OutTerminal: isTerminal(streams.Out), InTerminal: isTerminal(streams.In),
	}
	client := &http.Client{Transport: http.DefaultTransport}
	s.Factory = session.Factory{
		HTTP: func() *http.Client { return client },
		Store: func() (session.Store, error) {
			if a.TableURL == "" || a.ObjectsURL == "" {
				return nil, failure.Usage("the addresses of the platform are not set",
					"Set --table-url and --objects-url, or MONSOONDECK_TABLE_URL and MONSOONDECK_OBJECTS_URL.")
			}
			return committer.New(committer.Options{
				Table:   provider.NewTable(provider.Options{URL: a.TableURL, Timeout: a.Timeout, Client: client}),
				Objects: provider.NewObjects(provider.Options{URL: a.ObjectsURL, Timeout: a.Timeout, Client: client}),
				Now:     time.Now,
				Warn:    func(err error) { s.Progress("warning: %v", err) },
			}), nil
		},
	}
	return s
}

func isTerminal(stream any) bool {
	file, ok := stream.(*os.File)
	return ok && term.IsTerminal(int(file.Fd()))
}

// splitList splits a list at commas and spaces.
func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}

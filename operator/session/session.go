// Package session provides what every command of monsoonctl needs: settings,
// clients, streams, sign-in and confirmation.
package session

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"monsoondeck.example/configurer"
	"monsoondeck.example/logger"
	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/provider/committer"
)

// Settings are the settings from flags and environment variables.
type Settings struct {
	// Daemons are the addresses of the daemons' admin listeners.
	Daemons []string
	// Operator and Key are the name and the key that the operator signs in with.
	Operator, Key string
	// Timeout bounds each request to a daemon.
	Timeout time.Duration
}

// Store reads and commits the configuration; *committer.Committer implements it.
type Store interface {
	Load(ctx context.Context) (configurer.Config, error)
	Changes(ctx context.Context, after uint64) ([]configurer.Delta, error)
	Commit(ctx context.Context, from configurer.Config, d configurer.Delta, action string) (configurer.Config, configurer.Delta, error)
	History(ctx context.Context, limit int) ([]committer.Record, error)
	Note(ctx context.Context, r committer.Record)
}

// Factory creates clients when a command needs them, so that commands that only
// read files work without the addresses of the platform.
type Factory struct {
	Store func() (Store, error)
	HTTP  func() *http.Client
}

// Session is the context of one invocation of monsoonctl.
type Session struct {
	Settings Settings
	Factory  Factory
	Streams  logger.Streams
	// OutTerminal and InTerminal report whether standard output and standard input
	// are terminals.
	OutTerminal, InTerminal bool
}

// Printer returns a printer of results to standard output.
func (s *Session) Printer() printer.Printer {
	return printer.Printer{Out: s.Streams.Out, Terminal: s.OutTerminal}
}

// Progress prints a message to standard error.
func (s *Session) Progress(format string, values ...any) {
	// A failed write to standard error cannot be reported anywhere.
	_, _ = fmt.Fprintf(s.Streams.Err, format+"\n", values...)
}

// Confirm asks the operator whether to continue, and returns a failure unless the
// response is "yes". It does not ask if yes is set, and fails if there is no
// terminal to ask on.
func (s *Session) Confirm(ctx context.Context, question string, yes bool) error {
	if yes {
		return nil
	}
	if !s.InTerminal {
		return failure.Usage("this needs confirmation, and there is no terminal to ask on", "Check what is listed above, then add --yes.")
	}
	_, _ = fmt.Fprintf(s.Streams.Err, "%s Type yes to continue: ", question)
	responses := make(chan string, 1)
	go func() { // a read from a terminal cannot be interrupted
		response, _ := bufio.NewReader(s.Streams.In).ReadString('\n') // on an error, an empty response counts as no
		responses <- strings.TrimSpace(response)
	}()
	select {
	case <-ctx.Done():
	case response := <-responses:
		if response == "yes" {
			return nil
		}
	}
	return failure.New(failure.CodeFailed, "not confirmed, nothing was changed", "Run the command again and type yes.")
}

// Commit commits a change with the operator as its author. After a conflict it
// prints the changes of others.
func (s *Session) Commit(ctx context.Context, store Store, from configurer.Config, d configurer.Delta, action string) (configurer.Config, error) {
	d.Author = s.Settings.Operator
	next, d, err := store.Commit(ctx, from, d, action)
	if err != nil {
		s.printConflict(err)
		return from, err
	}
	s.Progress("version %d is accepted (change %s)", next.Version(), d.ID)
	return next, nil
}

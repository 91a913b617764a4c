// Package session holds what every command of the operators' tool needs:
// settings, clients, clock, streams, sign-in and confirmation.
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

// Settings are flags and environment variables.
type Settings struct {
	// Daemons are the addresses of the daemons' admin listeners.
	Daemons []string
	// Operator and Key are the named key that the operator signs in with.
	Operator, Key string
	// Timeout bounds each call of a daemon.
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

// Factory makes the clients when a command needs them, so that commands which
// work on files alone need no settings of the platform.
type Factory struct {
	Store func() (Store, error)
	HTTP  func() *http.Client
}

// Session is one call of the tool.
type Session struct {
	Settings Settings
	Factory  Factory
	Streams  logger.Streams
	// OutTerminal and InTerminal tell whether a person reads and answers.
	OutTerminal, InTerminal bool
}

// Printer prints results to standard output.
func (s *Session) Printer() printer.Printer {
	return printer.Printer{Out: s.Streams.Out, Terminal: s.OutTerminal}
}

// Progress prints a line for the person at the terminal to standard error.
func (s *Session) Progress(format string, values ...any) {
	// Nobody could be told about a failed write.
	_, _ = fmt.Fprintf(s.Streams.Err, format+"\n", values...)
}

// Confirm asks whether to go on. Without a terminal it refuses unless yes is set.
func (s *Session) Confirm(ctx context.Context, question string, yes bool) error {
	if yes {
		return nil
	}
	if !s.InTerminal {
		return failure.Usage("this needs confirmation, and there is no terminal to ask on", "Check what is listed above, then add --yes.")
	}
	_, _ = fmt.Fprintf(s.Streams.Err, "%s Type yes to go on: ", question)
	answers := make(chan string, 1)
	go func() { // a read from a terminal cannot be interrupted
		answer, _ := bufio.NewReader(s.Streams.In).ReadString('\n') // an empty answer is no
		answers <- strings.TrimSpace(answer)
	}()
	select {
	case <-ctx.Done():
	case answer := <-answers:
		if answer == "yes" {
			return nil
		}
	}
	return failure.New(failure.CodeFailed, "not confirmed, nothing was changed", "Run the command again and type yes.")
}

// Commit commits a change in the name of the operator.
func (s *Session) Commit(ctx context.Context, store Store, from configurer.Config, d configurer.Delta, action string) (configurer.Config, error) {
	d.Author = s.Settings.Operator
	next, d, err := store.Commit(ctx, from, d, action)
	if err != nil {
		s.explainConflict(err)
		return from, err
	}
	s.Progress("version %d is accepted (change %s)", next.Version(), d.ID)
	return next, nil
}

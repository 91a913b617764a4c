package router

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"monsoondeck.example/logger"
	"monsoondeck.example/router/settings"
)

// Exit codes of the daemon.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run starts a daemon from flags and environment variables and serves until it
// is told to stop by SIGTERM or SIGINT. It returns the exit code.
func Run(args, env []string, streams logger.Streams) int {
	s, code, err := read(args, env, streams)
	if err != nil {
		return fail(streams, code, err)
	}
	if s == nil || s.Check {
		return exitDone
	}
	l, err := logger.New(streams.Err, s.LogFormat, s.LogLevel)
	if err != nil {
		return fail(streams, exitUsage, err)
	}
	d, cleanup, err := New(*s, l)
	if err != nil {
		return fail(streams, exitFailed, err)
	}
	defer cleanup()
	if err := d.Run(context.Background(), stopSignals()); err != nil {
		return fail(streams, exitFailed, err)
	}
	return exitDone
}

// read returns nil settings where only the usage was asked for.
func read(args, env []string, streams logger.Streams) (*settings.Settings, int, error) {
	var s settings.Settings
	config := arg.Config{Program: "monsoond", Out: streams.Err, IgnoreEnv: true}
	p, err := arg.NewParser(config, &s)
	if err != nil {
		return nil, exitFailed, err
	}
	switch err := p.Parse(append(fromEnvironment(env), args...)); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(streams.Out)
		return nil, exitDone, nil
	case err != nil:
		return nil, exitUsage, err
	}
	s = s.WithDefaults()
	if err := s.Validate(); err != nil {
		return nil, exitUsage, err
	}
	return &s, exitDone, nil
}

// environmentPrefix starts the names of the environment variables; the rest is
// the flag's name in capitals.
const environmentPrefix = "MONSOOND_"

// fromEnvironment turns environment variables into flags, so that the
// environment can be passed in and flags, which come later, override it.
func fromEnvironment(env []string) []string {
	var args []string
	for _, entry := range env {
		name, value, _ := strings.Cut(entry, "=")
		// An empty variable counts as not set.
		if flag, ok := strings.CutPrefix(name, environmentPrefix); ok && value != "" {
			args = append(args, "--"+strings.ToLower(strings.ReplaceAll(flag, "_", "-"))+"="+value)
		}
	}
	return args
}

// stopSignals turns each stop signal into one value.
func stopSignals() <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{}, 2)
	go func() {
		for range signals {
			stop <- struct{}{}
		}
	}()
	return stop
}

func fail(streams logger.Streams, code int, err error) int {
	// A failed write to the error stream cannot be reported anywhere.
	_, _ = fmt.Fprintf(streams.Err, "monsoond: %v\nRun monsoond --help for the settings.\n", err)
	return code
}

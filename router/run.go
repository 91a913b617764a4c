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
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run starts a daemon with settings from flags and environment variables, and serves
// until it is stopped by SIGTERM or SIGINT. It returns the exit code.
func Run(args, env []string, streams logger.Streams) int {
	s, code, err := parseSettings(args, env, streams)
	if err != nil {
		return reportError(streams, code, err)
	}
	if s == nil || s.Check {
		return exitOK
	}
	l, err := logger.New(streams.Err, s.LogFormat, s.LogLevel)
	if err != nil {
		return reportError(streams, exitUsage, err)
	}
	d, cleanup, err := New(*s, l)
	if err != nil {
		return reportError(streams, exitFailed, err)
	}
	defer cleanup()
	if err := d.Run(context.Background(), stopSignals()); err != nil {
		return reportError(streams, exitFailed, err)
	}
	return exitOK
}

// parseSettings reads the settings from the environment and the flags. It returns
// nil settings if it has printed the usage on request, and an exit code with an
// error.
func parseSettings(args, env []string, streams logger.Streams) (*settings.Settings, int, error) {
	var s settings.Settings
	config := arg.Config{Program: "monsoond", Out: streams.Err, IgnoreEnv: true}
	p, err := arg.NewParser(config, &s)
	if err != nil {
		return nil, exitFailed, err
	}
	switch err := p.Parse(append(fromEnvironment(env), args...)); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(streams.Out)
		return nil, exitOK, nil
	case err != nil:
		return nil, exitUsage, err
	}
	s = s.WithDefaults()
	if err := s.Validate(); err != nil {
		return nil, exitUsage, err
	}
	return &s, exitOK, nil
}

// environmentPrefix is the prefix of the names of environment variables. It is
// followed by the name of the flag in capitals, with underscores for hyphens.
const environmentPrefix = "MONSOOND_"

// fromEnvironment converts environment variables to flags, because the flag parser
// itself would read only the environment of the process. Flags of the command line
// are parsed after these and thus override them.
func fromEnvironment(env []string) []string {
	var args []string
	for _, entry := range env {
		name, value, _ := strings.Cut(entry, "=")
		// An empty variable is treated as unset.
		if flag, ok := strings.CutPrefix(name, environmentPrefix); ok && value != "" {
			args = append(args, "--"+strings.ToLower(strings.ReplaceAll(flag, "_", "-"))+"="+value)
		}
	}
	return args
}

// stopSignals returns a channel that receives a value for each SIGTERM or SIGINT.
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

// reportError prints the error and returns the exit code.
func reportError(streams logger.Streams, code int, err error) int {
	// A failed write to the error stream cannot be reported.
	_, _ = fmt.Fprintf(streams.Err, "monsoond: %v\nRun monsoond --help for the settings.\n", err)
	return code
}

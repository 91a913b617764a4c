package injector

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"monsoondeck.example/logger"
)

// Exit codes.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

const (
	// environmentPrefix starts the names of the environment variables; the rest is the
	// name of a flag in capitals, with underscores for dashes.
	environmentPrefix = "MONSOONFAULT_"

	readHeaderTimeout = 5 * time.Second
)

// settings are the flags of monsoonfault.
type settings struct {
	Listen string   `arg:"--listen" default:"127.0.0.1:0" help:"address of the control API"`
	Links  []string `arg:"--link,separate" help:"link to start with: NAME=LISTEN=FORWARD"`
}

func (settings) Description() string {
	return "monsoonfault forwards TCP connections and injects faults into them. It prints one JSON line with the address of the control API and one per link, then {\"kind\":\"ready\"}, and serves until SIGINT or SIGTERM."
}

// endpoint is one line of the output: the address of the control API or of a link, or
// the line that says that the process is ready.
type endpoint struct {
	Kind    string `json:"kind"`
	ID      string `json:"id,omitempty"`
	Address string `json:"address,omitempty"`
}

// Run runs monsoonfault until SIGINT or SIGTERM and returns the exit code.
func Run(args, env []string, streams logger.Streams) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	return run(ctx, args, env, streams)
}

func run(ctx context.Context, args, env []string, streams logger.Streams) int {
	var s settings
	p, err := arg.NewParser(arg.Config{Program: "monsoonfault", Out: streams.Err, IgnoreEnv: true}, &s)
	if err != nil {
		return fail(streams, ExitFailed, err)
	}
	switch err := p.Parse(append(fromEnvironment(env), args...)); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(streams.Out)
		return ExitDone
	case err != nil:
		return fail(streams, ExitUsage, err)
	}
	proxy, stop := New()
	defer stop()
	lines, err := s.start(proxy)
	if errors.Is(err, ErrLink) {
		return fail(streams, ExitUsage, err)
	} else if err != nil {
		return fail(streams, ExitFailed, err)
	}
	if err := s.serve(ctx, proxy, lines, streams); err != nil {
		return fail(streams, ExitFailed, err)
	}
	return ExitDone
}

// start adds the links of the settings and returns their addresses.
func (s settings) start(p *Proxy) ([]endpoint, error) {
	var lines []endpoint
	for _, l := range s.Links {
		parts := strings.Split(l, "=")
		if len(parts) != 3 {
			return nil, errors.Wrapf(ErrLink, "--link %q is not NAME=LISTEN=FORWARD", l)
		}
		link, err := p.Add(parts[0], parts[1], parts[2])
		if err != nil {
			return nil, err
		}
		lines = append(lines, endpoint{Kind: "link", ID: parts[0], Address: link.Address()})
	}
	return lines, nil
}

// serve prints the addresses and serves the control API until ctx ends.
func (s settings) serve(ctx context.Context, p *Proxy, lines []endpoint, streams logger.Streams) error {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for the control API")
	}
	lines = append([]endpoint{{Kind: "control", Address: l.Addr().String()}}, lines...)
	e := json.NewEncoder(streams.Out)
	for _, line := range append(lines, endpoint{Kind: "ready"}) {
		if err := e.Encode(line); err != nil {
			return errors.Wrap(err, "write an address to standard output")
		}
	}
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the control API")
	}
	return nil
}

// fromEnvironment converts environment variables to flags. They precede the flags of
// the command line, which override them.
func fromEnvironment(env []string) []string {
	var args []string
	for _, entry := range env {
		name, value, _ := strings.Cut(entry, "=")
		if flag, ok := strings.CutPrefix(name, environmentPrefix); ok {
			args = append(args, "--"+strings.ToLower(strings.ReplaceAll(flag, "_", "-"))+"="+value)
		}
	}
	return args
}

func fail(streams logger.Streams, code int, err error) int {
	_, _ = fmt.Fprintf(streams.Err, "monsoonfault: %v\nRun monsoonfault --help for its flags.\n", err)
	return code
}

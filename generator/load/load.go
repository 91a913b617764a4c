// Package load sends load to a running fleet and prints a summary of the responses.
package load

import (
	"context"
	"net/http"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/commander"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/logger"
)

// ErrUsage marks options that cannot be used.
var ErrUsage = errors.New("options are not usable")

// Options are the command line options of the load command.
type Options struct {
	Routers  []string      `arg:"--router,separate,required" placeholder:"HOST:PORT" help:"caller address of a router; repeat for more"`
	Accounts []string      `arg:"--account,separate,required" placeholder:"ID=KEY" help:"client account; repeat for more"`
	Model    string        `arg:"--model" help:"model to call"`
	Service  string        `arg:"--service" help:"plain service to call with GET requests and with POST requests that carry an idempotency key"`
	Workers  int           `arg:"--workers" default:"4" help:"closed-loop callers of each account"`
	Rate     float64       `arg:"--rate" help:"additional open-loop requests per second of each account"`
	Tokens   float64       `arg:"--tokens" default:"60" help:"mean length of a response in tokens"`
	Duration time.Duration `arg:"--duration" default:"10s"`
	Deadline time.Duration `arg:"--deadline" default:"20s"`
	Seed     uint64        `arg:"--seed" default:"1"`
}

// Description is the first line of the usage text.
func (Options) Description() string {
	return "load sends requests to a fleet, checks every response, and prints one JSON line. Model targets must be emulated: the check predicts their responses."
}

// Summary is the printed result: numbers of requests by outcome, and latencies.
type Summary struct {
	Completed               int     `json:"completed"`
	NotRun                  int     `json:"notRun"`
	Unknown                 int     `json:"unknown"`
	Unsent                  int     `json:"unsent"`
	Wrong                   int     `json:"wrong"`
	FirstTokenP50Seconds    float64 `json:"firstTokenP50Seconds"`
	FirstTokenP95Seconds    float64 `json:"firstTokenP95Seconds"`
	BetweenTokensP95Seconds float64 `json:"betweenTokensP95Seconds"`
}

// Run sends load and returns the exit code, which is ExitFailed if a response was
// wrong.
func Run(args, _ []string, streams logger.Streams) int {
	c := commander.Command{Name: "monsoonload load", Streams: streams}
	var o Options
	if code, ok := c.Parse(args, &o); !ok {
		return code
	}
	settings, err := o.settings()
	if err != nil {
		return c.Fail(commander.ExitUsage, err)
	}
	l, cleanup, err := loader.New(settings)
	if err != nil {
		return c.Fail(commander.ExitUsage, err)
	}
	defer cleanup()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	s := summarise(l, l.Run(ctx, o.Duration))
	if code := commander.Print(c, []Summary{s}); code != commander.ExitDone {
		return code
	}
	if s.Wrong > 0 {
		return c.Fail(commander.ExitFailed, errors.Newf("%d wrong responses", s.Wrong))
	}
	return commander.ExitDone
}

// settings returns the settings of the loader. Errors: ErrUsage.
func (o Options) settings() (loader.Settings, error) {
	s := loader.Settings{Seed: o.Seed, Deadline: o.Deadline}
	var kinds []loader.Kind
	if o.Model != "" {
		kinds = append(kinds, loader.Kind{Name: "stream", Pool: o.Model, Frequency: 3, Stream: true, MeanTokens: o.Tokens, MaxTokens: int(8 * o.Tokens), PromptWords: 30},
			loader.Kind{Name: "whole", Pool: o.Model, Frequency: 1, MeanTokens: o.Tokens, MaxTokens: int(8 * o.Tokens), PromptWords: 30})
	}
	if o.Service != "" {
		kinds = append(kinds, loader.Kind{Name: "read", Pool: o.Service, Frequency: 2, Service: true, Method: http.MethodGet, Path: "/", MeanDuration: 20 * time.Millisecond},
			loader.Kind{Name: "write", Pool: o.Service, Frequency: 1, Service: true, Method: http.MethodPost, Path: "/", Keyed: true, MeanDuration: 20 * time.Millisecond})
	}
	if len(kinds) == 0 {
		return s, errors.Wrap(ErrUsage, "--model or --service is needed")
	}
	for i, a := range o.Accounts {
		id, key, ok := strings.Cut(a, "=")
		if !ok {
			return s, errors.Wrapf(ErrUsage, "account %s has no key", strconv.Quote(a))
		}
		// Each account begins at another router, so that the load is uneven.
		at := i % len(o.Routers)
		s.Accounts = append(s.Accounts, loader.Account{
			ID: id, Key: key, Share: 1, Routers: append(append([]string{}, o.Routers[at:]...), o.Routers[:at]...),
			Kinds: kinds, Workers: o.Workers, Rate: o.Rate, Latency: true,
		})
	}
	return s, nil
}

func summarise(l *loader.Loader, results []loader.Result) Summary {
	s := Summary{
		FirstTokenP50Seconds:    l.FirstToken.Quantile(0.5).Seconds(),
		FirstTokenP95Seconds:    l.FirstToken.Quantile(0.95).Seconds(),
		BetweenTokensP95Seconds: l.BetweenTokens.Quantile(0.95).Seconds(),
	}
	for _, r := range results {
		switch r.Outcome {
		case loader.OutcomeComplete:
			s.Completed++
		case loader.OutcomeNotRun:
			s.NotRun++
		case loader.OutcomeUnknown:
			s.Unknown++
		case loader.OutcomeUnsent:
			s.Unsent++
		}
		if r.Wrong != nil {
			s.Wrong++
		}
	}
	return s
}

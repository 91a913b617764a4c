package emulator

import (
	"context"
	"os/signal"
	"syscall"

	"monsoondeck.example/commander"
	"monsoondeck.example/logger"
)

type options struct {
	Engines  []string `arg:"--engine,separate" help:"engine: id=ID,model=NAME,slots=N,rate=TOKENS_PER_SECOND[,prefill=RATE][,waiting=N][,cache=TOKENS][,resume=DURATION][,loadLag=DURATION][,eventLag=DURATION][,eventGap=N][,ignoreFence=true][,listen=ADDRESS]"`
	Services []string `arg:"--service,separate" help:"plain service: id=ID,name=NAME,slots=N[,waiting=N][,duration=DURATION][,listen=ADDRESS]"`
	Table    string   `arg:"--table" help:"table service: [listen=ADDRESS][,reads=RATE][,writes=RATE]; 'on' for the defaults"`
	Objects  string   `arg:"--objects" help:"object store: [listen=ADDRESS][,reads=RATE][,writes=RATE]; 'on' for the defaults"`
	Hosts    string   `arg:"--hosts" help:"host list: [listen=ADDRESS][,lag=DURATION]; 'on' for the defaults"`
	Weights  string   `arg:"--weights" help:"weight store of the engines: [listen=ADDRESS][,loads=RATE][,time=DURATION]; 'on' for the defaults"`
	Oracle   string   `arg:"--oracle" help:"address of the execution record" default:"127.0.0.1:0"`
}

func (options) Description() string {
	return "monsoonemu serves stand-ins of the platform and of the targets. It prints one JSON line per stand-in with its address, then {\"kind\":\"ready\"}, and serves until SIGINT or SIGTERM."
}

// Run serves the stand-ins described by flags until the process is told to
// stop. It returns the exit code.
func Run(args, _ []string, streams logger.Streams) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	return run(ctx, args, streams)
}

func run(ctx context.Context, args []string, streams logger.Streams) int {
	c := commander.Command{Name: "monsoonemu", Streams: streams}
	var o options
	if code, ok := c.Parse(args, &o); !ok {
		return code
	}
	settings, err := o.settings()
	if err != nil {
		return c.Fail(commander.ExitUsage, err)
	}
	set, cleanup, err := New(settings)
	if err != nil {
		return c.Fail(commander.ExitFailed, err)
	}
	defer cleanup()
	if code := commander.Print(c, append(set.Endpoints(), Endpoint{Kind: "ready"})); code != commander.ExitDone {
		return code
	}
	<-ctx.Done()
	return commander.ExitDone
}

package emulator

import (
	"context"
	"os/signal"
	"syscall"

	"monsoondeck.example/commander"
	"monsoondeck.example/logger"
)

// options are the flags of monsoonemu.
type options struct {
	Engines  []string `arg:"--engine,separate" help:"engine: id=ID,model=NAME,slots=N,rate=TOKENS_PER_SECOND[,prefill=RATE][,waiting=N][,cache=TOKENS][,resume=DURATION][,loadLag=DURATION][,eventLag=DURATION][,eventGap=N][,ignoreFence=true][,listen=ADDRESS]"`
	Services []string `arg:"--service,separate" help:"plain service: id=ID,name=NAME,slots=N[,waiting=N][,duration=DURATION][,listen=ADDRESS]"`
	Table    string   `arg:"--table" help:"table service: [listen=ADDRESS][,reads=RATE][,writes=RATE]; 'on' for the defaults"`
	Objects  string   `arg:"--objects" help:"object store: [listen=ADDRESS][,reads=RATE][,writes=RATE]; 'on' for the defaults"`
	Hosts    string   `arg:"--hosts" help:"host list: [listen=ADDRESS][,lag=DURATION]; 'on' for the defaults"`
	Weights  string   `arg:"--weights" help:"weight store from which engines load models: [listen=ADDRESS][,loads=RATE][,time=DURATION]; 'on' for the defaults"`
	Oracle   string   `arg:"--oracle" help:"address at which to serve the execution record" default:"127.0.0.1:0"`
}

// Description returns the text at the top of the help.
func (options) Description() string {
	return "monsoonemu serves emulators of the platform and of the targets. It prints one JSON line per emulator with its address, then {\"kind\":\"ready\"}, and serves until SIGINT or SIGTERM."
}

// Run serves the emulators described by the flags until SIGINT or SIGTERM. It returns
// the exit code.
func Run(args, _ []string, streams logger.Streams) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	return run(ctx, args, streams)
}

// run is Run with a context that ends it.
func run(ctx context.Context, args []string, streams logger.Streams) int {
	command := commander.Command{Name: "monsoonemu", Streams: streams}
	var flags options
	if code, ok := command.Parse(args, &flags); !ok {
		return code
	}
	settings, err := flags.settings()
	if err != nil {
		return command.Fail(commander.ExitUsage, err)
	}
	set, cleanUp, err := New(settings)
	if err != nil {
		return command.Fail(commander.ExitFailed, err)
	}
	defer cleanUp()
	if code := commander.Print(command, append(set.Endpoints(), Endpoint{Kind: "ready"})); code != commander.ExitDone {
		return code
	}
	<-ctx.Done()
	return commander.ExitDone
}

// Package generator runs the commands of monsoonload, which load and measure fleets
// and inject faults into them.
package generator

import (
	"fmt"

	"monsoondeck.example/commander"
	"monsoondeck.example/generator/auditor"
	"monsoondeck.example/generator/bench"
	"monsoondeck.example/generator/chaos"
	"monsoondeck.example/generator/demo"
	"monsoondeck.example/generator/load"
	"monsoondeck.example/generator/report"
	"monsoondeck.example/generator/restarter"
	"monsoondeck.example/generator/soaker"
	"monsoondeck.example/logger"
)

const usage = `Usage: monsoonload COMMAND [FLAGS]

Commands:
  load    send load to a running fleet and check the answers
  bench   measure a fleet of processes under a scenario
  chaos   check a fleet of processes under random faults
  shares  find the accounts that got the least of their share in the logs of daemons
  soak    check the daemons of the users' platform under random faults
  restart measure how daemons get their configuration after a mass restart
  report  make a page with plots from the lines of bench
  demo    show a small fleet at work in one process
Run monsoonload COMMAND --help for the flags of a command.
`

// Run runs the command that the first argument names and returns the exit code.
func Run(args, env []string, streams logger.Streams) int {
	commands := map[string]func(args, env []string, streams logger.Streams) int{
		"bench":   bench.Run,
		"load":    load.Run,
		"chaos":   chaos.Run,
		"report":  report.Run,
		"restart": restarter.Run,
		"shares":  auditor.Run,
		"soak":    soaker.Run,
		"demo":    demo.Run,
	}
	if len(args) > 0 {
		if command, ok := commands[args[0]]; ok {
			return command(args[1:], env, streams)
		}
		if args[0] == "--help" || args[0] == "-h" || args[0] == "help" {
			_, _ = fmt.Fprint(streams.Out, usage)
			return commander.ExitDone
		}
	}
	_, _ = fmt.Fprint(streams.Err, usage)
	return commander.ExitUsage
}

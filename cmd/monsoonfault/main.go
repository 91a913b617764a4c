// Command monsoonfault is a TCP proxy that injects network faults, for tests.
package main

import (
	"os"

	"monsoondeck.example/injector"
	"monsoondeck.example/logger"
)

func main() {
	os.Exit(injector.Run(os.Args[1:], os.Environ(), logger.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}

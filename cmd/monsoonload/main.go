// Command monsoonload generates load, measures fleets and injects faults into them.
package main

import (
	"os"

	"monsoondeck.example/generator"
	"monsoondeck.example/logger"
)

func main() {
	os.Exit(generator.Run(os.Args[1:], os.Environ(), logger.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}

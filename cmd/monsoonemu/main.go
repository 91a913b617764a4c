// Command monsoonemu emulates the platform and the targets, for tests.
package main

import (
	"os"

	"monsoondeck.example/emulator"
	"monsoondeck.example/logger"
)

func main() {
	os.Exit(emulator.Run(os.Args[1:], os.Environ(), logger.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}

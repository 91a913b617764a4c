// Command monsoongate is the daemon on every entry host of the users' platform.
package main

import (
	"os"

	"monsoondeck.example/logger"
	"monsoondeck.example/platform"
)

func main() {
	os.Exit(platform.Run(os.Args[1:], os.Environ(), logger.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}

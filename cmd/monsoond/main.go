// Command monsoond is the router daemon that runs on every entry host.
package main

import (
	"os"

	"monsoondeck.example/logger"
	"monsoondeck.example/router"
)

func main() {
	os.Exit(router.Run(os.Args[1:], os.Environ(), logger.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}

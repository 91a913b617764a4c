// Command monsoonctl is the operators' command-line tool.
package main

import (
	"os"

	"monsoondeck.example/logger"
	"monsoondeck.example/operator"
)

func main() {
	os.Exit(operator.Run(os.Args[1:], os.Environ(), logger.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}

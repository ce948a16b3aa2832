// Command vbctl is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

var version = "unknown"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], streams{os.Stdin, os.Stdout, os.Stderr})
	stop()
	os.Exit(code)
}

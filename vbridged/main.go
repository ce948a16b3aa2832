// Command vbridged is the daemon that runs on every entry instance.
package main

import (
	"errors"
	"fmt"
	"os"

	"vanillabridge/core/fault"
)

// version is set by the Makefile.
var version = "unknown"

// Exit statuses.
const (
	exitFailed   = 1
	exitSettings = 2 // the settings or the arguments are wrong
)

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, fault.Text(err))
	if errors.Is(err, fault.ErrInvalid) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailed)
}

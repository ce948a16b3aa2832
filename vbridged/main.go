// Command vbridged is the daemon that runs on every entry instance.
package main

import (
	"errors"
	"fmt"
	"os"

	"vanillabridge/core/fault"
)

// version is set at link time by the Makefile.
var version = "unknown"

// Exit statuses.
const (
	exitFailure         = 1
	exitInvalidSettings = 2 // invalid settings or arguments
)

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, fault.Text(err))
	if errors.Is(err, fault.ErrInvalid) {
		os.Exit(exitInvalidSettings)
	}
	os.Exit(exitFailure)
}

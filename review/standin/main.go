// Command standin plays the clients, executors and the platform of a small deployment on loopback, and runs the
// review's cases against the project's own programs.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin executor FLAGS | standin CASE DIR on|off")
		os.Exit(exitCannotRun)
	}
	if os.Args[1] == "executor" {
		runExecutor(os.Args[2:])
		return
	}
	run, known := cases[os.Args[1]]
	if !known || len(os.Args) != 4 || (os.Args[3] != "on" && os.Args[3] != "off") {
		fmt.Fprintf(os.Stderr, "unknown case %q, no folder, or not said whether the trouble is on or off\n", os.Args[1])
		os.Exit(exitCannotRun)
	}
	os.Exit(runCase(os.Args[2], os.Args[3] == "on", run))
}

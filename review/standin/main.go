// Command standin plays the clients, executors and the platform of a small deployment on loopback, and runs the
// review's cases against the project's own programs.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin executor FLAGS | standin CASE DIR")
		os.Exit(exitCannotRun)
	}
	if os.Args[1] == "executor" {
		runExecutor(os.Args[2:])
		return
	}
	run, known := cases[os.Args[1]]
	if !known || len(os.Args) != 3 {
		fmt.Fprintf(os.Stderr, "unknown case %q or no folder\n", os.Args[1])
		os.Exit(exitCannotRun)
	}
	os.Exit(runCase(os.Args[2], os.Getenv("TROUBLE") != "0", run))
}

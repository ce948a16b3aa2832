// Command standin-3 plays the cases of the third review: it starts the system's programs on loopback, with stand-ins for
// executors, clients and the operator, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// trouble says whether the disruption of a case takes place.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(*Recorder) int{
	"dropped":   droppedRoute,
	"partial":   partialHeartbeats,
	"moved":     movedQueue,
	"cancelled": cancelledJobs,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(failed)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	rec := &Recorder{file: file, begin: time.Now()}
	status := cases[os.Args[1]](rec)
	rec.log("check", "exit", "status", status)
	_ = file.Close()
	os.Exit(status)
}

// verdict logs and prints the result of the check.
func verdict(rec *Recorder, status int, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	rec.log("check", text)
	fmt.Println(text)
	return status
}

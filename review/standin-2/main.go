// Command standin-2 plays the cases of the review: it starts the system's programs with the commands of the deploy file on
// loopback addresses, with stand-ins for executors, clients and the platform, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

var cases = map[string]func(c *cell, trouble bool) error{}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/platform", "the system's program")
	flag.Parse()
	check, ok := cases[*name]
	if !ok {
		fmt.Println("no such case:", *name)
		return exitNotRun
	}
	if _, err := os.Stat(*program); err != nil {
		fmt.Println("the program isn't built:", err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(*path)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer r.close()
	r.note("case %s, with trouble: %t", *name, trouble)
	c, err := newCell(r, *program)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer c.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- check(c, trouble) }()
	select {
	case err = <-done:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	}
	switch n := r.brokenCount(); {
	case err != nil:
		r.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case n > 0:
		r.note("the rule was broken %d times", n)
		fmt.Printf("the rule was broken %d times\n", n)
		return exitBroken
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since its start.
type record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	begun  time.Time
	broken int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), begun: time.Now()}, nil
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// breaks writes a line about a broken rule, also to the standard output.
func (r *record) breaks(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN %s: %s", rule, text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	if r.broken <= 10 {
		fmt.Printf("%s: %s\n", rule, text)
	}
}

func (r *record) brokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

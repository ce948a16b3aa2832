package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"vanillabridge/vbstand/record"
)

// Promise is the name of a promise of the design page.
type Promise string

// The promises.
const (
	Capacity Promise = "capacity"
	Single   Promise = "single"
	Whole    Promise = "whole"
	NotRun   Promise = "notrun"
	Once     Promise = "once"
	Leaving  Promise = "leaving"
	Drain    Promise = "drain"
	Config   Promise = "config"
	Accepted Promise = "accepted"
)

// Promises lists the promises in the order of the design page.
func Promises() []Promise {
	return []Promise{Capacity, Single, Whole, NotRun, Once, Leaving, Drain, Config, Accepted}
}

const (
	// leavingBound is how long a leaving backend server may get new work.
	leavingBound = 3 * time.Second
	// configBound is how long an accepted configuration may take to be in force on every
	// instance that is ready and not cut off.
	configBound = 5 * time.Second
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// Result is the outcome of all checks.
type Result struct {
	Checked    map[Promise]int // requests, tasks, stops or submissions checked
	Violations []Violation
}

// Broken returns the number of violations of a promise.
func (r *Result) Broken(p Promise) int {
	n := 0
	for _, v := range r.Violations {
		if v.Promise == p {
			n++
		}
	}
	return n
}

func (r *Result) check(p Promise) { r.Checked[p]++ }

func (r *Result) broken(p Promise, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Promise: p, Detail: fmt.Sprintf(format, args...)})
}

// Check checks all promises.
func Check(lines []record.Line) *Result {
	r := &Result{Checked: map[Promise]int{}}
	l := split(lines)
	checkCapacity(r, l)
	checkSingle(r, l)
	checkWhole(r, l)
	checkNotRun(r, l)
	checkOnce(r, l)
	checkLeaving(r, l)
	checkDrain(r, l)
	checkConfig(r, l)
	checkAccepted(r, l)
	order := Promises()
	slices.SortStableFunc(r.Violations, func(a, b Violation) int {
		return cmp.Or(slices.Index(order, a.Promise)-slices.Index(order, b.Promise), cmp.Compare(a.Detail, b.Detail))
	})
	return r
}

package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"vanillabridge/vbstand/record"
)

// Promise identifies a guarantee of the design page.
type Promise string

// The guarantees that Check verifies.
const (
	PromiseCapacity Promise = "capacity" // tasks and requests stay within the capacity of their worker or backend server
	PromiseSingle   Promise = "single"   // a task runs on at most one worker at a time
	PromiseWhole    Promise = "whole"    // an answer reported as done is undamaged and belongs to its request
	PromiseNotRun   Promise = "notrun"   // a send refused as not run did not run
	PromiseOnce     Promise = "once"     // a non-idempotent request runs at most once
	PromiseLeaving  Promise = "leaving"  // a leaving backend server soon gets no new requests
	PromiseDrain    Promise = "drain"    // a planned stop interrupts no request
	PromiseConfig   Promise = "config"   // an accepted configuration is neither lost, late nor reverted
	PromiseAccepted Promise = "accepted" // accepted requests and jobs are neither lost, done without a run, nor done twice
)

// Promises returns all guarantees in the order of the design page.
func Promises() []Promise {
	return []Promise{PromiseCapacity, PromiseSingle, PromiseWhole, PromiseNotRun, PromiseOnce, PromiseLeaving, PromiseDrain, PromiseConfig, PromiseAccepted}
}

const (
	// maxAssignmentAfterLeaving bounds how long a backend server that announced that it is leaving
	// may still get new requests.
	maxAssignmentAfterLeaving = 3 * time.Second
	// maxConfigActivation bounds the time from the acceptance of a configuration until it is in
	// force on every instance that is ready and not partitioned.
	maxConfigActivation = 5 * time.Second
)

// Violation is one case in which a guarantee did not hold.
type Violation struct {
	Promise Promise
	Detail  string
}

// Result holds the number of checked cases and the violations found.
type Result struct {
	Checked    map[Promise]int // requests, tasks, stops or submissions checked
	Violations []Violation
}

// CountViolations returns the number of violations of one guarantee.
func (r *Result) CountViolations(p Promise) int {
	n := 0
	for _, v := range r.Violations {
		if v.Promise == p {
			n++
		}
	}
	return n
}

func (r *Result) countCheck(p Promise) { r.Checked[p]++ }

func (r *Result) addViolation(p Promise, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Promise: p, Detail: fmt.Sprintf(format, args...)})
}

// Check verifies all guarantees against the journal lines. The violations are sorted by
// guarantee, then by detail.
func Check(lines []record.Line) *Result {
	r := &Result{Checked: map[Promise]int{}}
	l := groupByType(lines)
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

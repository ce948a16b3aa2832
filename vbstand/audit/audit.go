package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"vanillabridge/vbstand/record"
)

// Guarantee identifies a guarantee of the design page. The page and the report call it a promise.
type Guarantee string

// The guarantees that Check verifies.
const (
	GuaranteeCapacity     Guarantee = "capacity" // tasks and requests stay within the capacity of their worker or backend server
	GuaranteeSingleWorker Guarantee = "single"   // a task runs on at most one worker at a time
	GuaranteeAnswerIntact Guarantee = "whole"    // an answer reported as done is undamaged and belongs to its request
	GuaranteeNotRun       Guarantee = "notrun"   // a send refused as not run did not run
	GuaranteeAtMostOnce   Guarantee = "once"     // a non-idempotent request runs at most once
	GuaranteeLeaving      Guarantee = "leaving"  // a leaving backend server soon gets no new requests
	GuaranteeDrain        Guarantee = "drain"    // a planned stop interrupts no request
	GuaranteeConfig       Guarantee = "config"   // an accepted configuration is neither lost, late nor reverted
	GuaranteeAccepted     Guarantee = "accepted" // accepted requests and jobs are neither lost, done without a run, nor done twice
)

// Guarantees returns all guarantees in the order of the design page.
func Guarantees() []Guarantee {
	return []Guarantee{GuaranteeCapacity, GuaranteeSingleWorker, GuaranteeAnswerIntact, GuaranteeNotRun, GuaranteeAtMostOnce, GuaranteeLeaving, GuaranteeDrain, GuaranteeConfig, GuaranteeAccepted}
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
	Guarantee Guarantee
	Detail    string
}

// Result holds the number of checked cases and the violations found.
type Result struct {
	Checked    map[Guarantee]int // requests, tasks, stops or submissions checked
	Violations []Violation
}

// CountViolations returns the number of violations of one guarantee.
func (r *Result) CountViolations(g Guarantee) int {
	n := 0
	for _, v := range r.Violations {
		if v.Guarantee == g {
			n++
		}
	}
	return n
}

func (r *Result) countCheck(g Guarantee) { r.Checked[g]++ }

func (r *Result) addViolation(g Guarantee, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Guarantee: g, Detail: fmt.Sprintf(format, args...)})
}

// Check verifies all guarantees against the journal lines. The violations are sorted by
// guarantee, then by detail.
func Check(lines []record.Line) *Result {
	r := &Result{Checked: map[Guarantee]int{}}
	l := groupByType(lines)
	checkCapacity(r, l)
	checkSingleWorker(r, l)
	checkAnswerIntact(r, l)
	checkNotRun(r, l)
	checkAtMostOnce(r, l)
	checkLeaving(r, l)
	checkDrain(r, l)
	checkConfig(r, l)
	checkAccepted(r, l)
	order := Guarantees()
	slices.SortStableFunc(r.Violations, func(a, b Violation) int {
		return cmp.Or(slices.Index(order, a.Guarantee)-slices.Index(order, b.Guarantee), cmp.Compare(a.Detail, b.Detail))
	})
	return r
}

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// movedQueue lets the operator send a queue to another service and takes the two executors of the former one away. It checks
// LOST: an accepted job isn't left without a run while a task's turn has come and there is room for it.
func movedQueue(rec *Recorder) int {
	d, err := newDeployment(rec, 2)
	if err != nil {
		return verdict(rec, failed, "not started: %v", err)
	}
	defer d.close()
	if !d.configure(config(1, []string{"desk", "annex"}, route("slips", "/slips/", "desk", 4)), 20*time.Second) || !d.awaitReady(10*time.Second) {
		return verdict(rec, failed, "the deployment did not get ready")
	}
	var former []*Executor
	for i := range 2 {
		x, err := d.addExecutor(fmt.Sprintf("i-desk%d", i), "desk", zones[i], "")
		if err != nil {
			return verdict(rec, failed, "no executor: %v", err)
		}
		former = append(former, x)
	}
	for i := range 30 {
		if _, err := d.addExecutor(fmt.Sprintf("i-annex%02d", i), "annex", zones[i%3], ""); err != nil {
			return verdict(rec, failed, "no executor: %v", err)
		}
	}
	time.Sleep(3 * time.Second)
	timed, lasting, steps := newJobID(), newJobID(), newJobID()
	short, long := Work{WorkMs: 500, CPU: 1000}, Work{WorkMs: 6000, CPU: 1000}
	jobs := map[string]map[string]any{
		timed: {
			"spec": short.spec(), "times": 8, "startAtMs": time.Now().Add(2 * time.Second).UnixMilli(), "periodMs": 3000,
			"phases": []any{map[string]any{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 500}},
		},
		lasting: {
			"spec":   Work{CPU: 1000, Lasts: true}.spec(),
			"phases": []any{map[string]any{"count": 2, "cpu": 1000, "memMb": 100, "longRunning": true}},
		},
		steps: {
			"spec": long.spec(),
			"phases": []any{
				map[string]any{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 6000},
				map[string]any{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 6000, "after": []int{0}},
			},
		},
	}
	for id, job := range jobs {
		if !d.submit("/slips/"+id, job) {
			return verdict(rec, failed, "a job was not accepted")
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		if !d.configure(config(2, []string{"desk", "annex"}, route("slips-annex", "/slips/", "annex", 4)), 5*time.Second) {
			return verdict(rec, failed, "the second configuration was not acknowledged")
		}
		time.Sleep(3500 * time.Millisecond)
		var wg sync.WaitGroup
		for _, x := range former {
			wg.Go(func() { x.leave(context.Background()) })
		}
		wg.Wait()
	}
	time.Sleep(35 * time.Second)
	result, wrong := "", 0
	for _, kind := range []struct{ name, id string }{{"timed", timed}, {"lasting", lasting}, {"steps", steps}} {
		name, id := kind.name, kind.id
		state, status := d.state("/slips/" + id)
		started, running, ends := d.runsOf(id)
		result += fmt.Sprintf(" %s: status %d %s, %d starts, %d running, ends %v;", name, status, state, started, running, ends)
		if status != http.StatusOK || (name == "lasting" && running < 2) || (name != "lasting" && state != "completed") {
			wrong++
		}
	}
	if wrong > 0 {
		return verdict(rec, broken, "LOST broken: %d of 3 accepted jobs wait while 30 executors of the queue's service are idle:%s", wrong, result)
	}
	return verdict(rec, held, "LOST held:%s", result)
}

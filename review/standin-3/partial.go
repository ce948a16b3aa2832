package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// The pages set no limit to heartbeats of other writers. partialHeartbeats sends one for each executor.
const (
	partialExecutors = 12
	partialJobs      = 6
	partialTasks     = 4
	partialWatch     = 40 * time.Second
	// restartBound is when a task that lasts has to run again: 6 s after its last run, and 3 s.
	restartBound = 9 * time.Second
)

// partialHeartbeats sends, as another writer would, one heartbeat for each executor that lacks a field. It checks LOST: each task
// that lasts runs again within restartBound, since all executors are sound and have room.
func partialHeartbeats(rec *Recorder) int {
	d, err := newDeployment(rec, 2)
	if err != nil {
		return verdict(rec, failed, "not started: %v", err)
	}
	defer d.close()
	if !d.configure(config(1, []string{"desk"}, route("slips", "/slips/", "desk", 4)), 20*time.Second) || !d.awaitReady(10*time.Second) {
		return verdict(rec, failed, "the deployment did not get ready")
	}
	var execs []*Executor
	for i := range partialExecutors {
		x, err := d.addExecutor(fmt.Sprintf("i-%04d", i), "desk", zones[i%3], "")
		if err != nil {
			return verdict(rec, failed, "no executor: %v", err)
		}
		execs = append(execs, x)
	}
	time.Sleep(3 * time.Second)
	var tasks []string
	for range partialJobs {
		id, work := newJobID(), Work{CPU: 1000, Lasts: true}
		phase := map[string]any{"count": partialTasks, "cpu": 1000, "memMb": 100, "longRunning": true}
		if !d.submit("/slips/"+id, map[string]any{"spec": work.spec(), "phases": []any{phase}}) {
			return verdict(rec, failed, "a job was not accepted")
		}
		for i := range partialTasks {
			tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", id, i))
		}
	}
	time.Sleep(6 * time.Second)
	for _, task := range tasks {
		if !d.runs(task) {
			return verdict(rec, failed, "task %s does not run before the disruption", task)
		}
	}
	answers := map[int]int{}
	if trouble {
		for _, x := range execs {
			a := d.call("writer", http.MethodPut, d.controlAddrs()[0], "", "/-/instances/"+x.id, x.partialHeartbeat(), time.Second)
			answers[a.Status]++
			time.Sleep(150 * time.Millisecond)
		}
	}
	lastRun, longest := map[string]time.Time{}, map[string]time.Duration{}
	for begin := time.Now(); time.Since(begin) < partialWatch; time.Sleep(50 * time.Millisecond) {
		for _, task := range tasks {
			if _, seen := lastRun[task]; !seen || d.runs(task) {
				lastRun[task] = time.Now()
			}
			longest[task] = max(longest[task], time.Since(lastRun[task]))
		}
	}
	late, worst := 0, time.Duration(0)
	for _, task := range tasks {
		worst = max(worst, longest[task])
		if longest[task] > restartBound {
			late++
			rec.log("check", "task that lasts did not run", "task", task, "for", longest[task])
		}
	}
	if late > 0 {
		return verdict(rec, broken, "LOST broken: %d of %d tasks that last did not run for more than %v, at worst %.1f s, beside %d sound executors (answers to the heartbeats: %v)",
			late, len(tasks), restartBound, worst.Seconds(), len(execs), answers)
	}
	return verdict(rec, held, "LOST held: no task that lasts was away for longer than %.1f s (answers to the heartbeats: %v)", worst.Seconds(), answers)
}

// partialHeartbeat returns a heartbeat with the identifier and address of the executor and the start of another writer. It says
// that it drains, and lacks remainingMs.
func (x *Executor) partialHeartbeat() map[string]any {
	body := map[string]any{
		"service": x.service, "addr": x.addr, "zone": x.zone, "version": "v1", "slots": 8, "state": "draining", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": x.cpu, "memMb": 32768, "gpu": 0}, "labels": []string{"a", x.rack},
		"clockMs": x.clock(), "seq": 1, "born": time.Now().UnixMilli(),
	}
	if os.Getenv("LACKS") == "clockMs" {
		body["state"] = "ready"
		delete(body, "clockMs")
	}
	return body
}

// runs reports whether a task runs somewhere.
func (d *Deployment) runs(task string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running[task] > 0
}

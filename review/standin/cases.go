package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases holds what each case does; it returns how the rule was broken.
var cases = map[string]func(*lab) []string{
	"reborn":  reborn,
	"crashes": crashes,
	"foreign": foreign,
	"failing": failing,
	"gone":    gone,
}

// silenceTime is how long a crashed executor is silent before it is up again.
const silenceTime = 700 * time.Millisecond

// reborn lets one executor of twelve at a time lose power and start again under its id.
func reborn(l *lab) []string {
	l.configure(1, 4)
	var list []*process
	for n := range 12 {
		list = append(list, l.addExecutor(n))
	}
	l.awaitExecutors(12)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for range 10 {
			time.Sleep(3 * time.Second)
			if l.trouble {
				l.powerCycle(list[rand.IntN(len(list))], silenceTime)
			}
		}
		time.Sleep(2 * time.Second)
	}()
	accepted := l.load(70, func() any { return simpleJob(2, 1000, 500) }, stop)
	l.awaitStates(accepted, 20*time.Second)
	return doubleRuns(l.events())
}

// powerCycle ends an executor without a word and starts it again under its id and address after a silence.
func (l *lab) powerCycle(p *process, silence time.Duration) {
	l.record.add(event{Kind: "down", Executor: p.id(), Text: "power lost"})
	p.proxy.goSilent()
	p.kill()
	time.Sleep(silence)
	l.startProcess(p)
	l.awaitListening(p)
	p.proxy.comeBack()
	l.record.add(event{Kind: "up", Executor: p.id(), Text: "power back"})
}

// crashes lets two executors of fifteen at a time crash; others start at their addresses soon after. No task is the cause,
// and none ends failed.
func crashes(l *lab) []string {
	l.configure(1, 4)
	var list []*process
	for n := range 15 {
		list = append(list, l.addExecutor(n))
	}
	l.awaitExecutors(15)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for range 30 {
			time.Sleep(1500*time.Millisecond - silenceTime)
			if !l.trouble {
				time.Sleep(silenceTime)
				continue
			}
			first := rand.IntN(len(list))
			second := (first + 1 + rand.IntN(len(list)-1)) % len(list)
			var wg sync.WaitGroup
			for _, n := range []int{first, second} {
				wg.Go(func() { list[n] = l.replaceExecutor(list[n], silenceTime) })
			}
			wg.Wait()
		}
		time.Sleep(2 * time.Second)
	}()
	accepted := l.load(30, func() any { return simpleJob(4, 1000, 600) }, stop)
	states := l.awaitStates(accepted, 25*time.Second)
	return failedWithoutCause(l.events(), states)
}

// failedWithoutCause describes the jobs that are shown as failed although no run of a task of theirs ended failed.
func failedWithoutCause(list []event, states map[string]string) []string {
	failedEnds, lostRuns := map[string]int{}, map[string]int{}
	for task, runs := range runsByTask(list) {
		job, _, _ := strings.Cut(task, ".")
		for _, r := range runs {
			switch r.how {
			case "failed":
				failedEnds[job]++
			case lostWithExecutor:
				lostRuns[job]++
			}
		}
	}
	var found []string
	for job, state := range states {
		if state == "failed" && failedEnds[job] == 0 {
			found = append(found, fmt.Sprintf("job %s was accepted and is shown as failed; none of its runs ended failed, %d were lost with their executors", job, lostRuns[job]))
		}
	}
	slices.Sort(found)
	return found
}

// replaceExecutor ends an executor without a word and starts another one at its address after a silence.
func (l *lab) replaceExecutor(p *process, silence time.Duration) *process {
	l.record.add(event{Kind: "down", Executor: p.id(), Text: "power lost"})
	p.proxy.goSilent()
	p.kill()
	time.Sleep(silence)
	next := l.startExecutor(p.slot, p.proxy)
	l.awaitListening(next)
	p.proxy.comeBack()
	l.record.add(event{Kind: "up", Executor: next.id(), Text: "power back"})
	return next
}

// foreign sends heartbeats of another writer: of a service that no configuration names, at the address of an executor.
func foreign(l *lab) []string {
	l.configure(1, 4)
	var list []*process
	for n := range 12 {
		list = append(list, l.addExecutor(n))
	}
	l.awaitExecutors(12)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for n := range 10 {
			time.Sleep(2 * time.Second)
			if !l.trouble {
				continue
			}
			p := l.busiest(list)
			id := fmt.Sprintf("i-%08x", 0x10c40000+n)
			body, _ := json.Marshal(map[string]any{
				"service": "jite55b", "addr": p.address, "zone": "north-a", "version": "v1", "slots": 1, "state": "ready", "coldLeftMs": 0,
				"capacity": map[string]int{"cpu": 1000, "memMb": 1024, "gpu": 0}, "labels": []string{"a", "r1-1"}, "clockMs": 10, "seq": 1, "born": time.Now().UnixMilli(),
			})
			_, ok := sendHeartbeat(l.controls()[rand.IntN(3)], id, body)
			l.record.add(event{Kind: "foreign heartbeat", Executor: id, Text: fmt.Sprintf("address of %s, acknowledged: %t", p.id(), ok)})
		}
		time.Sleep(2 * time.Second)
	}()
	accepted := l.load(20, func() any { return simpleJob(2, 1000, 1500) }, stop)
	l.awaitStates(accepted, 20*time.Second)
	events := l.events()
	return append(doubleRuns(events), runsAfterDone(events)...)
}

// busiest returns the executor that runs most tasks.
func (l *lab) busiest(list []*process) *process {
	count := map[string]int{}
	for _, runs := range runsByTask(l.events()) {
		for _, r := range runs {
			if r.how == stillRunning {
				count[r.executor]++
			}
		}
	}
	return slices.MaxFunc(list, func(a, b *process) int { return count[a.id()] - count[b.id()] })
}

// failingTime is how long an executor fails all that it starts, and failingPause the time until the next one does.
const (
	failingTime  = 1500 * time.Millisecond
	failingPause = 250 * time.Millisecond
)

// failing lets the executors of twelve, one at a time and each twice, fail all that they start for a short time. Each runs
// a task that lasts. Afterwards all are sound and nearly empty.
func failing(l *lab) []string {
	l.configure(1, 50)
	var list []*process
	for n := range 12 {
		list = append(list, l.addExecutor(n))
	}
	l.awaitExecutors(12)
	standing := jobID(900001)
	if !l.submit(standing, lastingJob(12, 500)) {
		l.fail("the standing job was not accepted")
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for _, p := range append(list, list...) {
			if l.trouble {
				l.record.add(event{Kind: "fails", Executor: p.id()})
				p.signal(syscall.SIGUSR1)
			}
			time.Sleep(failingTime)
			if l.trouble {
				l.record.add(event{Kind: "sound", Executor: p.id()})
				p.signal(syscall.SIGUSR2)
			}
			time.Sleep(failingPause)
		}
	}()
	accepted := l.load(40, func() any { return simpleJob(2, 1000, 300) }, stop)
	time.Sleep(finishTime)
	from := time.Now().UnixMicro()
	time.Sleep(idleTime)
	states := l.awaitStates(accepted, 3*time.Second)
	events := l.events()
	var broken []string
	for _, id := range accepted {
		if s := states[id]; s != "completed" && !ranSince(events, id, from) {
			broken = append(broken, fmt.Sprintf("job %s was accepted and is shown as %q; nothing of it has run for %s, from %s after the traffic on, with 12 sound executors that are nearly empty", id, s, idleTime, finishTime))
		}
	}
	slices.Sort(broken)
	return broken
}

// finishTime is finish_s of the site: after the end of the traffic by it, no job may wait while there is capacity.
const finishTime = 14 * time.Second

// lastingJob returns a job whose tasks last, with one on an executor at most.
func lastingJob(count, cpu int) any {
	return map[string]any{"spec": lastingSpec, "phases": []any{map[string]any{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": 340, "longRunning": true, "antiAffinity": 1}}}
}

// gone lets the executor that runs the only two tasks of the deployment crash for good, with seven idle ones left.
func gone(l *lab) []string {
	l.configure(1, 4)
	list := map[string]*process{}
	for n := range 8 {
		p := l.addExecutor(n)
		list[p.id()] = p
	}
	l.awaitExecutors(8)
	ids := []string{jobID(1), jobID(2)}
	for n, job := range []any{simpleJob(1, 1000, 8000), lastingJob(1, 1000)} {
		if !l.submit(ids[n], job) {
			l.fail("job %s was not accepted", ids[n])
		}
	}
	time.Sleep(2 * time.Second)
	crashed := ""
	for _, id := range ids {
		r, ok := lastRun(l.events(), id+".0.0.0")
		if !ok || r.how != stillRunning {
			l.fail("the task of job %s does not run", id)
		}
		crashed = r.executor
	}
	if l.trouble {
		l.record.add(event{Kind: "down", Executor: crashed, Text: "gone for good"})
		list[crashed].proxy.goSilent()
		list[crashed].kill()
	}
	time.Sleep(finishTime)
	from := time.Now().UnixMicro()
	time.Sleep(idleTime)
	var broken []string
	for _, id := range ids {
		status, state := l.state(id)
		if status == http.StatusOK && state != "completed" && !ranSince(l.events(), id, from) {
			broken = append(broken, fmt.Sprintf("job %s was accepted and is shown as %q; nothing of it has run for %s, from %s after the only crash on, with 7 idle executors", id, state, idleTime, finishTime))
		}
	}
	return broken
}

// idleTime is how long a job is watched that has nothing running; the rule names 3 s.
const idleTime = 10 * time.Second

// ranSince reports whether a task of a job was at work after a time in microseconds.
func ranSince(list []event, job string, from int64) bool {
	for task, runs := range runsByTask(list) {
		if !strings.HasPrefix(task, job+".") {
			continue
		}
		for _, r := range runs {
			if r.to > from {
				return true
			}
		}
	}
	return false
}

// lastRun returns the run of a task that began last.
func lastRun(list []event, task string) (interval, bool) {
	runs := runsByTask(list)[task]
	if len(runs) == 0 {
		return interval{}, false
	}
	return runs[len(runs)-1], true
}

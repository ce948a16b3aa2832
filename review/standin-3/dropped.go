package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Limits of the disruption of droppedRoute, of `node_freeze` on sites/cpsu-hampers.toml: a share of 0.11 of the machines for
// 3.5 s. One of ten machines stands still for 1.6 s.
const (
	frozenFor      = 1600 * time.Millisecond
	postsPerSecond = 800
)

// droppedRoute freezes a front while clients hand jobs in through it, and lets the operator remove the queue meanwhile. It
// checks REFUSED: no task of a job starts if all attempts of its client were rejected.
func droppedRoute(rec *Recorder) int {
	d, err := newDeployment(rec, 7)
	if err != nil {
		return verdict(rec, failed, "not started: %v", err)
	}
	defer d.close()
	slips, plans := route("slips", "/slips/", "desk", 4), route("plans", "/plans/", "desk", 4)
	if !d.configure(config(1, []string{"desk"}, slips, plans), 20*time.Second) || !d.awaitReady(10*time.Second) {
		return verdict(rec, failed, "the deployment did not get ready")
	}
	for i := range 12 {
		if _, err := d.addExecutor("i-000"+string(rune('a'+i)), "desk", zones[i%3], ""); err != nil {
			return verdict(rec, failed, "no executor: %v", err)
		}
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	answers := map[string]int{} // status of the only attempt, by job
	var wg sync.WaitGroup
	post := func() {
		id, work := newJobID(), Work{WorkMs: 200, CPU: 100}
		wg.Go(func() {
			a := d.call("client", http.MethodPost, d.fronts[0].frontAddr(), "jobs.example", "/slips/"+id,
				map[string]any{"spec": work.spec(), "phases": []any{map[string]any{"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 200}}}, 3*time.Second)
			mu.Lock()
			answers[id] = a.Status
			mu.Unlock()
		})
	}
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Second / postsPerSecond) {
		post() // a few of them are on their way when the front freezes
	}
	if trouble {
		d.fronts[0].signal(syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond)
	if !d.configure(config(2, []string{"desk"}, plans), 1200*time.Millisecond) {
		return verdict(rec, failed, "the second configuration was not acknowledged")
	}
	time.Sleep(frozenFor - 100*time.Millisecond)
	if trouble {
		d.fronts[0].signal(syscall.SIGCONT)
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	count, wrong := map[int]int{}, 0
	for id, status := range answers {
		count[status]++
		started, _, _ := d.runsOf(id)
		if rejected := status == http.StatusNotFound || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusGone; rejected && started > 0 {
			wrong++
			rec.log("check", "rejected job ran", "job", id, "status", status, "starts", started)
		}
	}
	if wrong > 0 {
		return verdict(rec, broken, "REFUSED broken: %d jobs ran although the only attempt of their client was rejected (answers by status: %v)", wrong, count)
	}
	return verdict(rec, held, "REFUSED held: answers by status: %v", count)
}

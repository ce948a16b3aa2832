package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// Limits of the disruption of crashLoop, of `srv_crash` on sites/cpsu-hampers.toml: a share of 0.14 of the executors, each time
// for at most 4.5 s. One of 24 is 0.042.
const (
	crashExecutors = 24
	crashingOnes   = 1
	crashUp        = 450 * time.Millisecond
	crashDown      = 950 * time.Millisecond
)

// crashLoop lets one of 24 executors crash again and again for a while, and checks LOST: no accepted job is shown as failed
// unless runs of one of its tasks have ended as failed maxAttempts times. No run of these executors ever ends so.
func crashLoop(rec *Recorder) int {
	d, err := newDeployment(rec, 2)
	if err != nil {
		return verdict(rec, failed, "not started: %v", err)
	}
	defer d.close()
	if !d.configure(config(1, []string{"desk"}, route("slips", "/slips/", "desk", 4)), 20*time.Second) || !d.awaitReady(10*time.Second) {
		return verdict(rec, failed, "the deployment did not get ready")
	}
	var flaky []*Executor
	for i := range crashExecutors {
		x, err := d.addExecutor(fmt.Sprintf("i-%04d", i), "desk", zones[i%3], "")
		if err != nil {
			return verdict(rec, failed, "no executor: %v", err)
		}
		if i < crashingOnes {
			flaky = append(flaky, x)
		}
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	accepted := d.submitSlips(&wg, 24*time.Second)
	time.Sleep(3 * time.Second)
	if trouble {
		for i, x := range flaky {
			wg.Go(func() { d.crashAgain(ctx, x, i, 15*time.Second) })
		}
	}
	wg.Wait()
	return checkFailed(d, accepted())
}

// crashAgain lets an executor run and crash by turns; each life has an identifier of its own, at the same address.
func (d *Deployment) crashAgain(ctx context.Context, x *Executor, number int, during time.Duration) {
	addr := x.addr
	for life, end := 1, time.Now().Add(during); time.Now().Before(end) && ctx.Err() == nil; life++ {
		sleep(ctx, crashUp)
		x.crash()
		sleep(ctx, crashDown)
		next, err := d.addExecutor(fmt.Sprintf("i-%04d-%d", number, life), "desk", x.zone, addr)
		if err != nil {
			d.rec.log("executor", "not started again", "addr", addr, "error", err)
			return
		}
		x = next
	}
}

// submitSlips submits jobs at a steady rate and returns a function for the paths of those that were accepted.
func (d *Deployment) submitSlips(wg *sync.WaitGroup, during time.Duration) func() []string {
	var mu sync.Mutex
	var accepted []string
	wg.Go(func() {
		for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			gang := rand.Intn(2) == 0
			count, work := 1+rand.Intn(4), Work{WorkMs: 1500 + rand.Int63n(3000), CPU: 2500}
			phase := map[string]any{"count": count, "cpu": work.CPU, "memMb": 2000, "estimateMs": work.WorkMs}
			if gang {
				phase["gang"] = true
			}
			path := "/slips/" + newJobID()
			wg.Go(func() {
				if d.submit(path, map[string]any{"spec": work.spec(), "phases": []any{phase}}) {
					mu.Lock()
					accepted = append(accepted, path)
					mu.Unlock()
				}
			})
		}
	})
	return func() []string { mu.Lock(); defer mu.Unlock(); return accepted }
}

// checkFailed asks for the state of all jobs until they have ended, and counts those that are shown as failed without cause.
func checkFailed(d *Deployment, paths []string) int {
	open, without, states := paths, 0, map[string]int{}
	for end := time.Now().Add(25 * time.Second); len(open) > 0 && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		var rest []string
		for _, path := range open {
			state, status := d.state(path)
			switch {
			case status != http.StatusOK || state == "queued" || state == "running":
				rest = append(rest, path)
			case state == "failed":
				started, _, ends := d.runsOf(path[len("/slips/"):])
				d.rec.log("check", "job shown as failed", "path", path, "runs", started, "ends", fmt.Sprint(ends))
				if ends["failed"] == 0 {
					without++
				}
				fallthrough
			default:
				states[state]++
			}
		}
		open = rest
	}
	if without > 0 {
		return verdict(d.rec, broken, "LOST broken: %d of %d accepted jobs are shown as failed although no run has ended as failed (states: %v, open: %d)", without, len(paths), states, len(open))
	}
	return verdict(d.rec, held, "LOST held: %d accepted jobs, states: %v, open: %d", len(paths), states, len(open))
}

package main

import (
	"fmt"
	"time"
)

// In the case "starved", 40 jobs whose tasks last are handed in within 3 s. Two of them are hopeless: their tasks fail soon after
// each start. Then a sound job of the same kind is handed in every 2 s. Each task of it has to run.
const (
	starvedMachines = 48
	firstJobs       = 40
	hopelessJobs    = 2 // 5 in 100, within 3 s
	firstJobsTime   = 3 * time.Second
	lastingTasks    = 4
	laterJobs       = 25
	laterJobsPause  = 2 * time.Second
	// While there is room, a task that lasts may have nothing running for 3 s, counted from 6 s after its last run. A task
	// that has not run yet gets as long from the acceptance of its job on.
	restartBound = 9 * time.Second
	lastingCPU   = 1400
)

func init() { cases["starved"] = playStarved }

func playStarved(c *cell, trouble bool) error {
	q := newQueue("desk", 1, 4, 1200, 2.2)
	f, err := startCell(c, starvedMachines, []queue{q})
	if err != nil {
		return err
	}
	defer f.stop()
	handIn := func(spec string) (string, error) {
		id := newJobID()
		if !c.submit(q, id, spec, []phase{{Count: lastingTasks, CPU: lastingCPU, MemMb: 600, EstimateMs: 1000, LongRunning: true}}) {
			return "", fmt.Errorf("job %s is not accepted", id)
		}
		return id, nil
	}
	for i := range firstJobs {
		spec := specOf("last", 0)
		if hopeless := trouble && i%(firstJobs/hopelessJobs) == 10; hopeless {
			spec = specOf("fail", 50*time.Millisecond)
		}
		id, err := handIn(spec)
		if err != nil {
			return err
		}
		c.record.note("job %s: %s", id, spec)
		time.Sleep(firstJobsTime / firstJobs)
	}
	time.Sleep(7 * time.Second)
	acceptedAt := map[string]time.Time{}
	broken := map[string]bool{}
	check := func() {
		for id, at := range acceptedAt {
			for i := range lastingTasks {
				task := fmt.Sprintf("%s.0.0.%d", id, i)
				active, endedAt := f.audit.isActive(task)
				if endedAt.After(at) {
					at = endedAt
				}
				if waited := time.Since(at); !active && waited > restartBound && !broken[task] {
					broken[task] = true
					c.record.breaks("LOST", "task %s, which lasts, is due and has not run for %.1f s; %s", task, waited.Seconds(), f.use())
				}
			}
		}
	}
	next := time.Now()
	for len(acceptedAt) < laterJobs {
		if time.Now().After(next) {
			next = next.Add(laterJobsPause)
			id, err := handIn(specOf("last", 0))
			if err != nil {
				return err
			}
			acceptedAt[id] = time.Now()
		}
		check()
		time.Sleep(100 * time.Millisecond)
	}
	for begin := time.Now(); time.Since(begin) < restartBound+time.Second; time.Sleep(100 * time.Millisecond) {
		check()
	}
	return nil
}

package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// In the case "crashed", clients hand in sound jobs while some executors go down and up by turns. No run ends as failed, so no
// job may be shown as failed.
const (
	crashedMachines = 48
	slipsPerSecond  = 30
	countsPerSecond = 7
	traffic         = 55 * time.Second
	flapShare       = 0.1
	flapPeriod      = 1400 * time.Millisecond
	flapTime        = 6500 * time.Millisecond
	flapPause       = 2 * time.Second
	flapCount       = 6
	lastingJobs     = 10
)

func init() { cases["crashed"] = playCrashed }

func playCrashed(c *cell, trouble bool) error {
	slips, recounts := newQueue("slips", 0, 2, 600, 1.5), newQueue("recounts", 2, 3, 3000, 4)
	services := newQueue("services", 1, 4, 1200, 2.2)
	f, err := startCell(c, crashedMachines, []queue{slips, recounts, services})
	if err != nil {
		return err
	}
	defer f.stop()
	var mu sync.Mutex
	var clients sync.WaitGroup
	queues := map[string]queue{}
	handIn := func(q queue, spec string, p phase) {
		clients.Go(func() {
			id := newJobID()
			if c.submit(q, id, spec, []phase{p}) {
				mu.Lock()
				defer mu.Unlock()
				queues[id] = q
			}
		})
	}
	for range lastingJobs {
		handIn(services, specOf("last", 0), phase{Count: 4, CPU: 1400, MemMb: 600, EstimateMs: 1000, LongRunning: true})
	}
	if trouble {
		clients.Go(func() {
			time.Sleep(5 * time.Second)
			for range flapCount {
				if err := f.flap(); err != nil {
					c.record.note("flapping: %v", err)
				}
				time.Sleep(flapPause)
			}
		})
	}
	ticker := time.NewTicker(time.Second / slipsPerSecond)
	defer ticker.Stop()
	n := 0
	for begin := time.Now(); time.Since(begin) < traffic; <-ticker.C {
		handIn(slips, specOf("work", time.Second), phase{Count: 2, CPU: 1400, MemMb: 900, EstimateMs: 1000})
		if n++; n%(slipsPerSecond/countsPerSecond) == 0 {
			handIn(recounts, specOf("work", 2200*time.Millisecond), phase{Count: 10, CPU: 980, MemMb: 1400, EstimateMs: 2200})
		}
	}
	clients.Wait()
	time.Sleep(14 * time.Second) // finish_s
	counts := map[string]int{}
	for id, q := range queues {
		state := c.state(q, id)
		counts[state]++
		if state == "failed" {
			c.record.breaks("LOST", "job %s is shown as failed; its runs ended so: %v", id, f.audit.endsOfJob(id))
		}
	}
	starts, failed := f.audit.total("failed")
	c.record.note("jobs by state: %v; %d runs, %d of them failed", counts, starts, failed)
	return nil
}

// flap lets a share of the executors go down and up by turns for a time.
func (f *fleet) flap() error {
	machines := rand.Perm(len(f.executors))[:int(flapShare*float64(len(f.executors)))]
	for begin := time.Now(); time.Since(begin) < flapTime; {
		for _, m := range machines {
			f.down(m)
		}
		time.Sleep(flapPeriod / 2)
		for _, m := range machines {
			if err := f.up(m); err != nil {
				return err
			}
		}
		time.Sleep(flapPeriod / 2)
	}
	return nil
}

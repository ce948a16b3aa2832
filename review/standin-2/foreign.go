package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// In the case "foreign", another writer sends one heartbeat for each executor: fields are missing in it, and it has a start and
// a count of its own. All executors are sound, so their tasks, which last, have to go on.
const (
	foreignMachines = 12
	foreignJobs     = 6
	foreignPause    = 150 * time.Millisecond
	foreignWatch    = 40 * time.Second
)

func init() { cases["foreign"] = playForeign }

func playForeign(c *cell, trouble bool) error {
	q := newQueue("services", 1, 4, 1200, 2.2)
	f, err := startCell(c, foreignMachines, []queue{q})
	if err != nil {
		return err
	}
	defer f.stop()
	var tasks []string
	for range foreignJobs {
		id := newJobID()
		if !c.submit(q, id, specOf("last", 0), []phase{{Count: lastingTasks, CPU: lastingCPU, MemMb: 600, EstimateMs: 1000, LongRunning: true}}) {
			return fmt.Errorf("job %s is not accepted", id)
		}
		for i := range lastingTasks {
			tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", id, i))
		}
	}
	time.Sleep(6 * time.Second)
	for _, task := range tasks {
		if active, _ := f.audit.isActive(task); !active {
			return fmt.Errorf("task %s doesn't run 6 s after its job was accepted", task)
		}
	}
	if trouble {
		for i, x := range f.executors {
			body := x.foreignHeartbeat()
			status, answer, err := call("PUT", c.control(i), "", "/-/instances/"+x.id, body, time.Second)
			c.record.note("heartbeat of another writer for %s: %s; answer %d %s %v", x.id, body, status, answer, err)
			time.Sleep(foreignPause)
		}
	}
	broken := map[string]bool{}
	for begin := time.Now(); time.Since(begin) < foreignWatch; time.Sleep(100 * time.Millisecond) {
		for _, task := range tasks {
			active, endedAt := f.audit.isActive(task)
			if waited := time.Since(endedAt); !active && waited > restartBound && !broken[task] {
				broken[task] = true
				c.record.breaks("LOST", "task %s, which lasts, has not run for %.1f s; %s", task, waited.Seconds(), f.use())
			}
		}
	}
	for _, task := range tasks {
		active, _ := f.audit.isActive(task)
		c.record.note("task %s runs at the end: %t; its runs ended so: %v", task, active, f.audit.endsOfJob(task[:16])[task])
	}
	return nil
}

// foreignHeartbeat returns a heartbeat without version, slots and coldLeftMs, of a writer that started just now.
func (x *executor) foreignHeartbeat() []byte {
	body, err := json.Marshal(map[string]any{
		"service": service, "addr": x.fleet.address(x.machine), "zone": zones[x.machine%zoneCount], "state": "ready",
		"capacity": map[string]any{"cpu": executorCPU, "memMb": executorMemMb, "gpu": 0},
		"labels":   []string{"a", fmt.Sprintf("r%d-%d", x.machine%zoneCount, x.machine/8)}, "clockMs": 1, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		panic(err) // the values can always be encoded
	}
	return body
}

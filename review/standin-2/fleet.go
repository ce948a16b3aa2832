package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// fleet holds the machines of the service.
type fleet struct {
	cell  *cell
	audit *audit

	mu        sync.Mutex
	executors []*executor // by machine; nil while its executor is down
}

func newFleet(c *cell, machines int) (*fleet, error) {
	f := &fleet{cell: c, audit: newAudit(c.record), executors: make([]*executor, machines)}
	for i := range machines {
		if err := f.up(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) address(machine int) string {
	return fmt.Sprintf("%s:%d", f.cell.ip(firstWorker+machine), f.cell.workerPort)
}

// up starts an executor on a machine that has none.
func (f *fleet) up(machine int) error {
	x, err := f.startExecutor(machine)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executors[machine] = x
	f.cell.record.note("executor %s of machine %d starts", x.id, machine)
	return nil
}

// down crashes the executor of a machine.
func (f *fleet) down(machine int) {
	f.mu.Lock()
	x := f.executors[machine]
	f.executors[machine] = nil
	f.mu.Unlock()
	if x != nil {
		f.cell.record.note("executor %s of machine %d crashes", x.id, machine)
		x.crash()
	}
}

func (f *fleet) stop() {
	for i := range f.executors {
		f.down(i)
	}
}

// audit holds what has run, by task.
type audit struct {
	record *record

	mu     sync.Mutex
	active map[string]int       // runs of the task now
	ends   map[string][]string  // by task: how its runs ended
	lastAt map[string]time.Time // by task: the end of its last run
}

func newAudit(r *record) *audit {
	return &audit{record: r, active: map[string]int{}, ends: map[string][]string{}, lastAt: map[string]time.Time{}}
}

func (a *audit) started(x *executor, r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active[r.task]++
	a.record.note("run %s#%d starts on %s", r.task, r.attempt, x.id)
}

func (a *audit) ended(x *executor, r *run, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active[r.task]--
	a.ends[r.task] = append(a.ends[r.task], how)
	a.lastAt[r.task] = time.Now()
	a.record.note("run %s#%d ends on %s: %s", r.task, r.attempt, x.id, how)
}

// isActive reports whether a run of the task is there, and when the last one ended.
func (a *audit) isActive(task string) (active bool, endedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active[task] > 0, a.lastAt[task]
}

// endsOfJob returns how the runs of a job's tasks ended, by task.
func (a *audit) endsOfJob(id string) map[string][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := map[string][]string{}
	for task, ends := range a.ends {
		if strings.HasPrefix(task, id+".") {
			list[task] = append([]string{}, ends...)
		}
	}
	return list
}

// use describes how much of the processors of the executors that are up is requested by what runs.
func (f *fleet) use() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	up, used := 0, 0
	for _, x := range f.executors {
		if x == nil {
			continue
		}
		x.mu.Lock()
		up++
		for _, r := range x.runs {
			used += f.cell.cpuOf(r.task)
		}
		x.mu.Unlock()
	}
	return fmt.Sprintf("%d executors are up, %d of %d thousandths of a core are in use", up, used, up*executorCPU)
}

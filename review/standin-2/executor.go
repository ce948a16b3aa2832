package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Capacity of an executor, as on the sheet of cpsu-hampers.
const (
	executorCPU   = 16_000
	executorMemMb = 32_768
	maxListedEnds = 500
)

// executor is one life of a machine of the service: a process that runs tasks, as PROTOCOL.md describes it.
type executor struct {
	fleet   *fleet
	machine int
	id      string
	born    int64 // Unix milliseconds
	begun   time.Time
	clock0  int64

	listener net.Listener
	server   *http.Server
	stopped  chan struct{}

	mu       sync.Mutex
	dead     bool
	seq      int
	fence    uint64
	leaseEnd int64 // on the executor's clock
	runs     map[string]*run
	passed   map[string]int // by task: the highest run that was stopped or has ended
	ends     []end
	endCount int64
	acked    int64
	newEnd   chan struct{}
}

// run is a run of a task.
type run struct {
	task    string
	attempt int
	begun   time.Time
	work    time.Duration
	kind    string
	timer   *time.Timer
}

type end struct {
	number int64
	row    []any
}

// specOf returns the spec of a task that works for a time and then ends as its kind says: "work" and "fail" end so, "last"
// runs until it is stopped.
func specOf(kind string, work time.Duration) string {
	return kind + " " + strconv.FormatInt(work.Milliseconds(), 10)
}

func parseSpec(spec string) (kind string, work time.Duration) {
	kind, rest, _ := strings.Cut(spec, " ")
	ms, _ := strconv.Atoi(rest)
	return kind, time.Duration(ms) * time.Millisecond
}

func (x *executor) clockMs() int64 { return x.clock0 + time.Since(x.begun).Milliseconds() }

// startExecutor starts a new executor on a machine.
func (f *fleet) startExecutor(machine int) (*executor, error) {
	l, err := net.Listen("tcp", f.address(machine))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	x := &executor{
		fleet: f, machine: machine, id: fmt.Sprintf("i-%010x", rand.Uint64N(1<<40)), born: now.UnixMilli(), begun: now, clock0: 1000 + rand.Int64N(1_000_000),
		listener: l, stopped: make(chan struct{}), runs: map[string]*run{}, passed: map[string]int{}, newEnd: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", x.handle(x.runStart))
	mux.HandleFunc("POST /-/run-stop", x.handle(x.runStop))
	mux.HandleFunc("POST /-/hold", x.handle(x.hold))
	x.server = &http.Server{Handler: mux}
	go func() { _ = x.server.Serve(l) }()
	go x.beat()
	go x.watchLease()
	return x, nil
}

// crash ends the executor without a word.
func (x *executor) crash() {
	x.mu.Lock()
	if x.dead {
		x.mu.Unlock()
		return
	}
	x.dead = true
	close(x.stopped)
	for _, r := range x.runs {
		r.timer.Stop()
		x.fleet.audit.ended(x, r, "lost with its executor")
	}
	x.runs = nil
	x.mu.Unlock()
	_ = x.server.Close()
}

// beat sends heartbeats to the cores.
func (x *executor) beat() {
	next, address := rand.IntN(coreCount), ""
	wait := time.Duration(0)
	for {
		select {
		case <-x.stopped:
			return
		case <-time.After(wait):
		}
		x.mu.Lock()
		x.seq++
		seq := x.seq
		x.mu.Unlock()
		body, _ := json.Marshal(map[string]any{
			"service": service, "addr": x.fleet.address(x.machine), "zone": zones[x.machine%zoneCount], "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": executorCPU, "memMb": executorMemMb, "gpu": 0},
			"labels":   []string{"a", fmt.Sprintf("r%d-%d", x.machine%zoneCount, x.machine/8)}, "clockMs": x.clockMs(), "seq": seq, "born": x.born,
		})
		wait = heartbeat
		to := address
		if to == "" {
			to = x.fleet.cell.control(next)
		}
		status, answer, err := call("PUT", to, "", "/-/instances/"+x.id, body, time.Second)
		if err != nil || status/100 != 2 {
			address, wait = "", 100*time.Millisecond
			next++
			continue
		}
		var reply struct {
			HeartbeatAddr string `json:"heartbeatAddr"`
		}
		if json.Unmarshal(answer, &reply) == nil && reply.HeartbeatAddr != "" {
			address = reply.HeartbeatAddr
		}
	}
}

// watchLease ends everything that runs when the lease has expired.
func (x *executor) watchLease() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-x.stopped:
			return
		case <-ticker.C:
		}
		x.mu.Lock()
		if !x.dead && x.clockMs() > x.leaseEnd {
			for _, r := range x.runs {
				x.finish(r, "lapsed")
			}
		}
		x.mu.Unlock()
	}
}

// finish lists the end of a run. The caller holds mu.
func (x *executor) finish(r *run, how string) {
	if x.dead || x.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(x.runs, r.task)
	x.passed[r.task] = max(x.passed[r.task], r.attempt)
	x.endCount++
	x.ends = append(x.ends, end{x.endCount, []any{x.endCount, r.task, r.attempt, how, ""}})
	x.fleet.audit.ended(x, r, how)
	close(x.newEnd)
	x.newEnd = make(chan struct{})
}

// order is the body of a call to the executor.
type order struct {
	Task        string `json:"task"`
	Attempt     int    `json:"attempt"`
	Spec        string `json:"spec"`
	ExpiresAtMs int64  `json:"expiresAtMs"`
	Fence       uint64 `json:"fence"`
	AckCursor   int64  `json:"ackCursor"`
	WaitMs      int64  `json:"waitMs"`
}

// handle decodes a call and checks that it is meant for this executor.
func (x *executor) handle(serve func(order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		status, body := http.StatusBadRequest, map[string]any{}
		if id := r.Header.Get("Expect-Instance"); id != "" && id != x.id {
			status = http.StatusMisdirectedRequest
		} else if json.NewDecoder(r.Body).Decode(&o) == nil {
			status, body = serve(o)
		}
		body["clockMs"], body["born"] = x.clockMs(), x.born
		data, _ := json.Marshal(body)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(data)
	}
}

// admit takes the fence of a call, and reports whether it is not a lower one. The caller holds mu.
func (x *executor) admit(o order) bool {
	if o.Fence < x.fence {
		return false
	}
	x.fence = o.Fence
	return true
}

// extend takes the lease of a call. The caller holds mu.
func (x *executor) extend(expires int64) {
	x.leaseEnd = max(x.leaseEnd, min(expires, x.clockMs()+holdMax.Milliseconds()))
}

func reason(text string) map[string]any { return map[string]any{"reason": text} }

func (x *executor) runStart(o order) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch r := x.runs[o.Task]; {
	case x.dead:
		return http.StatusServiceUnavailable, map[string]any{}
	case !x.admit(o):
		return http.StatusConflict, reason("fence")
	case r != nil && r.attempt == o.Attempt:
		x.extend(o.ExpiresAtMs)
		return http.StatusOK, map[string]any{}
	case o.Attempt <= x.passed[o.Task] || (r != nil && o.Attempt < r.attempt):
		x.extend(o.ExpiresAtMs)
		return http.StatusConflict, reason("old")
	case o.ExpiresAtMs < x.clockMs():
		return http.StatusConflict, reason("late")
	}
	x.extend(o.ExpiresAtMs)
	kind, work := parseSpec(o.Spec)
	r := &run{task: o.Task, attempt: o.Attempt, begun: time.Now(), work: work, kind: kind}
	x.runs[o.Task] = r
	x.fleet.audit.started(x, r)
	if kind == "last" {
		work = time.Hour
	}
	how := "done"
	if kind == "fail" {
		how = "failed"
	}
	r.timer = time.AfterFunc(work, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.finish(r, how)
	})
	return http.StatusOK, map[string]any{}
}

func (x *executor) runStop(o order) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.admit(o) {
		return http.StatusConflict, reason("fence")
	}
	x.passed[o.Task] = max(x.passed[o.Task], o.Attempt)
	if r := x.runs[o.Task]; r != nil && r.attempt <= o.Attempt {
		time.AfterFunc(stopTime, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.finish(r, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

func (x *executor) hold(o order) (int, map[string]any) {
	x.mu.Lock()
	if !x.admit(o) {
		x.mu.Unlock()
		return http.StatusConflict, reason("fence")
	}
	if o.ExpiresAtMs > 0 {
		x.extend(o.ExpiresAtMs)
	}
	x.acked = max(x.acked, o.AckCursor)
	for len(x.ends) > 0 && x.ends[0].number <= x.acked {
		x.ends = x.ends[1:]
	}
	if len(x.ends) == 0 && o.WaitMs > 0 {
		newEnd := x.newEnd
		x.mu.Unlock()
		select {
		case <-newEnd:
		case <-x.stopped:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
		x.mu.Lock()
	}
	defer x.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, r := range x.runs {
		percent, load := 100, 0
		if r.kind != "last" && r.work > 0 {
			percent = int(min(99, 100*time.Since(r.begun)/r.work))
		}
		running = append(running, []any{r.task, r.attempt, "", percent, load})
	}
	for _, e := range x.ends[:min(len(x.ends), maxListedEnds)] {
		finished = append(finished, e.row)
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

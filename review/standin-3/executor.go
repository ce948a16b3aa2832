package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Work is the spec of a task: how long it runs and what it takes. Only executors read it. A task with Lasts set runs until it
// is stopped.
type Work struct {
	WorkMs int64 `json:"workMs"`
	CPU    int64 `json:"cpu"`
	Lasts  bool  `json:"lasts,omitempty"`
}

func (w Work) spec() string {
	data, _ := json.Marshal(w)
	return string(data)
}

// Executor is one life of a worker, as PROTOCOL.md describes it ("Running tasks", "Service discovery").
type Executor struct {
	d       *Deployment
	id      string
	service string
	zone    string
	rack    string
	cpu     int64
	born    int64
	started time.Time
	addr    string
	server  *http.Server
	cancel  context.CancelFunc

	mu       sync.Mutex
	ended    bool
	state    string
	seq      int64
	fence    int64
	leaseEnd time.Time
	runs     map[string]*run
	highest  map[string]int // highest run that was stopped or has ended, by task
	ends     [][]any
	lastEnd  int64
	newEnd   chan struct{}
	beatAddr string
	drained  chan struct{} // closed once a report of the state draining is acknowledged
}

type run struct {
	task    string
	attempt int
	work    Work
	started time.Time
	timer   *time.Timer
}

// startExecutor starts an executor. An empty addr stands for any free port of the executors' address.
func (d *Deployment) startExecutor(id, service, zone, addr string) (*Executor, error) {
	if addr == "" {
		addr = d.prefix + "200:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &Executor{
		d: d, id: id, service: service, zone: zone, rack: "r1-1", cpu: executorCPU, born: time.Now().UnixMilli(), started: time.Now(),
		addr: l.Addr().String(), cancel: cancel, state: "ready", runs: map[string]*run{}, highest: map[string]int{},
		newEnd: make(chan struct{}), drained: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /-/run-start", x.handleStart)
	mux.HandleFunc("POST /-/run-stop", x.handleStop)
	mux.HandleFunc("POST /-/hold", x.handleHold)
	x.server = &http.Server{Handler: mux}
	go func() { _ = x.server.Serve(l) }()
	go x.beat(ctx)
	go x.watchLease(ctx)
	d.rec.log("executor", "starts", "id", id, "service", service, "addr", x.addr)
	return x, nil
}

const executorCPU = 16000 // thousandths of a core

// clock is the executor's own steady clock; it begins at 1 s.
func (x *Executor) clock() int64 { return 1000 + time.Since(x.started).Milliseconds() }

// crash ends the process: everything that runs is lost, connections break, and nothing is reported.
func (x *Executor) crash() {
	x.end("crashes")
}

func (x *Executor) end(how string) {
	x.mu.Lock()
	if x.ended {
		x.mu.Unlock()
		return
	}
	x.ended = true
	for _, r := range x.runs {
		r.timer.Stop()
		x.d.rec.log("executor", "run lost with its executor", "id", x.id, "task", r.task, "run", r.attempt, "age", time.Since(r.started).Milliseconds())
		x.d.runEnded(r, "lost")
	}
	x.runs = map[string]*run{}
	x.mu.Unlock()
	x.cancel()
	_ = x.server.Close()
	x.d.rec.log("executor", how, "id", x.id)
}

// leave drains the executor and ends it, as a planned end.
func (x *Executor) leave(ctx context.Context) {
	x.mu.Lock()
	x.state = "draining"
	x.mu.Unlock()
	x.d.rec.log("executor", "reports draining", "id", x.id)
	x.sendBeat(ctx)
	select {
	case <-x.drained:
	case <-ctx.Done():
	}
	sleep(ctx, drainMs*time.Millisecond+time.Second)
	for _, addr := range x.d.controlAddrs() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+addr+"/-/instances/"+x.id, nil)
		if resp, err := beatClient.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				break
			}
		}
	}
	x.end("ends as planned")
}

var beatClient = &http.Client{Timeout: time.Second}

func (x *Executor) beat(ctx context.Context) {
	for ctx.Err() == nil {
		if !x.sendBeat(ctx) {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		sleep(ctx, heartbeatMs*time.Millisecond)
	}
}

// sendBeat sends the executor's report about itself to the nodes that serve control, in turn, until one acknowledges it.
func (x *Executor) sendBeat(ctx context.Context) bool {
	addrs := x.d.controlAddrs()
	x.mu.Lock()
	if x.beatAddr != "" {
		addrs = append([]string{x.beatAddr}, addrs...)
	}
	x.mu.Unlock()
	for _, addr := range addrs {
		x.mu.Lock()
		x.seq++
		state := x.state
		body := map[string]any{
			"service": x.service, "addr": x.addr, "zone": x.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": x.cpu, "memMb": 32768, "gpu": 0}, "labels": []string{"a", x.rack},
			"clockMs": x.clock(), "seq": x.seq, "born": x.born,
		}
		if state == "draining" {
			body["remainingMs"] = drainMs
		}
		x.mu.Unlock()
		data, _ := json.Marshal(body)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr+"/-/instances/"+x.id, bytes.NewReader(data))
		req.Header.Set("Content-Type", "application/json")
		resp, err := beatClient.Do(req)
		if err != nil {
			x.forgetBeatAddr(addr)
			continue
		}
		var answer struct {
			HeartbeatAddr string `json:"heartbeatAddr"`
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode/100 != 2 {
			x.forgetBeatAddr(addr)
			continue
		}
		_ = json.Unmarshal(text, &answer)
		x.mu.Lock()
		if answer.HeartbeatAddr != "" {
			x.beatAddr = answer.HeartbeatAddr
		}
		if state == "draining" {
			select {
			case <-x.drained:
			default:
				close(x.drained)
				x.d.rec.log("executor", "draining acknowledged", "id", x.id, "by", addr)
			}
		}
		x.mu.Unlock()
		return true
	}
	return false
}

func (x *Executor) forgetBeatAddr(addr string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.beatAddr == addr {
		x.beatAddr = ""
	}
}

func (x *Executor) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, 20*time.Millisecond)
		x.mu.Lock()
		x.checkLease()
		x.mu.Unlock()
	}
}

// checkLease kills everything that runs if the lease has expired. The caller holds mu.
func (x *Executor) checkLease() {
	if len(x.runs) == 0 || time.Now().Before(x.leaseEnd) {
		return
	}
	for _, r := range x.runs {
		x.endRun(r, "lapsed")
	}
}

// endRun lists an end. The caller holds mu.
func (x *Executor) endRun(r *run, how string) {
	r.timer.Stop()
	delete(x.runs, r.task)
	x.highest[r.task] = max(x.highest[r.task], r.attempt)
	x.lastEnd++
	x.ends = append(x.ends, []any{x.lastEnd, r.task, r.attempt, how, ""})
	x.d.rec.log("executor", "run ends", "id", x.id, "task", r.task, "run", r.attempt, "how", how)
	x.d.runEnded(r, how)
	close(x.newEnd)
	x.newEnd = make(chan struct{})
}

// extend takes over an expiry on the executor's clock. It never shortens the lease. The caller holds mu.
func (x *Executor) extend(expiresAtMs int64) {
	left := min(expiresAtMs-x.clock(), holdMaxMs)
	if until := time.Now().Add(time.Duration(left) * time.Millisecond); left > 0 && until.After(x.leaseEnd) {
		x.leaseEnd = until
	}
}

type order struct {
	Task        string `json:"task"`
	Attempt     int    `json:"attempt"`
	Spec        string `json:"spec"`
	ExpiresAtMs int64  `json:"expiresAtMs"`
	Fence       int64  `json:"fence"`
	AckCursor   int64  `json:"ackCursor"`
	WaitMs      int64  `json:"waitMs"`
}

// read decodes a call and checks for whom it is meant and its fence; it answers calls that it refuses. The caller holds mu.
func (x *Executor) read(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		x.answer(w, http.StatusBadRequest, nil)
		return o, false
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != x.id {
		x.answer(w, http.StatusMisdirectedRequest, nil)
		return o, false
	}
	if o.Fence < x.fence {
		x.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return o, false
	}
	x.fence = o.Fence
	return o, true
}

func (x *Executor) answer(w http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clockMs"], body["born"] = x.clock(), x.born
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (x *Executor) handleStart(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	o, ok := x.read(w, r)
	if !ok || x.ended {
		return
	}
	x.checkLease()
	if old := x.runs[o.Task]; old != nil && old.attempt == o.Attempt {
		x.answer(w, http.StatusOK, nil)
		return
	}
	if o.ExpiresAtMs <= x.clock() {
		x.answer(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	x.extend(o.ExpiresAtMs)
	if o.Attempt <= x.highest[o.Task] || x.runs[o.Task] != nil {
		x.answer(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	var work Work
	if json.Unmarshal([]byte(o.Spec), &work) != nil {
		x.answer(w, http.StatusBadRequest, nil)
		return
	}
	n := &run{task: o.Task, attempt: o.Attempt, work: work, started: time.Now()}
	n.timer = time.AfterFunc(time.Duration(work.WorkMs)*time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.checkLease()
		if x.runs[n.task] == n && !work.Lasts {
			x.endRun(n, "done")
		}
	})
	x.runs[o.Task] = n
	x.d.rec.log("executor", "run starts", "id", x.id, "task", o.Task, "run", o.Attempt, "fence", o.Fence)
	x.d.runStarted(n, x)
	x.answer(w, http.StatusOK, nil)
}

func (x *Executor) handleStop(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	o, ok := x.read(w, r)
	if !ok || x.ended {
		return
	}
	x.highest[o.Task] = max(x.highest[o.Task], o.Attempt)
	if n := x.runs[o.Task]; n != nil && n.attempt <= o.Attempt {
		x.endRun(n, "stopped")
	}
	x.answer(w, http.StatusOK, nil)
}

func (x *Executor) handleHold(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	o, ok := x.read(w, r)
	if !ok || x.ended {
		return
	}
	x.checkLease()
	x.extend(o.ExpiresAtMs)
	for len(x.ends) > 0 && x.ends[0][0].(int64) <= o.AckCursor {
		x.ends = x.ends[1:]
	}
	if len(x.ends) == 0 && o.WaitMs > 0 {
		newEnd := x.newEnd
		x.mu.Unlock()
		select {
		case <-newEnd:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		x.mu.Lock()
		if x.ended {
			return
		}
	}
	running := [][]any{}
	for _, n := range x.runs {
		percent := int64(100)
		if n.work.WorkMs > 0 && !n.work.Lasts {
			percent = min(99, 100*time.Since(n.started).Milliseconds()/n.work.WorkMs)
		}
		running = append(running, []any{n.task, n.attempt, "", percent, n.work.CPU})
	}
	ends := x.ends
	x.answer(w, http.StatusOK, map[string]any{"running": running, "finished": append([][]any{}, ends[:min(len(ends), 500)]...)})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func jobOf(task string) string {
	for i := range task {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return fmt.Sprintf("?%s", task)
}

package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// executor is one life of an executor, as PROTOCOL.md describes it. The spec of a task is its run time in milliseconds, or
// lasting for a task that runs until it is stopped.
type executor struct {
	id, service, address, zone, rack string
	cpu                              int
	control                          []string
	heartbeat, stopTime              time.Duration
	record                           *recorder
	born                             time.Time

	mu       sync.Mutex
	fence    uint64
	leaseEnd time.Time
	fails    bool // fails all that it starts
	runs     map[runKey]*run
	highest  map[string]int // highest attempt that was stopped or has ended, by task
	ends     []endRow
	lastEnd  int64
	changed  chan struct{} // closed when an end is added
}

type runKey struct {
	task    string
	attempt int
}

type run struct {
	begun    time.Time
	work     time.Duration
	stopping bool
}

type endRow struct {
	number  int64
	task    string
	attempt int
	how     string
}

// lastingSpec is the spec of a task that lasts, and failAfter how long a task runs that fails.
const (
	lastingSpec = "lasting"
	failAfter   = 50 * time.Millisecond
)

// maxLease is the longest lease that an executor accepts: holdMaxMs of the settings.
const maxLease = 10 * time.Second

func runExecutor(args []string) {
	f := flag.NewFlagSet("executor", flag.ExitOnError)
	x := &executor{born: time.Now(), runs: map[runKey]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	f.StringVar(&x.id, "id", "", "")
	f.StringVar(&x.service, "service", "", "")
	f.StringVar(&x.address, "address", "", "")
	f.StringVar(&x.zone, "zone", "", "")
	f.StringVar(&x.rack, "rack", "r1-1", "")
	f.IntVar(&x.cpu, "cpu", 8000, "")
	f.DurationVar(&x.heartbeat, "heartbeat", 1500*time.Millisecond, "")
	f.DurationVar(&x.stopTime, "stop", 150*time.Millisecond, "")
	control := f.String("control", "", "")
	listen := f.String("listen", "", "")
	path := f.String("record", "", "")
	_ = f.Parse(args)
	x.control = strings.Split(*control, ",")
	var err error
	if x.record, err = openRecord(*path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	x.record.add(event{Kind: "life", Executor: x.id, Life: x.life()})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", x.handleStart)
	mux.HandleFunc("POST /-/run-stop", x.handleStop)
	mux.HandleFunc("POST /-/hold", x.handleHold)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	go x.sendHeartbeats()
	go x.watchHealth()
	go func() {
		for ; ; time.Sleep(10 * time.Millisecond) {
			x.mu.Lock()
			x.expireLease()
			x.mu.Unlock()
		}
	}()
	_ = http.Serve(l, mux)
}

// watchHealth lets the executor fail all that it starts after SIGUSR1, and be sound again after SIGUSR2.
func (x *executor) watchHealth() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	for s := range signals {
		x.mu.Lock()
		x.fails = s == syscall.SIGUSR1
		x.mu.Unlock()
	}
}

func (x *executor) life() int64 { return x.born.UnixMilli() }

func (x *executor) clockMs() int64 { return 1 + time.Since(x.born).Milliseconds() }

func (x *executor) expireLease() {
	if time.Now().Before(x.leaseEnd) {
		return
	}
	for k := range x.runs {
		x.end(k, "lapsed")
	}
}

// end ends a run and lists the end. The caller holds mu.
func (x *executor) end(k runKey, how string) {
	if x.runs[k] == nil {
		return
	}
	delete(x.runs, k)
	x.highest[k.task] = max(x.highest[k.task], k.attempt)
	x.lastEnd++
	x.ends = append(x.ends, endRow{x.lastEnd, k.task, k.attempt, how})
	x.record.add(event{Kind: "end", Executor: x.id, Life: x.life(), Task: k.task, Attempt: k.attempt, How: how})
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *executor) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = x.clockMs()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// accept decodes a call and reports whether it is meant for this executor.
func (x *executor) accept(w http.ResponseWriter, r *http.Request, body any) bool {
	if json.NewDecoder(r.Body).Decode(body) != nil {
		x.reply(w, http.StatusBadRequest, map[string]any{})
		return false
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != x.id {
		x.reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	return true
}

// extend extends the lease. A time on the executor's clock is shortened to maxLease. The caller holds mu.
func (x *executor) extend(expiresAtMs int64) {
	until := x.born.Add(time.Duration(min(expiresAtMs, x.clockMs()+maxLease.Milliseconds())) * time.Millisecond)
	if until.After(x.leaseEnd) {
		x.leaseEnd = until
	}
}

type order struct {
	Task        string `json:"task"`
	Attempt     int    `json:"attempt"`
	Spec        string `json:"spec"`
	ExpiresAtMs int64  `json:"expiresAtMs"`
	Fence       uint64 `json:"fence"`
}

func (x *executor) handleStart(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.accept(w, r, &o) {
		return
	}
	x.mu.Lock()
	status, reason := x.start(o)
	x.mu.Unlock()
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	x.reply(w, status, body)
}

func (x *executor) start(o order) (int, string) {
	x.expireLease()
	if o.Fence < x.fence {
		return http.StatusConflict, "fence"
	}
	x.fence = o.Fence
	k := runKey{o.Task, o.Attempt}
	if x.runs[k] != nil {
		return http.StatusOK, ""
	}
	if o.ExpiresAtMs <= x.clockMs() {
		return http.StatusConflict, "late"
	}
	x.extend(o.ExpiresAtMs)
	if o.Attempt <= x.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	started := &run{begun: time.Now()}
	how, after := "done", time.Duration(0)
	if o.Spec != lastingSpec {
		var ms int
		if _, err := fmt.Sscan(o.Spec, &ms); err != nil {
			return http.StatusBadRequest, ""
		}
		started.work = time.Duration(ms) * time.Millisecond
		after = started.work
	}
	if x.fails {
		how, after = "failed", failAfter
	}
	x.runs[k] = started
	x.record.add(event{Kind: "begin", Executor: x.id, Life: x.life(), Task: o.Task, Attempt: o.Attempt})
	if after == 0 {
		return http.StatusOK, ""
	}
	time.AfterFunc(after, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.expireLease()
		if !started.stopping {
			x.end(k, how)
		}
	})
	return http.StatusOK, ""
}

func (x *executor) handleStop(w http.ResponseWriter, r *http.Request) {
	var o order
	if !x.accept(w, r, &o) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if o.Fence < x.fence {
		x.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	x.fence = o.Fence
	x.highest[o.Task] = max(x.highest[o.Task], o.Attempt)
	for k, stopped := range x.runs {
		if k.task != o.Task || k.attempt > o.Attempt || stopped.stopping {
			continue
		}
		stopped.stopping = true
		time.AfterFunc(x.stopTime, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.end(k, "stopped")
		})
	}
	x.reply(w, http.StatusOK, map[string]any{})
}

func (x *executor) handleHold(w http.ResponseWriter, r *http.Request) {
	var b struct {
		ExpiresAtMs int64  `json:"expiresAtMs"`
		Fence       uint64 `json:"fence"`
		AckCursor   int64  `json:"ackCursor"`
		WaitMs      int64  `json:"waitMs"`
	}
	if !x.accept(w, r, &b) {
		return
	}
	x.mu.Lock()
	x.expireLease()
	if b.Fence < x.fence {
		x.mu.Unlock()
		x.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	x.fence = b.Fence
	x.extend(b.ExpiresAtMs)
	var kept []endRow
	for _, e := range x.ends {
		if e.number > b.AckCursor {
			kept = append(kept, e)
			continue
		}
		x.record.add(event{Kind: "noted", Executor: x.id, Life: x.life(), Task: e.task, Attempt: e.attempt, How: e.how})
	}
	x.ends = kept
	changed, wait := x.changed, len(x.ends) == 0 && b.WaitMs > 0
	x.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expireLease()
	running, finished := [][]any{}, [][]any{}
	for k, r := range x.runs {
		percent := 100
		if r.work > 0 {
			percent = min(99, int(100*time.Since(r.begun)/r.work))
		}
		running = append(running, []any{k.task, k.attempt, "", percent, 1000})
	}
	for _, e := range x.ends[:min(len(x.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	x.reply(w, http.StatusOK, map[string]any{"born": x.life(), "running": running, "finished": finished})
}

var heartbeatClient = &http.Client{Timeout: time.Second}

// sendHeartbeats announces the executor at once and then periodically; the next node is called when one does not acknowledge.
func (x *executor) sendHeartbeats() {
	preferred := ""
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"service": x.service, "addr": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": x.cpu, "memMb": 32768, "gpu": 0}, "labels": []string{"a", x.rack},
			"clockMs": x.clockMs(), "seq": seq, "born": x.life(),
		})
		list := append([]string{}, x.control...)
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		if preferred != "" {
			list = append([]string{preferred}, list...)
		}
		preferred = ""
		for _, node := range list {
			if next, ok := sendHeartbeat(node, x.id, body); ok {
				preferred = next
				break
			}
		}
		time.Sleep(x.heartbeat)
	}
}

// sendHeartbeat reports whether a node acknowledged the heartbeat, and the address that it names for later ones.
func sendHeartbeat(node, id string, body []byte) (next string, ok bool) {
	req, err := http.NewRequest(http.MethodPut, "http://"+node+"/-/instances/"+id, strings.NewReader(string(body)))
	if err != nil {
		return "", false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := heartbeatClient.Do(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	var r struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&r)
	return r.HeartbeatAddr, resp.StatusCode == http.StatusOK
}

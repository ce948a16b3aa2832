package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Values of the settings; those of sites/cpsu-hampers.toml.
const (
	heartbeatMs = 1500
	drainMs     = 3000
	holdMaxMs   = 10000
)

// longestTest is shorter than the 120 s that a script may take.
const longestTest = 112 * time.Second

// Recorder writes what was sent, answered and run.
type Recorder struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *Recorder) log(who, what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %-9s %s", time.Since(r.begin).Seconds(), who, what)
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	_, _ = fmt.Fprintln(r.file, line)
}

// Node is a machine of the system with one process.
type Node struct {
	d        *Deployment
	role     string
	ip       string
	zone     string
	settings string
	dataDir  string

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended, and ending says how.
	done   chan struct{}
	ending string
}

// Deployment is a small deployment on loopback: three machines of class core, some of class frontend, executors, an operator
// and clients.
type Deployment struct {
	rec    *Recorder
	dir    string
	prefix string // of the addresses
	port   int    // of the first listener
	cores  []*Node
	fronts []*Node

	mu      sync.Mutex
	execs   []*Executor
	starts  map[string]int            // by job
	running map[string]int            // by task
	ends    map[string]map[string]int // by job and how
	closed  bool
}

var zones = []string{"salish-a", "olympic-a", "columbia-a"}

// newDeployment prepares a deployment with some fronts, and starts its processes.
func newDeployment(rec *Recorder, fronts int) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{rec: rec, dir: dir, starts: map[string]int{}, running: map[string]int{}, ends: map[string]map[string]int{}}
	go d.closeInTime()
	if err := d.chooseAddresses(); err != nil {
		return nil, err
	}
	for i := range 3 {
		d.cores = append(d.cores, &Node{d: d, role: "core", ip: fmt.Sprintf("%s%d", d.prefix, 1+i), zone: zones[i]})
	}
	for i := range fronts {
		d.fronts = append(d.fronts, &Node{d: d, role: "front", ip: fmt.Sprintf("%s%d", d.prefix, 11+i), zone: zones[i%3]})
	}
	for _, n := range d.nodes() {
		n.settings = filepath.Join(dir, n.ip+".yaml")
		if n.role == "core" {
			n.dataDir = filepath.Join(dir, n.ip)
			if err := os.Mkdir(n.dataDir, 0o755); err != nil {
				return nil, err
			}
		}
		if err := n.writeSettings(true); err != nil {
			return nil, err
		}
	}
	for _, n := range d.nodes() {
		if err := n.start(); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// chooseAddresses finds a part of the loopback network and ports that are free.
func (d *Deployment) chooseAddresses() error {
	for range 50 {
		d.prefix, d.port = fmt.Sprintf("127.%d.%d.", 64+rand.Intn(120), 1+rand.Intn(250)), 20000+100*rand.Intn(100)
		free := true
		for _, host := range []string{"1", "2", "3", "11", "12", "13", "14", "15", "16", "17"} {
			for i := range 4 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%s:%d", d.prefix, host, d.port+i))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("found no free addresses")
}

func (d *Deployment) nodes() []*Node { return append(append([]*Node{}, d.cores...), d.fronts...) }

func (d *Deployment) controlAddrs() []string {
	var list []string
	for _, i := range rand.Perm(len(d.cores)) {
		list = append(list, fmt.Sprintf("%s:%d", d.cores[i].ip, d.port))
	}
	return list
}

func (n *Node) frontAddr() string { return fmt.Sprintf("%s:%d", n.ip, n.d.port+1) }

func (n *Node) readyAddr() string { return fmt.Sprintf("%s:%d", n.ip, n.d.port+2) }

// writeSettings writes the settings file as DEPLOY.md shows it.
func (n *Node) writeSettings(bootstrap bool) error {
	d := n.d
	class, serves, listen, data, limits := "frontend", "frontend", fmt.Sprintf("  front: %q\n  ready: %q\n", n.frontAddr(), n.readyAddr()), "null",
		"{cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}"
	if n.role == "core" {
		class, serves, listen, data = "core", "control_plane", fmt.Sprintf("  control: \"%s:%d\"\n", n.ip, d.port), fmt.Sprintf("%q", n.dataDir)
		limits = "{cpuShare: 0.8, cores: 1, memoryMb: 280, maxFds: 4096, linkMbps: 1000.0, diskMb: 128}"
	}
	seeds := ""
	for _, c := range d.cores {
		seeds += fmt.Sprintf("  - \"%s:%d\"\n", c.ip, d.port)
	}
	text := fmt.Sprintf(`nodeId: "%s-%s"
role: "%s"
machineClass: "%s"
serves: ["%s"]
ip: "%s"
zone: "%s"
region: "%s"
zones: {salish-a: "salish", olympic-a: "olympic", columbia-a: "columbia"}
listen:
%sportRange: [%d, %d]
seeds:
%sbootstrap: %t
faultCounted: %t
limits: %s
dataDir: %s
discovery: "registry"
entry: "vip"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"]
faultTolerance: {machines: 1, zones: 0, regionFaults: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: %d, graceS: 6, lossSlackMs: 200, configApplyMs: 3000, rollbackSlackMs: 250, maxStretchMs: 6000, recoverS: 12, holdMaxMs: %d, stopMs: 900, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remotePenalty: 1.5, checkpointS: 2, restoreMs: 600, noticeMs: 5500, migrateS: 1.5, maintenanceS: 2, fencingEnforced: false, leaseMs: 3000, thawMs: 300, rateMs: 100, impactMs: 4000}
config_mode: "highest"
orders: "invoke"
advice: "%s250:8169"
`, n.role, n.ip, n.role, class, serves, n.ip, n.zone, strings.TrimSuffix(n.zone, "-a"), listen, d.port+10, d.port+25, seeds, bootstrap, n.role == "core",
		limits, data, heartbeatMs, drainMs, holdMaxMs, d.prefix)
	return os.WriteFile(n.settings, []byte(text), 0o644)
}

// commands of deploy/system.toml.
var commands = map[string][]string{
	"front": {"target/platform", "front", "--features", "overload"},
	"core":  {"target/platform", "core", "--features", "overload,relays"},
}

// start starts the process of a node, with its output in the temporary folder.
func (n *Node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.d.mu.Lock()
	closed := n.d.closed
	n.d.mu.Unlock()
	if closed {
		return errors.New("the test has ended")
	}
	out, err := os.OpenFile(filepath.Join(n.d.dir, n.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	c := commands[n.role]
	cmd := exec.Command(c[0], c[1:]...)
	cmd.Env = []string{"VANILLABRIDGE_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done, n.ending = cmd, done, ""
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		n.ending = cmd.ProcessState.String()
		n.mu.Unlock()
		n.d.rec.log("node", "process ended", "role", n.role, "ip", n.ip, "how", fmt.Sprint(err))
		close(done)
	}()
	n.d.rec.log("node", "process started", "role", n.role, "ip", n.ip)
	return nil
}

// signal sends a signal to the process.
func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.d.rec.log("node", "signal", "role", n.role, "ip", n.ip, "signal", s)
	_ = n.cmd.Process.Signal(s)
}

// stop ends the process with a signal and waits for its end.
func (n *Node) stop(s syscall.Signal) {
	n.signal(s)
	<-n.done
}

// close ends everything that was started.
func (d *Deployment) close() {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return
	}
	d.closed = true
	execs := d.execs
	d.execs = nil
	d.mu.Unlock()
	for _, x := range execs {
		x.end("ends with the test")
	}
	for _, n := range d.nodes() {
		n.mu.Lock()
		cmd, done := n.cmd, n.done
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept:", d.dir)
	}
}

// closeInTime ends the test if a signal asks for it or if it takes too long.
func (d *Deployment) closeInTime() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-asked:
		verdict(d.rec, failed, "ended by a signal: %v", s)
	case <-time.After(longestTest):
		verdict(d.rec, failed, "not done in %v", longestTest)
	}
	d.close()
	os.Exit(failed)
}

func (d *Deployment) addExecutor(id, service, zone, addr string) (*Executor, error) {
	x, err := d.startExecutor(id, service, zone, addr)
	if err == nil {
		d.mu.Lock()
		d.execs = append(d.execs, x)
		d.mu.Unlock()
	}
	return x, err
}

func (d *Deployment) runStarted(r *run, _ *Executor) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts[jobOf(r.task)]++
	d.running[r.task]++
}

func (d *Deployment) runEnded(r *run, how string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[r.task]--
	job := jobOf(r.task)
	if d.ends[job] == nil {
		d.ends[job] = map[string]int{}
	}
	d.ends[job][how]++
}

// runsOf returns how many runs of a job have started, how many run now, and how the others have ended.
func (d *Deployment) runsOf(job string) (started, running int, ends map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for task, n := range d.running {
		if jobOf(task) == job {
			running += n
		}
	}
	ends = map[string]int{}
	for how, n := range d.ends[job] {
		ends[how] = n
	}
	return d.starts[job], running, ends
}

// Answer is the answer to a call; Status is 0 if none came.
type Answer struct {
	Status int
	Body   []byte
}

var plainClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends one request and waits for its answer.
func (d *Deployment) call(who, method, addr, host, path string, body any, wait time.Duration) Answer {
	return d.callFor(who, method, addr, host, path, body, wait, wait)
}

// callFor sends one request that names a deadline, and closes its connection if no answer has come in the time that is given.
func (d *Deployment) callFor(who, method, addr, host, path string, body any, deadline, wait time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return Answer{}
	}
	if host != "" {
		req.Host = host
		req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	req.Header.Set("Content-Type", "application/json")
	sent := time.Now()
	d.rec.log(who, "sends", "method", method, "to", addr, "path", path)
	resp, err := plainClient.Do(req)
	if err != nil {
		d.rec.log(who, "got no answer", "method", method, "to", addr, "path", path, "after", time.Since(sent).Milliseconds(), "error", err)
		return Answer{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		d.rec.log(who, "got no whole answer", "method", method, "to", addr, "path", path, "error", err)
		return Answer{}
	}
	d.rec.log(who, "gets", "method", method, "to", addr, "path", path, "status", resp.StatusCode, "after", time.Since(sent).Milliseconds(), "body", clip(text))
	return Answer{resp.StatusCode, text}
}

func clip(text []byte) string {
	if len(text) > 120 {
		return string(text[:120]) + "..."
	}
	return string(text)
}

// configure sends a configuration as the operator does, until it is acknowledged.
func (d *Deployment) configure(config map[string]any, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, addr := range d.controlAddrs() {
			if a := d.call("operator", http.MethodPut, addr, "", "/-/config", config, 2*time.Second); a.Status == http.StatusOK {
				d.rec.log("operator", "configuration acknowledged", "version", config["version"])
				return true
			} else if a.Status/100 == 4 {
				return false
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// route describes a queue without a ticket policy.
func route(name, prefix, service string, maxAttempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "jobs.example", "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1200,
		"priority": 1, "service": service, "maxAttempts": maxAttempts, "stretch": 2.2,
	}
}

func config(version int, services []string, routes ...map[string]any) map[string]any {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// awaitReady waits until all fronts are ready.
func (d *Deployment) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range d.fronts {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.readyAddr()+"/-/readyz", nil)
			if resp, err := plainClient.Do(req); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
			cancel()
		}
		if ready == len(d.fronts) {
			return true
		}
	}
	return false
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// state asks for the state of a job, at several fronts if need be; it returns the status of the last answer.
func (d *Deployment) state(path string) (string, int) {
	status := 0
	for i := range 4 {
		a := d.call("client", http.MethodGet, d.fronts[(rand.Intn(len(d.fronts))+i)%len(d.fronts)].frontAddr(), "jobs.example", path, nil, 3*time.Second)
		status = a.Status
		var body struct {
			State string `json:"state"`
		}
		if a.Status == http.StatusOK && json.Unmarshal(a.Body, &body) == nil {
			return body.State, a.Status
		}
		if a.Status == http.StatusGone || a.Status == http.StatusNotFound {
			return "", a.Status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "", status
}

// submit hands a job in as a client does: again at another front after no answer, 502, 503, 504 or 429. It reports whether
// the job was accepted.
func (d *Deployment) submit(path string, job map[string]any) bool {
	for i := range 5 {
		n := d.fronts[(rand.Intn(len(d.fronts))+i)%len(d.fronts)]
		a := d.call("client", http.MethodPost, n.frontAddr(), "jobs.example", path, job, 3*time.Second)
		if a.Status/100 == 2 {
			return true
		}
		if a.Status/100 == 4 && a.Status != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployment whose settings the cell uses (cpsu-hampers).
const (
	holdMax      = 10 * time.Second
	gangTimeout  = 3 * time.Second
	stopTime     = 100 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	memoryMiB    = 280
	zoneCount    = 3
	coreCount    = 3
	frontCount   = 3
	firstCoreIP  = 1
	firstFrontIP = 21
	firstWorker  = 101
)

var zones = []string{"salish-a", "olympic-a", "columbia-a"}

var regions = map[string]string{"salish-a": "salish", "olympic-a": "olympic", "columbia-a": "columbia"}

// node is a process of the system.
type node struct {
	name, role, ip, zone string
	cell                 *cell
	bootstrap            bool
	dataDir              string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// cell is a small deployment on loopback addresses of its own.
type cell struct {
	record                            *record
	program                           string
	dir                               string
	subnet                            string // the first three bytes of all its addresses
	controlPort, frontPort, readyPort int
	peerPort, workerPort              int
	cores, fronts                     []*node

	mu       sync.Mutex
	handedIn map[string][]phase // by job
}

// newCell chooses addresses and ports that are free, and writes the settings.
func newCell(r *record, program string) (*cell, error) {
	dir, err := os.MkdirTemp("", "review-cell-")
	if err != nil {
		return nil, err
	}
	c := &cell{record: r, program: program, dir: dir, handedIn: map[string][]phase{}}
	if err := c.chooseAddresses(); err != nil {
		return nil, err
	}
	for i := range coreCount {
		z := zones[i%zoneCount]
		n := &node{name: fmt.Sprintf("core-%s-1", z), role: "core", ip: c.ip(firstCoreIP + i), zone: z, cell: c, bootstrap: true}
		n.dataDir = filepath.Join(dir, n.name)
		c.cores = append(c.cores, n)
	}
	for i := range frontCount {
		z := zones[i%zoneCount]
		c.fronts = append(c.fronts, &node{name: fmt.Sprintf("frontend-%s-1", z), role: "front", ip: c.ip(firstFrontIP + i), zone: z, cell: c, bootstrap: true})
	}
	return c, nil
}

func (c *cell) ip(last int) string { return fmt.Sprintf("%s.%d", c.subnet, last) }

// chooseAddresses looks for a subnet of the loopback network and ports on which nothing listens.
func (c *cell) chooseAddresses() error {
	for range 50 {
		c.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20_000 + rand.IntN(10_000)
		c.controlPort, c.frontPort, c.readyPort, c.workerPort, c.peerPort = base, base+1, base+2, base+3, base+4
		free := true
		for _, last := range []int{firstCoreIP, firstFrontIP, firstWorker} {
			for port := base; port < base+20; port++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.ip(last), port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

// settings returns the settings file of a node, as DEPLOY.md describes it.
func (n *node) settings() string {
	c := n.cell
	var b strings.Builder
	w := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class, serves := "core", "control_plane"
	if n.role == "front" {
		class, serves = "frontend", "frontend"
	}
	w("nodeId: %q\nrole: %q\nmachineClass: %q\nserves:\n  - %q\nip: %q\nzone: %q\nregion: %q\nzones:", n.name, n.role, class, serves, n.ip, n.zone, regions[n.zone])
	for _, z := range zones {
		w("  %s: %q", z, regions[z])
	}
	w("listen:")
	if n.role == "front" {
		w("  front: \"%s:%d\"\n  ready: \"%s:%d\"", n.ip, c.frontPort, n.ip, c.readyPort)
	} else {
		w("  control: \"%s:%d\"", n.ip, c.controlPort)
	}
	w("portRange:\n  - %d\n  - %d\nseeds:", c.peerPort, c.peerPort+15)
	for _, core := range c.cores {
		w("  - \"%s:%d\"", core.ip, c.controlPort)
	}
	w("bootstrap: %t\nfaultCounted: %t", n.bootstrap, n.role == "core")
	if n.role == "front" {
		w("limits:\n  cpuShare: 0.4\n  cores: 1\n  memoryMb: 284\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null")
	} else {
		w("limits:\n  cpuShare: 0.8\n  cores: 1\n  memoryMb: %d\n  maxFds: 4096\n  linkMbps: 1000.0\n  diskMb: 128\ndataDir: %q", memoryMiB, n.dataDir)
	}
	w("discovery: \"registry\"\nentry: \"vip\"\nheartbeatMs: %d", heartbeat.Milliseconds())
	w("contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"sched\"\n  - \"advice\"\n  - \"upkeep\"\n  - \"sharing\"")
	w("faultTolerance:\n  machines: 1\n  zones: 0\n  regionFaults: 0")
	w("bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 4000\n  ackMs: 5000\n  catchUpS: 4\n  drainMs: 3000\n  graceS: 6\n  lossSlackMs: 200\n  configApplyMs: 3000\n  rollbackSlackMs: 250\n  maxStretchMs: 6000\n  recoverS: 12")
	w("  holdMaxMs: %d\n  stopMs: 900\n  gangTimeoutMs: %d\n  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  remotePenalty: 1.5\n  checkpointS: 2\n  restoreMs: 600\n  noticeMs: 5500", holdMax.Milliseconds(), gangTimeout.Milliseconds())
	w("  migrateS: 1.5\n  maintenanceS: 2\n  fencingEnforced: false\n  leaseMs: 3000\n  thawMs: 300\n  rateMs: 100\n  impactMs: 4000")
	w("config_mode: \"highest\"\norders: \"invoke\"\nadvice: \"%s:1\"\ncloudApi:\n  addr: \"%s:1\"\n  ratePerS: 60.0\n  duties: []\n  dutyPerS: 60.0", c.ip(250), c.ip(250))
	return b.String()
}

// start starts the process of the node with the command of the deploy file.
func (n *node) start() error {
	path := filepath.Join(n.cell.dir, n.name+".yaml")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	if n.dataDir != "" {
		if err := os.MkdirAll(n.dataDir, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(n.cell.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	features := "overload"
	if n.role == "core" {
		features = "overload,relays"
	}
	cmd := exec.Command(n.cell.program, n.role, "--features", features)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VANILLABRIDGE_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = cmd
	return nil
}

// kill ends the process of the node, if it runs, and waits for it.
func (n *node) kill() {
	n.mu.Lock()
	cmd := n.cmd
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// addCore returns a further core, which starts with an empty disk while the others run.
func (c *cell) addCore() *node {
	n := &node{name: "core-salish-a-2", role: "core", ip: c.ip(firstCoreIP + coreCount), zone: zones[0], cell: c}
	n.dataDir = filepath.Join(c.dir, n.name)
	return n
}

func (c *cell) controlSuffix() string { return fmt.Sprintf(":%d", c.controlPort) }

// startAll starts all nodes.
func (c *cell) startAll() error {
	for _, n := range append(append([]*node{}, c.cores...), c.fronts...) {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the files of the cell, unless REVIEW_KEEP is set.
func (c *cell) stop() {
	for _, n := range append(append([]*node{}, c.fronts...), c.cores...) {
		n.kill()
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Println("kept:", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

func (c *cell) control(i int) string {
	return fmt.Sprintf("%s:%d", c.cores[i%len(c.cores)].ip, c.controlPort)
}

func (c *cell) front(i int) string {
	return fmt.Sprintf("%s:%d", c.fronts[i%len(c.fronts)].ip, c.frontPort)
}

// httpClient is the client of operators and callers. Each call has a timeout of its own.
var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// call sends a request and returns the status and the body of the answer.
func call(method, address, host, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if host != "" {
		req.Host = host
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// queue is a route of the configuration.
type queue struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	Stretch         float64 `json:"stretch"`
}

const (
	service = "desk01"
	host    = "orders.example"
)

// newQueue returns a queue of the service that needs no advice.
func newQueue(name string, priority, maxAttempts, targetMs int, stretch float64) queue {
	return queue{
		Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: targetMs,
		Priority: priority, Service: service, MaxAttempts: maxAttempts, Stretch: stretch,
	}
}

// configuration returns the document of a version.
func configuration(version int, queues []queue) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": queues,
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // the values can always be encoded
	}
	return data
}

// configure sends a configuration to one core after the other until one acknowledges it.
func (c *cell) configure(document []byte, within time.Duration) error {
	deadline := time.Now().Add(within)
	last := ""
	for i := 0; time.Now().Before(deadline); i++ {
		status, body, err := call("PUT", c.control(i), "", "/-/config", document, 3*time.Second)
		if err == nil && status == http.StatusOK {
			return nil
		}
		last = fmt.Sprint(status, " ", string(body), " ", err)
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged: %s", last)
}

// startCell starts the system and the executors, and waits until jobs are served.
func startCell(c *cell, machines int, queues []queue) (*fleet, error) {
	if err := c.startAll(); err != nil {
		return nil, err
	}
	if err := c.configure(configuration(2, queues), 20*time.Second); err != nil {
		return nil, err
	}
	f, err := newFleet(c, machines)
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if err := c.awaitReady(queues[0], f); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

package chaos_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbstand/admin"
	"vanillabridge/vbstand/entry"
	"vanillabridge/vbstand/record"
	"vanillabridge/vbstand/sample"
)

// zones lists the zones of the cell. The name of a zone's region lacks the suffix -a.
var zones = []model.Zone{"east-a", "west-a", "north-a"}

// members lists the instances of each zone. A zone with two instances has an instance of another
// zone as its witness.
var (
	members   = map[model.Zone][]string{"east-a": {"east1", "east2", "east3"}, "west-a": {"west1", "west2"}, "north-a": {"north1", "north2"}}
	witnesses = map[model.Zone]string{"west-a": "east2", "north-a": "east3"}
)

// cellVoters lists the voters of the group of the whole cell.
const cellVoters = "east1, west1, north1, east2, west2"

type instance struct {
	name, http, peer string
	zone             model.Zone
}

type process struct {
	cmd         *exec.Cmd
	httpAddress string
	exited      chan error
}

// cluster is a cell of processes on the loopback interface.
type cluster struct {
	t         *testing.T
	bin, dir  string
	instances []instance
	relays    map[[2]string]*relay // by names of the connecting and the target instance
	running   map[string]*process
	journal   *record.Writer
}

func newCluster(t *testing.T, bin string) *cluster {
	t.Helper()
	c := &cluster{t: t, bin: bin, dir: t.TempDir(), relays: map[[2]string]*relay{}, running: map[string]*process{}}
	if keep := os.Getenv("VBSTAND_KEEP"); keep != "" {
		c.dir = filepath.Join(keep, t.Name())
		if err := os.MkdirAll(c.dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	var err error
	if c.journal, err = record.Open(filepath.Join(c.dir, "test.jsonl")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.killAll)
	ports, err := exec.Command(filepath.Join(bin, "vbstand"), "ports", "14").Output()
	if err != nil {
		t.Fatal(err)
	}
	list := strings.Fields(string(ports))
	for _, z := range zones {
		for _, name := range members[z] {
			c.instances = append(c.instances, instance{name, "127.0.0.1:" + list[0], "127.0.0.1:" + list[1], z})
			list = list[2:]
		}
	}
	for _, a := range c.instances {
		for _, b := range c.instances {
			if a.zone != b.zone {
				c.relays[[2]string{a.name, b.name}] = newRelay(t, b.peer)
			}
		}
	}
	return c
}

func (c *cluster) findInstance(name string) instance {
	for _, i := range c.instances {
		if i.name == name {
			return i
		}
	}
	return instance{}
}

// settingsText returns the text of an instance's settings file. bootstrap is set only for the first
// start, which creates the groups.
func (c *cluster) settingsText(i instance, bootstrap bool) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[instance]\nname = %s\nzone = %s\nregion = %s\ndata = %s\nbootstrap = %v\n",
		i.name, i.zone, region(i.zone), c.dataDir(i.name), bootstrap)
	fmt.Fprintf(&b, "[listen]\nhttp = %s\npeer = %s\n[peers]\n", i.http, i.peer)
	for _, o := range c.instances {
		if o.name == i.name {
			continue
		}
		peer := o.peer
		if r := c.relays[[2]string{i.name, o.name}]; r != nil {
			peer = r.address()
		}
		fmt.Fprintf(&b, "%s = %s %s %s %s\n", o.name, o.zone, region(o.zone), o.http, peer)
	}
	fmt.Fprintf(&b, "[group]\nvoters = %s\ncell = %s\n", strings.Join(members[i.zone], ", "), cellVoters)
	if w := witnesses[i.zone]; w != "" {
		fmt.Fprintf(&b, "witness = %s\n", w)
	}
	for z, w := range witnesses {
		if w == i.name {
			fmt.Fprintf(&b, "[witness]\n%s = %s\n", z, strings.Join(members[z], ", "))
		}
	}
	return b.String()
}

func region(z model.Zone) string { return strings.TrimSuffix(string(z), "-a") }

func (c *cluster) dataDir(name string) string { return filepath.Join(c.dir, "data-"+name) }

// recordEvent records a fault or a change of state that the test caused in a process.
func (c *cluster) recordEvent(kind record.EventKind, name string, status int) {
	c.journal.Write(record.Line{Event: &record.Event{
		Event: kind, Name: name, Entry: c.findInstance(name).http, Time: record.Now(), Status: status,
	}})
}

// startProcess starts a program. The kernel kills it if the test ends without cleaning up.
func (c *cluster) startProcess(name, program string, args ...string) {
	c.t.Helper()
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(c.bin, program), args...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	p := &process{cmd: cmd, httpAddress: c.findInstance(name).http, exited: make(chan error, 1)}
	go func() { p.exited <- cmd.Wait() }()
	c.running[name] = p
	c.recordEvent(record.EventStart, name, 0)
}

func (c *cluster) startInstance(name string, bootstrap bool) {
	c.t.Helper()
	file := filepath.Join(c.dir, name+".ini")
	if err := os.WriteFile(file, []byte(c.settingsText(c.findInstance(name), bootstrap)), 0o644); err != nil {
		c.t.Fatal(err)
	}
	c.startProcess(name, "vbridged", "serve", "--settings", file)
}

// entryAddresses returns the HTTP addresses of the instances of a zone, or of all zones if z is
// empty.
func (c *cluster) entryAddresses(z model.Zone) string {
	var list []string
	for _, i := range c.instances {
		if z == "" || i.zone == z {
			list = append(list, i.http)
		}
	}
	return strings.Join(list, ",")
}

// startWorker starts a worker. Its capacity is such that two workers of a zone can run the gang if
// the third one fails.
func (c *cluster) startWorker(name string, z model.Zone, rack int, args ...string) {
	c.t.Helper()
	c.startProcess(name, "vbstand", append([]string{
		"worker", "--name", name, "--zone", string(z), "--rack", fmt.Sprintf("r%d", rack),
		"--entries", c.entryAddresses(z), "--cpu", "8000", "--memory", "16384", "--accel", "4", "--times", "1",
		"--journal", filepath.Join(c.dir, name+".jsonl"),
	}, args...)...)
}

func (c *cluster) startServer(name string, z model.Zone, args ...string) {
	c.t.Helper()
	c.startProcess(name, "vbstand", append([]string{
		"backend", "--name", name, "--zone", string(z), "--service", sample.Service, "--entries", c.entryAddresses(z),
		"--time", "50ms", "--journal", filepath.Join(c.dir, name+".jsonl"),
	}, args...)...)
}

// kill kills a process with SIGKILL.
func (c *cluster) kill(name string) {
	c.t.Helper()
	p := c.running[name]
	delete(c.running, name)
	_ = p.cmd.Process.Kill()
	<-p.exited
	c.recordEvent(record.EventKill, name, 0)
}

func (c *cluster) signal(name string, kind record.EventKind, s syscall.Signal) {
	c.t.Helper()
	if err := c.running[name].cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
	c.recordEvent(kind, name, 0)
}

func (c *cluster) pause(name string)  { c.signal(name, record.EventPause, syscall.SIGSTOP) }
func (c *cluster) resume(name string) { c.signal(name, record.EventResume, syscall.SIGCONT) }

func (c *cluster) wipe(name string) {
	c.t.Helper()
	if err := os.RemoveAll(c.dataDir(name)); err != nil {
		c.t.Fatal(err)
	}
	c.recordEvent(record.EventWipe, name, 0)
}

// setPartitioned partitions a zone from the other zones, or ends the partition.
func (c *cluster) setPartitioned(z model.Zone, partitioned bool) {
	for pair, r := range c.relays {
		if c.findInstance(pair[0]).zone == z || c.findInstance(pair[1]).zone == z {
			r.setPartitioned(partitioned)
		}
	}
	kind := record.EventHeal
	if partitioned {
		kind = record.EventPartition
	}
	for _, name := range members[z] {
		c.recordEvent(kind, name, 0)
	}
}

// stopProcesses sends SIGTERM to all matching processes at once and waits until they exit. It kills
// those that have not exited in time.
func (c *cluster) stopProcesses(match func(name string) bool) {
	c.t.Helper()
	var names []string
	for name, p := range c.running {
		if match(name) {
			names = append(names, name)
			c.recordEvent(record.EventTerm, name, 0)
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, name := range names {
		p := c.running[name]
		delete(c.running, name)
		select {
		case <-p.exited:
			c.recordEvent(record.EventExit, name, p.cmd.ProcessState.ExitCode())
		case <-time.After(40 * time.Second):
			_ = p.cmd.Process.Kill()
			<-p.exited
			c.recordEvent(record.EventExit, name, -1)
		}
	}
}

// killAll kills all running processes, so that none outlives the test, and closes the journal.
func (c *cluster) killAll() {
	for _, p := range c.running {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if err := c.journal.Close(); err != nil {
		c.t.Error(err)
	}
}

func (c *cluster) targets() []admin.Target {
	var out []admin.Target
	for _, i := range c.instances {
		out = append(out, admin.Target{Name: model.Instance(i.name), Address: i.http})
	}
	return out
}

// waitReady waits until all instances are ready and fails the test at the limit.
func (c *cluster) waitReady(limit time.Duration) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := admin.WaitReady(ctx, c.targets()); err != nil {
		c.t.Error(err)
	}
}

// waitLeader returns the leader of the group of a zone. It retries while no instance reports one.
func (c *cluster) waitLeader(z model.Zone) string {
	c.t.Helper()
	name, err := c.findLeader(z)
	for n := 0; err != nil && n < 50; n++ {
		time.Sleep(200 * time.Millisecond)
		name, err = c.findLeader(z)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return name
}

func (c *cluster) findLeader(z model.Zone) (string, error) {
	for _, name := range members[z] {
		address := c.findInstance(name).http
		list, err := entry.NewList(&http.Client{Timeout: time.Second}, []string{address})
		if err != nil {
			return "", err
		}
		var status proto.StatusReply
		if list.Do(context.Background(), http.MethodGet, address, "/v1/status", nil, &status) != nil {
			continue
		}
		for _, g := range status.Groups {
			leader, _, _ := strings.Cut(g.Leader, "#")
			if strings.Contains(g.Group, string(z)) && c.running[leader] != nil {
				return leader, nil
			}
		}
	}
	return "", errors.New("no instance reports a running leader of zone " + string(z))
}

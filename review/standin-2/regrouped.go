package main

import (
	"bufio"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// In the case "regrouped", a fourth core is added to three. Later one of the followers is killed for 3.5 s, and in that time the other one
// loses its disk, once it has acknowledged a configuration. All are back soon, and only one disk was lost. Clients have to be served
// again.
const (
	regroupedMachines = 8
	joinTime          = 8 * time.Second
	killTime          = 3500 * time.Millisecond
	wipeAfter         = 2100 * time.Millisecond
	wipeDownTime      = time.Second
	recoverTime       = 12 * time.Second // recoverS
	readTime          = 5 * time.Second  // more than contactMs
	probes            = 40
	probePause        = 300 * time.Millisecond
)

func init() { cases["regrouped"] = playRegrouped }

func playRegrouped(c *cell, trouble bool) error {
	q := newQueue("slips", 0, 2, 600, 1.5)
	f, err := startCell(c, regroupedMachines, []queue{q})
	if err != nil {
		return err
	}
	defer f.stop()
	added := c.addCore()
	defer added.kill()
	if err := added.start(); err != nil {
		return err
	}
	c.record.note("%s is added", added.name)
	time.Sleep(joinTime)
	before := c.probe(q)
	leader := c.leader()
	if leader < 0 {
		return errors.New("no core says that it leads")
	}
	killed, wiped := c.cores[(leader+1)%coreCount], c.cores[(leader+2)%coreCount]
	version := 3
	if trouble {
		c.record.note("%s leads; %s is killed", c.cores[leader].name, killed.name)
		begin := time.Now()
		killed.kill()
		time.Sleep(wipeAfter - time.Since(begin))
		status, _, err := call("PUT", wiped.ip+c.controlSuffix(), "", "/-/config", configuration(version, []queue{q}), 2*time.Second)
		c.record.note("%s answers version %d: %d %v; it loses its disk", wiped.name, version, status, err)
		wiped.kill()
		if err := os.RemoveAll(wiped.dataDir); err != nil {
			return err
		}
		time.Sleep(wipeDownTime)
		wiped.bootstrap, killed.bootstrap = false, false
		if err := wiped.start(); err != nil {
			return err
		}
		time.Sleep(killTime - time.Since(begin))
		if err := killed.start(); err != nil {
			return err
		}
		c.record.note("%s and %s are back", killed.name, wiped.name)
	}
	time.Sleep(recoverTime)
	after := c.probe(q)
	isRead := c.readConfiguration()
	c.record.note("served: %d of %d before, %d of %d after", before, probes, after, probes)
	switch {
	case before < probes/4:
		return errors.New("less than a quarter is served before the trouble")
	case after < probes/4:
		c.record.breaks("RECOVER", "%d of %d requests sent %s and more after all machines are back are served; before it were %d", after, probes, recoverTime, before)
	}
	if !isRead {
		c.record.breaks("CONFIG", "read back from each core for %s, the acknowledged configuration doesn't come", readTime)
	}
	return nil
}

// readConfiguration asks all cores in turn for the configuration, and reports whether it came.
func (c *cell) readConfiguration() bool {
	for begin, i := time.Now(), 0; time.Since(begin) < readTime; i++ {
		status, body, err := call("GET", c.control(i), "", "/-/config", nil, 2*time.Second)
		c.record.note("configuration read at %s: %d, %d bytes, %v", c.cores[i%coreCount].name, status, len(body), err)
		if err == nil && status == http.StatusOK {
			return true
		}
		time.Sleep(probePause)
	}
	return false
}

// probe hands jobs in, each once, and returns how many are accepted.
func (c *cell) probe(q queue) int {
	served := 0
	for i := range probes {
		id := newJobID()
		body := jobBody(specOf("work", 100*time.Millisecond), []phase{{Count: 1, CPU: 500, MemMb: 100, EstimateMs: 100}})
		status, _, err := call("POST", c.front(i), host, q.PathPrefix+id, body, 3*time.Second)
		c.record.note("job %s handed in: %d %v", id, status, err)
		if err == nil && status == http.StatusOK {
			served++
		}
		time.Sleep(probePause)
	}
	return served
}

// leader returns the core that said last in its log that it leads, or -1.
func (c *cell) leader() int {
	leader, latest := -1, ""
	for i, n := range c.cores {
		file, err := os.Open(filepath.Join(c.dir, n.name+".log"))
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			line := lines.Text()
			if !strings.Contains(line, `"msg":"role changed"`) || !strings.Contains(line, `"leads":true`) {
				continue
			}
			if at := line[:min(len(line), 45)]; at > latest {
				leader, latest = i, at
			}
		}
		_ = file.Close()
	}
	return leader
}

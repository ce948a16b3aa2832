package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// phase is a step of a job.
type phase struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu,omitempty"`
	MemMb       int   `json:"memMb,omitempty"`
	EstimateMs  int64 `json:"estimateMs,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// cpuOf returns what a task requests of the processors.
func (c *cell) cpuOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0
	}
	step, _ := strconv.Atoi(parts[2])
	c.mu.Lock()
	defer c.mu.Unlock()
	if phases := c.handedIn[parts[0]]; step < len(phases) {
		return phases[step].CPU
	}
	return 0
}

func jobBody(spec string, phases []phase) []byte {
	body, err := json.Marshal(map[string]any{"spec": spec, "phases": phases})
	if err != nil {
		panic(err) // the values can always be encoded
	}
	return body
}

// submit hands a job in until it is accepted, and reports whether it was.
func (c *cell) submit(q queue, id, spec string, phases []phase) bool {
	body := jobBody(spec, phases)
	c.mu.Lock()
	c.handedIn[id] = phases
	c.mu.Unlock()
	for try := range 20 {
		status, _, err := call("POST", c.front(rand.IntN(frontCount)), host, q.PathPrefix+id, body, 3*time.Second)
		c.record.note("job %s handed in, try %d: %d %v", id, try+1, status, err)
		if err == nil && status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job until there is an answer; it returns "" if there is none.
func (c *cell) state(q queue, id string) string {
	for range 10 {
		status, body, err := call("GET", c.front(rand.IntN(frontCount)), host, q.PathPrefix+id, nil, 3*time.Second)
		if err == nil && status == http.StatusGone {
			return "gone"
		}
		var reply struct {
			State string `json:"state"`
		}
		if err == nil && status == http.StatusOK && json.Unmarshal(body, &reply) == nil {
			return reply.State
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// awaitReady waits until the executors are known and a job is accepted and runs.
func (c *cell) awaitReady(q queue, f *fleet) error {
	deadline := time.Now().Add(20 * time.Second)
	id := newJobID()
	if !c.submit(q, id, specOf("work", 100*time.Millisecond), []phase{{Count: 4, CPU: 100, MemMb: 64, EstimateMs: 100}}) {
		return fmt.Errorf("the first job is not accepted")
	}
	for time.Now().Before(deadline) {
		if c.state(q, id) == "completed" {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the first job %s doesn't complete", id)
}

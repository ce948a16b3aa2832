package main

import (
	"bufio"
	"encoding/json"
	"os"
	"time"
)

// event is a line of record.txt: what was sent, answered and run, and when. Times are microseconds of the same machine's
// time of day.
type event struct {
	At       int64  `json:"at"`
	Kind     string `json:"kind"`
	Executor string `json:"executor,omitempty"`
	Life     int64  `json:"life,omitempty"`
	Task     string `json:"task,omitempty"`
	Attempt  int    `json:"attempt,omitempty"`
	How      string `json:"how,omitempty"`
	Job      string `json:"job,omitempty"`
	Status   int    `json:"status,omitempty"`
	State    string `json:"state,omitempty"`
	Text     string `json:"text,omitempty"`
}

// recorder appends to a file that several processes write.
type recorder struct{ file *os.File }

func openRecord(path string) (*recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &recorder{f}, err
}

func (r *recorder) add(e event) {
	e.At = time.Now().UnixMicro()
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = r.file.Write(append(line, '\n'))
}

func readRecord(path string) ([]event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var list []event
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) == nil && e.Kind != "" {
			list = append(list, e)
		}
	}
	return list, scanner.Err()
}

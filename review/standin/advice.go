package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// adviceTime and adviceTimeEach are how long the service decides, and longer for each executor named.
const (
	adviceTime     = 7400 * time.Microsecond
	adviceTimeEach = 110 * time.Microsecond
	ticketValidMs  = 2500
)

// serveAdvice plays the service that decides which executors may run a step: all may. It handles one call of a machine at
// a time.
func serveAdvice(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	turns := map[string]*sync.Mutex{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", func(w http.ResponseWriter, r *http.Request) {
		var b struct {
			Phase   string   `json:"phase"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&b) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		caller, _, _ := net.SplitHostPort(r.RemoteAddr)
		mu.Lock()
		turn := turns[caller]
		if turn == nil {
			turn = &sync.Mutex{}
			turns[caller] = turn
		}
		mu.Unlock()
		turn.Lock()
		time.Sleep(adviceTime + time.Duration(len(b.Workers))*adviceTimeEach)
		turn.Unlock()
		rows := [][]string{}
		for _, id := range b.Workers {
			rows = append(rows, []string{id, b.Phase + "@" + id})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"approved": rows, "validMs": ticketValidMs})
	})
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

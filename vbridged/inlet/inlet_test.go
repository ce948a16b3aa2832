package inlet_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"vanillabridge/core/clock"
	"vanillabridge/core/intake"
	"vanillabridge/vbridged/inlet"
)

// serve starts a server behind an inlet, which answers 503 to a request that was turned away and 200 to any other. It returns
// its address and a function that returns the value of a gauge of the inlet.
func serve(t *testing.T, l intake.Limits, c clock.Source) (address string, gauge func(name string) float64) {
	t.Helper()
	registry := prometheus.NewRegistry()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); errors.Is(err, inlet.ErrTurnedAway) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	in := inlet.New("test", l, c, inlet.NewMetrics(registry))
	in.Configure(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(in.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), func(name string) float64 {
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range families {
			if f.GetName() == name {
				return f.GetMetric()[0].GetGauge().GetValue()
			}
		}
		return 0
	}
}

// send opens a connection and sends the header and a part of the body of a request.
func send(t *testing.T, address string, length, sent int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent)); err != nil {
		t.Fatal(err)
	}
	return c
}

func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s: not so after 5 s", what)
}

// Guards against a client that is left without an answer, or gets another one than "not run", when its unfinished request
// makes room for another.
func TestUnfinishedRequestThatMakesRoomIsRefused(t *testing.T) {
	c := &clock.Fake{}
	address, gauge := serve(t, intake.Limits{Conns: 10, Bytes: 100 << 10}, c)
	unfinished := send(t, address, 90<<10, 80<<10)
	waitFor(t, "the request is counted", func() bool { return gauge("vb_inlet_bytes") >= 72<<10 })
	c.Advance(2 * clock.Second)
	if got := readStatus(t, send(t, address, 80<<10, 80<<10)); got != http.StatusOK {
		t.Errorf("whole request: status %d, want 200", got)
	}
	if got := readStatus(t, unfinished); got != http.StatusServiceUnavailable {
		t.Errorf("unfinished request: status %d, want 503", got)
	}
	waitFor(t, "the memory is free again", func() bool { return gauge("vb_inlet_bytes") == 0 })
}

// Guards against connections that stay with clients that send nothing, while others are refused, and against requests in
// progress that are closed for new ones.
func TestSilentConnectionMakesRoom(t *testing.T) {
	c := &clock.Fake{}
	address, gauge := serve(t, intake.Limits{Conns: 2, Bytes: 100 << 10}, c)
	silent, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	waitFor(t, "a connection is open", func() bool { return gauge("vb_inlet_connections") == 1 })
	c.Advance(2 * clock.Second)
	slow := send(t, address, 100, 50)
	waitFor(t, "two connections are open", func() bool { return gauge("vb_inlet_connections") == 2 })
	if got := readStatus(t, send(t, address, 10, 10)); got != http.StatusOK {
		t.Errorf("request of a new client: status %d, want 200", got)
	}
	if _, err := silent.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("silent connection: error %v, want EOF", err)
	}
	if _, err := io.WriteString(slow, strings.Repeat("x", 50)); err != nil {
		t.Fatal(err)
	}
	if got := readStatus(t, slow); got != http.StatusOK {
		t.Errorf("request that came in two parts: status %d, want 200", got)
	}
}

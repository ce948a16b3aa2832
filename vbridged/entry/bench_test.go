package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbridged/entry"
)

// startServers starts and announces n backend servers that return 1 KiB without delay.
func (env *testEnv) startServers(b *testing.B, n int) *httptest.Server {
	body := strings.Repeat("x", 1<<10)
	var s *httptest.Server
	for i := range n {
		s = env.startServer(b, model.ServerID(fmt.Sprintf("b%d", i)), func(rw http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(rw, body)
		})
	}
	return s
}

// keepAnnouncing repeats the announcements of n servers while a benchmark runs.
func (env *testEnv) keepAnnouncing(b *testing.B, n int, address func(i int) net.Addr) {
	stop := make(chan struct{})
	b.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
			for i := range n {
				env.announceTimes(b, newAnnouncement(model.ServerID(fmt.Sprintf("b%d", i)), address(i)), 1)
			}
		}
	}()
}

func fetch(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK || n != 1<<10 {
		return fmt.Errorf("GET: status %d, %d bytes: %w", resp.StatusCode, n, err)
	}
	return err
}

// processCPUTime returns the user and system time of this process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPath measures the latency of direct and proxied requests of one caller over
// loopback. The two kinds alternate.
func BenchmarkPath(b *testing.B) {
	env := newTestEnv(b)
	s := env.startServers(b, 1)
	env.keepAnnouncing(b, 1, func(int) net.Addr { return s.Listener.Addr() })
	client := env.frontend.Client()
	urls := []string{s.URL + "/x", env.frontend.URL + "/s/svc/x"}
	var latencies [2][]time.Duration
	for b.Loop() {
		for i, url := range urls {
			start := time.Now()
			if err := fetch(client, url); err != nil {
				b.Fatal(err)
			}
			latencies[i] = append(latencies[i], time.Since(start))
		}
	}
	for i, name := range []string{"direct", "entry"} {
		slices.Sort(latencies[i])
		n := len(latencies[i])
		b.ReportMetric(float64(latencies[i][n/2].Nanoseconds())/1e3, name+"-p50-us")
		b.ReportMetric(float64(latencies[i][n*99/100].Nanoseconds())/1e3, name+"-p99-us")
	}
}

// BenchmarkThroughput measures the throughput and the processor time per request of direct and
// proxied requests of 16 callers. Callers and backend servers are included.
func BenchmarkThroughput(b *testing.B) {
	for _, name := range []string{"direct", "entry"} {
		b.Run(name, func(b *testing.B) {
			env := newTestEnv(b)
			s := env.startServers(b, 16)
			url := env.frontend.URL + "/s/svc/x"
			if name == "direct" {
				url = s.URL + "/x"
			}
			transport := &http.Transport{MaxIdleConnsPerHost: 64}
			client := &http.Client{Transport: transport}
			defer transport.CloseIdleConnections()
			const callers = 16
			requests := make(chan struct{})
			var wait sync.WaitGroup
			for range callers {
				wait.Go(func() {
					for range requests {
						if err := fetch(client, url); err != nil {
							b.Error(err)
						}
					}
				})
			}
			cpuBefore, start := processCPUTime(), time.Now()
			stop := start.Add(time.Second) // servers stay eligible for 2 s after an announcement
			n := 0
			for b.Loop() {
				if time.Now().After(stop) {
					b.StopTimer()
					env.repeatAnnounces(b, 16)
					stop = time.Now().Add(time.Second)
					b.StartTimer()
				}
				requests <- struct{}{}
				n++
			}
			close(requests)
			wait.Wait()
			b.ReportMetric(float64((processCPUTime()-cpuBefore).Nanoseconds())/1e3/float64(n), "cpu-us/req")
			b.ReportMetric(float64(n)/time.Since(start).Seconds(), "req/s")
		})
	}
}

// repeatAnnounces announces the first n servers again.
func (env *testEnv) repeatAnnounces(b *testing.B, n int) {
	for _, s := range env.entry.Servers()[:n] {
		address, err := net.ResolveTCPAddr("tcp", s.Address)
		if err != nil {
			b.Fatal(err)
		}
		env.announceTimes(b, newAnnouncement(s.Server, address), 1)
	}
}

// BenchmarkRefusal compares the cost of a refused and a served request, at the handler and over
// loopback. The queue is full of requests for a server that does not respond.
func BenchmarkRefusal(b *testing.B) {
	for i := range 4 {
		name, loopback := []string{"served", "refused"}[i%2], i > 1
		b.Run(fmt.Sprintf("loopback=%v/%s", loopback, name), func(b *testing.B) {
			env := newTestEnv(b)
			env.config.Routes = map[string]entry.Route{"svc": {MaxQueued: 1, Deadline: 10_000}}
			var s *httptest.Server
			if name == "served" {
				s = env.startServers(b, 1)
			} else {
				block := make(chan struct{})
				s = env.startServer(b, "b0", func(http.ResponseWriter, *http.Request) { <-block })
				b.Cleanup(func() { close(block) })
				for range 5 { // 4 run on the floor and 1 waits
					go env.entry.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/s/svc/x", nil))
				}
				time.Sleep(100 * time.Millisecond)
			}
			env.keepAnnouncing(b, 1, func(int) net.Addr { return s.Listener.Addr() })
			h := env.entry.Handler()
			r := httptest.NewRequest(http.MethodGet, "/s/svc/x", nil)
			want := map[string]proto.Outcome{"served": proto.OutcomeDone, "refused": proto.OutcomeNotRun}[name]
			cpuBefore, n := processCPUTime(), 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				if loopback {
					if got := env.sendRequest(b, http.MethodGet, "/s/svc/x", ""); got.outcome != want {
						b.Fatalf("unexpected outcome in response %+v", got)
					}
					continue
				}
				rec := httptest.NewRecorder()
				h.ServeHTTP(rec, r)
				if got := proto.Outcome(rec.Header().Get(proto.HeaderOutcome)); got != want {
					b.Fatalf("outcome %q: %s", got, rec.Body)
				}
			}
			b.ReportMetric(float64((processCPUTime()-cpuBefore).Nanoseconds())/1e3/float64(n), "cpu-us/req")
		})
	}
}

// BenchmarkOpenCallers measures the memory used for 10,000 waiting requests, each of another
// caller. It includes the in-memory pipes that serve as connections.
func BenchmarkOpenCallers(b *testing.B) {
	const callers = 10_000
	env := newTestEnv(b)
	env.config.Routes = map[string]entry.Route{"svc": {MaxQueued: 2 * callers, Deadline: 10_000}}
	env.announceTimes(b, newAnnouncement("b0", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}), member.RiseThreshold-1) // not eligible
	for b.Loop() {
		p := &pipeListener{conns: make(chan net.Conn)}
		server := &http.Server{Handler: env.entry.Handler(), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(p) }()
		before := memoryInUse()
		conns := make([]net.Conn, callers)
		for i := range conns {
			conns[i], _ = p.DialContext(b.Context(), "", "")
			_, _ = io.WriteString(conns[i], "GET /s/svc/x HTTP/1.1\r\nHost: x\r\n\r\n")
		}
		b.ReportMetric(float64(memoryInUse()-before)/callers/1024, "KiB/caller")
		for _, c := range conns {
			_ = c.Close()
		}
		close(p.conns)
		_ = server.Close()
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

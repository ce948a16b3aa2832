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

// fleet announces n backend servers that answer 1 KiB at once.
func (w *world) fleet(b *testing.B, n int) *httptest.Server {
	body := strings.Repeat("x", 1<<10)
	var s *httptest.Server
	for i := range n {
		s = w.backend(b, model.ServerID(fmt.Sprintf("b%d", i)), func(rw http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(rw, body)
		})
	}
	return s
}

// keep repeats the announcements of all servers while a benchmark runs.
func (w *world) keep(b *testing.B, n int, address func(i int) net.Addr) {
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
				w.announce(b, announceOf(model.ServerID(fmt.Sprintf("b%d", i)), address(i)), 1)
			}
		}
	}()
}

func get(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK || n != 1<<10 {
		return fmt.Errorf("status %d, %d bytes, %w", resp.StatusCode, n, err)
	}
	return err
}

// cpu returns the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPath measures the latency of direct and proxied requests over loopback, in turn
// in one run, with one caller.
func BenchmarkPath(b *testing.B) {
	w := newWorld(b)
	s := w.fleet(b, 1)
	w.keep(b, 1, func(int) net.Addr { return s.Listener.Addr() })
	client := w.front.Client()
	urls := []string{s.URL + "/x", w.front.URL + "/s/svc/x"}
	var took [2][]time.Duration
	for b.Loop() {
		for i, url := range urls {
			start := time.Now()
			if err := get(client, url); err != nil {
				b.Fatal(err)
			}
			took[i] = append(took[i], time.Since(start))
		}
	}
	for i, name := range []string{"direct", "entry"} {
		slices.Sort(took[i])
		n := len(took[i])
		b.ReportMetric(float64(took[i][n/2].Nanoseconds())/1e3, name+"-p50-us")
		b.ReportMetric(float64(took[i][n*99/100].Nanoseconds())/1e3, name+"-p99-us")
	}
}

// BenchmarkThroughput measures processor time per request of direct and proxied requests
// with 16 callers; it includes callers and backend servers.
func BenchmarkThroughput(b *testing.B) {
	for _, name := range []string{"direct", "entry"} {
		b.Run(name, func(b *testing.B) {
			w := newWorld(b)
			s := w.fleet(b, 16)
			url := w.front.URL + "/s/svc/x"
			if name == "direct" {
				url = s.URL + "/x"
			}
			transport := &http.Transport{MaxIdleConnsPerHost: 64}
			client := &http.Client{Transport: transport}
			defer transport.CloseIdleConnections()
			const callers = 16
			each := make(chan struct{})
			var wait sync.WaitGroup
			for range callers {
				wait.Go(func() {
					for range each {
						if err := get(client, url); err != nil {
							b.Error(err)
						}
					}
				})
			}
			used, start := cpu(), time.Now()
			stop := start.Add(time.Second) // announcements count for 2 s
			n := 0
			for b.Loop() {
				if time.Now().After(stop) {
					b.StopTimer()
					w.refresh(b, 16)
					stop = time.Now().Add(time.Second)
					b.StartTimer()
				}
				each <- struct{}{}
				n++
			}
			close(each)
			wait.Wait()
			b.ReportMetric(float64((cpu()-used).Nanoseconds())/1e3/float64(n), "cpu-us/req")
			b.ReportMetric(float64(n)/time.Since(start).Seconds(), "req/s")
		})
	}
}

// refresh repeats the announcements of a fleet.
func (w *world) refresh(b *testing.B, n int) {
	for _, s := range w.entry.Servers()[:n] {
		address, err := net.ResolveTCPAddr("tcp", s.Address)
		if err != nil {
			b.Fatal(err)
		}
		w.announce(b, announceOf(s.Server, address), 1)
	}
}

// BenchmarkRefusal compares a refusal with a served request at the handler, and over
// loopback. The queue is full of requests that wait for a server that never answers.
func BenchmarkRefusal(b *testing.B) {
	for i := range 4 {
		name, loopback := []string{"served", "refused"}[i%2], i > 1
		b.Run(fmt.Sprintf("loopback=%v/%s", loopback, name), func(b *testing.B) {
			w := newWorld(b)
			w.snap.Routes = map[string]entry.Route{"svc": {Queue: 1, Deadline: 10_000}}
			var s *httptest.Server
			if name == "served" {
				s = w.fleet(b, 1)
			} else {
				block := make(chan struct{})
				s = w.backend(b, "b0", func(http.ResponseWriter, *http.Request) { <-block })
				b.Cleanup(func() { close(block) })
				for range 5 { // the floor of 4 and one that waits
					go w.entry.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/s/svc/x", nil))
				}
				time.Sleep(100 * time.Millisecond)
			}
			w.keep(b, 1, func(int) net.Addr { return s.Listener.Addr() })
			h := w.entry.Handler()
			r := httptest.NewRequest(http.MethodGet, "/s/svc/x", nil)
			want := map[string]proto.Outcome{"served": proto.OutcomeDone, "refused": proto.OutcomeNotRun}[name]
			used, n := cpu(), 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				if loopback {
					if got := w.call(b, http.MethodGet, "/s/svc/x", ""); got.outcome != want {
						b.Fatalf("answer %+v", got)
					}
					continue
				}
				rec := httptest.NewRecorder()
				h.ServeHTTP(rec, r)
				if got := proto.Outcome(rec.Header().Get(proto.HeaderOutcome)); got != want {
					b.Fatalf("outcome %q: %s", got, rec.Body)
				}
			}
			b.ReportMetric(float64((cpu()-used).Nanoseconds())/1e3/float64(n), "cpu-us/req")
		})
	}
}

// BenchmarkOpenCallers measures the memory of 10,000 callers whose requests wait. Their
// connections are in-memory pipes, whose memory is included.
func BenchmarkOpenCallers(b *testing.B) {
	const callers = 10_000
	w := newWorld(b)
	w.snap.Routes = map[string]entry.Route{"svc": {Queue: 2 * callers, Deadline: 10_000}}
	w.announce(b, announceOf("b0", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}), member.RiseCount-1) // not eligible
	for b.Loop() {
		p := &pipes{conns: make(chan net.Conn)}
		server := &http.Server{Handler: w.entry.Handler(), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(p) }()
		before := memory()
		conns := make([]net.Conn, callers)
		for i := range conns {
			conns[i], _ = p.DialContext(b.Context(), "", "")
			_, _ = io.WriteString(conns[i], "GET /s/svc/x HTTP/1.1\r\nHost: x\r\n\r\n")
		}
		b.ReportMetric(float64(memory()-before)/callers/1024, "KiB/caller")
		for _, c := range conns {
			_ = c.Close()
		}
		close(p.conns)
		_ = server.Close()
	}
}

func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/member"
	"vanillabridge/core/model"
	"vanillabridge/core/once"
	"vanillabridge/core/proto"
	"vanillabridge/vbridged/entry"
)

// headerCall carries the index of a call to the backend server, which puts it into the response.
const headerCall = "X-Call"

// serverBehavior is what a backend server does with one request.
type serverBehavior int

const (
	answers serverBehavior = iota
	answersLate
	answersAfterDeadline
	answersChunked
	staysSilent
	resets
	resetsInHeader
	truncates
	truncatesChunks
	answersTwice
	answersStale
	answersWithoutEnd
	behaviorCount
)

// plannedCall is one request of a caller, with its response after the run.
type plannedCall struct {
	startAfter    clock.Millis
	nonIdempotent bool
	key           string       // drawn from few values, so that resends happen
	leaveAfter    clock.Millis // the caller disconnects after this time
	response      response
	behavior      serverBehavior
}

// scenario runs planned calls against one entry instance in simulated time.
type scenario struct {
	*testEnv
	calls            []*plannedCall
	dialFails        []bool // whether a dial fails; used in turn
	loseBeginResult  []bool // whether the result of Begin is lost; used in turn
	mu               sync.Mutex
	runsByCall       map[string]int // by index of the call
	runsByKey        map[string]int // by idempotency key
	previousResponse string
	dialCount        int
	beginCount       int
	listener         pipeListener
}

func (s *scenario) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	s.mu.Lock()
	s.dialCount++
	fails := s.dialFails[s.dialCount%len(s.dialFails)]
	s.mu.Unlock()
	if fails {
		return nil, fault.ErrUnavailable
	}
	return s.listener.DialContext(ctx, network, address)
}

// Begin drops the result of some calls.
func (s *scenario) Begin(ctx context.Context, z model.Zone, b entry.BeginRequest) (once.Result, error) {
	res, err := s.testEnv.Begin(ctx, z, b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginCount++
	if s.loseBeginResult[s.beginCount%len(s.loseBeginResult)] {
		return nil, fault.ErrUnknown
	}
	return res, err
}

func (s *scenario) acceptConns() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *scenario) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		call := r.Header.Get(headerCall)
		s.mu.Lock()
		s.runsByCall[call]++
		if r.Method == http.MethodPost {
			s.runsByKey[r.Header.Get(proto.HeaderKey)]++
		}
		s.mu.Unlock()
		var index int
		_, _ = fmt.Sscan(call, &index)
		if !s.writeResponse(c, r, s.calls[index].behavior) {
			return
		}
	}
}

// writeResponse responds according to the behavior and reports whether the connection stays open.
func (s *scenario) writeResponse(c net.Conn, r *http.Request, behavior serverBehavior) bool {
	body := strings.Repeat(r.Header.Get(headerCall)+".", 2000)
	head := "HTTP/1.1 200 OK\r\nVb-Request: " + r.Header.Get(proto.HeaderRequest) + "\r\n"
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	half := body[:len(body)/2]
	chunked := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(half), half)
	s.mu.Lock()
	previous := s.previousResponse
	s.previousResponse = whole
	s.mu.Unlock()
	text, open := whole, true
	switch behavior {
	case answersLate:
		time.Sleep(300 * time.Millisecond)
	case answersAfterDeadline:
		time.Sleep(3 * time.Second)
	case answersChunked:
		text = fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunked, len(body)-len(half), body[len(half):])
	case staysSilent:
		time.Sleep(time.Minute)
		return false
	case resets:
		return false
	case resetsInHeader:
		text, open = head, false
	case truncates:
		text, open = whole[:len(whole)-3000], false
	case truncatesChunks:
		text, open = chunked, false
	case answersTwice:
		text = whole + whole
	case answersStale:
		text = previous + whole
	case answersWithoutEnd:
		text, open = head+"\r\n"+half, false
	}
	_, err := io.WriteString(c, text)
	return open && err == nil
}

func (s *scenario) runCall(client *http.Client, i int) {
	p := s.calls[i]
	time.Sleep(p.startAfter.Duration())
	ctx, cancel := context.WithTimeout(context.Background(), p.leaveAfter.Duration())
	defer cancel()
	method := http.MethodGet
	if p.nonIdempotent {
		method = http.MethodPost
	}
	r, _ := http.NewRequestWithContext(ctx, method, "http://entry/s/svc/x", strings.NewReader("order"))
	r.Header.Set(headerCall, fmt.Sprint(i))
	r.Header.Set(proto.HeaderKey, p.key)
	r.Header.Set(proto.HeaderDeadline, "2000")
	resp, err := client.Do(r)
	if err != nil {
		p.response.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	p.response = response{status: resp.StatusCode, body: string(data), err: err, outcome: proto.Outcome(resp.Header.Get(proto.HeaderOutcome))}
}

// run makes the planned calls and waits until all of them have ended.
func (s *scenario) run(t *testing.T) {
	s.testEnv = &testEnv{clock: clock.NewSystem(), records: map[once.Key]once.Record{}, config: entry.ConfigSnapshot{
		Zones: []model.Zone{"a"}, Routes: map[string]entry.Route{"svc": {}},
	}}
	s.runsByCall, s.runsByKey, s.listener.conns = map[string]int{}, map[string]int{}, make(chan net.Conn)
	ports := s.ports()
	ports.Records, ports.Dialer = s, s
	e, err := entry.New(entry.Settings{Instance: "e", Incarnation: 1, Zone: "a", EntryCount: 1, FirstStart: true}, ports, newMetrics())
	if err != nil {
		t.Fatal(err)
	}
	s.entry = e
	ctx, cancel := context.WithCancel(t.Context())
	var wait, callers sync.WaitGroup
	front := pipeListener{conns: make(chan net.Conn)}
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Minute}
	wait.Go(func() { e.Run(ctx) })
	wait.Go(func() { _ = server.Serve(&front) })
	wait.Go(s.acceptConns)
	wait.Go(func() {
		for ctx.Err() == nil {
			s.announceTimes(t, newAnnouncement("b", front.Addr()), member.RiseThreshold)
			time.Sleep(500 * time.Millisecond)
		}
	})
	time.Sleep(time.Millisecond)
	transport := &http.Transport{DialContext: front.DialContext}
	for i := range s.calls {
		callers.Go(func() { s.runCall(&http.Client{Transport: transport}, i) })
	}
	callers.Wait()
	transport.CloseIdleConnections()
	if err := e.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	time.Sleep(2 * time.Minute)
	cancel()
	close(front.conns)
	_ = server.Close()
	close(s.listener.conns)
	wait.Wait()
}

// checkResults returns an error if a result violates a guarantee to the caller.
func (s *scenario) checkResults() error {
	for key, n := range s.runsByKey {
		if n > 1 {
			return fmt.Errorf("key %s ran %d times, want at most 1", key, n)
		}
	}
	for i, p := range s.calls {
		call := fmt.Sprint(i)
		if p.response.outcome == proto.OutcomeNotRun && s.runsByCall[call] > 0 {
			return fmt.Errorf("call %s ran but has the outcome notrun", call)
		}
		if p.response.outcome != proto.OutcomeDone || p.response.err != nil {
			continue
		}
		echoed, _, _ := strings.Cut(p.response.body, ".")
		if p.response.body != strings.Repeat(echoed+".", 2000) {
			return fmt.Errorf("call %s: truncated or mixed body of %d bytes looks complete", call, len(p.response.body))
		}
		var index int
		_, _ = fmt.Sscan(echoed, &index)
		if echoed != call && (!p.nonIdempotent || s.calls[index].key != p.key) {
			return fmt.Errorf("call %s got the response to call %s", call, echoed)
		}
	}
	return nil
}

// Guards against a truncated, late or misrouted response that looks complete, a second run of a
// key, and the outcome notrun for a request that ran. Connections fail, results of Begin are
// lost, callers disconnect, and the backend server shows every kind of serverBehavior.
func TestGuaranteesUnderFaults(t *testing.T) {
	seen := map[proto.Outcome]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := &scenario{
			dialFails:       rapid.SliceOfN(rapid.SampledFrom([]bool{false, false, false, true}), 7, 7).Draw(rt, "refuse"),
			loseBeginResult: rapid.SliceOfN(rapid.SampledFrom([]bool{false, false, false, false, true}), 5, 5).Draw(rt, "lose"),
		}
		for range rapid.IntRange(5, 40).Draw(rt, "calls") {
			s.calls = append(s.calls, &plannedCall{
				startAfter: clock.Millis(rapid.IntRange(0, 8000).Draw(rt, "at")), nonIdempotent: rapid.Bool().Draw(rt, "post"),
				key:        rapid.SampledFrom([]string{"k1", "k2", "k3", "k4", "k5", "k6"}).Draw(rt, "key"),
				leaveAfter: rapid.SampledFrom([]clock.Millis{20_000, 20_000, 100}).Draw(rt, "leave"),
				behavior:   serverBehavior(rapid.IntRange(0, int(behaviorCount)-1).Draw(rt, "trouble")),
			})
		}
		synctest.Test(t, s.run)
		if err := s.checkResults(); err != nil {
			rt.Fatal(err)
		}
		for _, p := range s.calls {
			seen[p.response.outcome]++
		}
	})
	t.Logf("calls by outcome: %v", seen)
	for _, o := range []proto.Outcome{proto.OutcomeDone, proto.OutcomeNotRun, proto.OutcomeRunning, proto.OutcomeUnknown} {
		if seen[o] < 10 {
			t.Errorf("%d calls with outcome %s, want at least 10 for the check to be meaningful", seen[o], o)
		}
	}
}

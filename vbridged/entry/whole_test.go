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

// headerCall names a call of the test, through to the backend server and in its answer.
const headerCall = "X-Call"

// trouble is what a backend server does with one request.
type trouble int

const (
	answers trouble = iota
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
	troubles
)

// planned is one request of a caller.
type planned struct {
	at      clock.Millis
	post    bool
	key     string // of a small set, so that resends happen
	leave   clock.Millis
	result  answer
	trouble trouble
}

// stage runs plans against one entry instance in simulated time.
type stage struct {
	*world
	plans  []*planned
	refuse []bool // of each connection
	lose   []bool // of each result of Begin
	mu     sync.Mutex
	runs   map[string]int // by call
	keyed  map[string]int // by key
	stale  string
	dials  int
	begins int
	pipes  pipes
}

func (s *stage) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	s.mu.Lock()
	s.dials++
	bad := s.refuse[s.dials%len(s.refuse)]
	s.mu.Unlock()
	if bad {
		return nil, fault.ErrUnavailable
	}
	return s.pipes.DialContext(ctx, network, address)
}

// Begin loses the result of some calls.
func (s *stage) Begin(ctx context.Context, z model.Zone, b entry.Begin) (once.Result, error) {
	res, err := s.world.Begin(ctx, z, b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begins++
	if s.lose[s.begins%len(s.lose)] {
		return nil, fault.ErrUnknown
	}
	return res, err
}

func (s *stage) backend() {
	for {
		c, err := s.pipes.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *stage) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		call := r.Header.Get(headerCall)
		s.mu.Lock()
		s.runs[call]++
		if r.Method == http.MethodPost {
			s.keyed[r.Header.Get(proto.HeaderKey)]++
		}
		s.mu.Unlock()
		var index int
		_, _ = fmt.Sscan(call, &index)
		if !s.answer(c, r, s.plans[index].trouble) {
			return
		}
	}
}

// answer writes what the trouble asks for and reports whether the connection stays open.
func (s *stage) answer(c net.Conn, r *http.Request, what trouble) bool {
	body := strings.Repeat(r.Header.Get(headerCall)+".", 2000)
	head := "HTTP/1.1 200 OK\r\nVb-Request: " + r.Header.Get(proto.HeaderRequest) + "\r\n"
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	half := body[:len(body)/2]
	chunked := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(half), half)
	s.mu.Lock()
	stale := s.stale
	s.stale = whole
	s.mu.Unlock()
	text, open := whole, true
	switch what {
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
		text = stale + whole
	case answersWithoutEnd:
		text, open = head+"\r\n"+half, false
	}
	_, err := io.WriteString(c, text)
	return open && err == nil
}

func (s *stage) call(client *http.Client, i int) {
	p := s.plans[i]
	time.Sleep(p.at.Std())
	ctx, cancel := context.WithTimeout(context.Background(), p.leave.Std())
	defer cancel()
	method := http.MethodGet
	if p.post {
		method = http.MethodPost
	}
	r, _ := http.NewRequestWithContext(ctx, method, "http://entry/s/svc/x", strings.NewReader("order"))
	r.Header.Set(headerCall, fmt.Sprint(i))
	r.Header.Set(proto.HeaderKey, p.key)
	r.Header.Set(proto.HeaderDeadline, "2000")
	resp, err := client.Do(r)
	if err != nil {
		p.result.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	p.result = answer{status: resp.StatusCode, body: string(data), err: err, outcome: proto.Outcome(resp.Header.Get(proto.HeaderOutcome))}
}

// run carries out the plans.
func (s *stage) run(t *testing.T) {
	s.world = &world{clock: clock.NewSystem(), records: map[once.Key]once.Record{}, snap: entry.Snapshot{
		Zones: []model.Zone{"a"}, Routes: map[string]entry.Route{"svc": {}},
	}}
	s.runs, s.keyed, s.pipes.conns = map[string]int{}, map[string]int{}, make(chan net.Conn)
	ports := s.ports()
	ports.Records, ports.Dialer = s, s
	e, err := entry.New(entry.Settings{Instance: "e", Incarnation: 1, Zone: "a", Entries: 1, First: true}, ports, newMetrics())
	if err != nil {
		t.Fatal(err)
	}
	s.entry = e
	ctx, cancel := context.WithCancel(t.Context())
	var wait, callers sync.WaitGroup
	front := pipes{conns: make(chan net.Conn)}
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Minute}
	wait.Go(func() { e.Run(ctx) })
	wait.Go(func() { _ = server.Serve(&front) })
	wait.Go(s.backend)
	wait.Go(func() {
		for ctx.Err() == nil {
			s.announce(t, announceOf("b", front.Addr()), member.RiseCount)
			time.Sleep(500 * time.Millisecond)
		}
	})
	time.Sleep(time.Millisecond)
	transport := &http.Transport{DialContext: front.DialContext}
	for i := range s.plans {
		callers.Go(func() { s.call(&http.Client{Transport: transport}, i) })
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
	close(s.pipes.conns)
	wait.Wait()
}

// verdict returns what is wrong with the results.
func (s *stage) verdict() error {
	for key, n := range s.keyed {
		if n > 1 {
			return fmt.Errorf("key %s ran %d times", key, n)
		}
	}
	for i, p := range s.plans {
		call := fmt.Sprint(i)
		if p.result.outcome == proto.OutcomeNotRun && s.runs[call] > 0 {
			return fmt.Errorf("call %s ran but is notrun", call)
		}
		if p.result.outcome != proto.OutcomeDone || p.result.err != nil {
			continue
		}
		from, _, _ := strings.Cut(p.result.body, ".")
		if p.result.body != strings.Repeat(from+".", 2000) {
			return fmt.Errorf("call %s: %d bytes look whole", call, len(p.result.body))
		}
		var index int
		_, _ = fmt.Sscan(from, &index)
		if from != call && (!p.post || s.plans[index].key != p.key) {
			return fmt.Errorf("call %s got the answer of call %s", call, from)
		}
	}
	return nil
}

// Guards against an answer that is cut, late or of another request but looks whole, a second
// run of a key, and notrun for a request that ran, with connections that fail, lost results
// of Begin, callers that leave and backend servers in every kind of trouble.
func TestWholeOnceNotRun(t *testing.T) {
	seen := map[proto.Outcome]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := &stage{
			refuse: rapid.SliceOfN(rapid.SampledFrom([]bool{false, false, false, true}), 7, 7).Draw(rt, "refuse"),
			lose:   rapid.SliceOfN(rapid.SampledFrom([]bool{false, false, false, false, true}), 5, 5).Draw(rt, "lose"),
		}
		for range rapid.IntRange(5, 40).Draw(rt, "calls") {
			s.plans = append(s.plans, &planned{
				at: clock.Millis(rapid.IntRange(0, 8000).Draw(rt, "at")), post: rapid.Bool().Draw(rt, "post"),
				key:     rapid.SampledFrom([]string{"k1", "k2", "k3", "k4", "k5", "k6"}).Draw(rt, "key"),
				leave:   rapid.SampledFrom([]clock.Millis{20_000, 20_000, 100}).Draw(rt, "leave"),
				trouble: trouble(rapid.IntRange(0, int(troubles)-1).Draw(rt, "trouble")),
			})
		}
		synctest.Test(t, s.run)
		if err := s.verdict(); err != nil {
			rt.Fatal(err)
		}
		for _, p := range s.plans {
			seen[p.result.outcome]++
		}
	})
	t.Logf("outcomes %v", seen)
	for _, o := range []proto.Outcome{proto.OutcomeDone, proto.OutcomeNotRun, proto.OutcomeRunning, proto.OutcomeUnknown} {
		if seen[o] < 10 {
			t.Errorf("%d calls with outcome %s: the property saw too little", seen[o], o)
		}
	}
}

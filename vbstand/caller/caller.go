package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/model"
	"vanillabridge/vbstand/record"
)

// Options are the settings of a load generator.
type Options struct {
	Name               model.Caller
	Service            string
	Entries            []string
	RequestCount       int           // number of requests
	Rate               float64       // requests per second; 0 sends as fast as the concurrency allows
	Concurrency        int           // maximum number of concurrent requests
	MaxRunTime         time.Duration // time after which no new request is sent
	Mix                Mix
	NonIdempotentShare float64 // share of non-idempotent requests
	Deadline           time.Duration
	MaxBodyBytes       int           // maximum size of a request body in bytes
	MaxResends         int           // maximum number of resends of a request
	ResendDelay        time.Duration // delay before a resend
	Phase              string        // part of the test that the sends belong to, for the report
	Seed               uint64
}

// Caller is a load generator that acts as one caller.
type Caller struct {
	opt             Options
	journal         *record.Writer
	keepAliveClient *http.Client // reuses connections
	oneShotClient   *http.Client // opens a connection for each request
	tokenPrefix     string       // unique to this run, so that tokens of different runs differ

	mu    sync.Mutex
	sends []record.Send
}

// request is a request of the load; resends have the same token and body.
type request struct {
	token      string
	class      model.Urgency
	idempotent bool
	method     string
	body       []byte
	entryIndex int // index in Options.Entries of the instance for the next send
}

// New returns a load generator that records its sends to journal.
func New(opt Options, journal *record.Writer) (*Caller, error) {
	if len(opt.Entries) == 0 {
		return nil, errors.New("load generator has no entry addresses")
	}
	if opt.Concurrency < 1 || opt.RequestCount < 1 {
		return nil, fmt.Errorf("load of %d requests with %d concurrent workers: both must be at least 1", opt.RequestCount, opt.Concurrency)
	}
	timeout := opt.Deadline + time.Second
	transport := &http.Transport{MaxIdleConnsPerHost: opt.Concurrency, IdleConnTimeout: 30 * time.Second}
	return &Caller{
		opt:             opt,
		journal:         journal,
		keepAliveClient: &http.Client{Transport: transport, Timeout: timeout},
		oneShotClient:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeout},
		tokenPrefix:     fmt.Sprintf("%s-%s-%08x", opt.Name, opt.Phase, rand.Uint32()),
	}, nil
}

// Run sends the requests until all are sent, the time limit is over or ctx ends. It returns the
// records of all sends.
func (c *Caller) Run(ctx context.Context) []record.Send {
	ctx, cancel := context.WithTimeout(ctx, c.opt.MaxRunTime)
	defer cancel()
	go c.journal.RecordStalls(ctx, string(c.opt.Name))
	requests := make(chan request)
	var group sync.WaitGroup
	for range c.opt.Concurrency {
		group.Go(func() {
			for r := range requests {
				c.sendWithRetries(ctx, r)
			}
		})
	}
	c.enqueueRequests(ctx, requests)
	close(requests)
	group.Wait()
	klog.V(1).InfoS("load generator finished", "name", c.opt.Name, "phase", c.opt.Phase, "sends", len(c.sends))
	return c.sends
}

// enqueueRequests passes the requests to the sending goroutines at the configured rate.
func (c *Caller) enqueueRequests(ctx context.Context, requests chan<- request) {
	rng := rand.New(rand.NewPCG(c.opt.Seed, 2))
	start := time.Now()
	for n := range c.opt.RequestCount {
		if c.opt.Rate > 0 {
			due := time.Duration(float64(n) / c.opt.Rate * float64(time.Second))
			sleep(ctx, due-time.Since(start))
		}
		select {
		case <-ctx.Done():
			return
		case requests <- c.newRequest(n, rng):
		}
	}
}

// newRequest returns request n with a class, method and body drawn from rng.
func (c *Caller) newRequest(n int, rng *rand.Rand) request {
	r := request{
		token:      fmt.Sprintf("%s-%d", c.tokenPrefix, n),
		class:      c.opt.Mix.randomClass(rng),
		idempotent: rng.Float64() >= c.opt.NonIdempotentShare,
		entryIndex: n % len(c.opt.Entries),
	}
	size := rng.IntN(c.opt.MaxBodyBytes + 1)
	switch {
	case !r.idempotent:
		r.method = http.MethodPost
	case n%2 == 0:
		r.method = http.MethodPut
	default:
		r.method, size = http.MethodGet, 0
	}
	r.body = make([]byte, size)
	for i := range r.body {
		r.body[i] = byte('a' + rng.IntN(26))
	}
	return r
}

// sendWithRetries sends a request and resends it through the next entry instance until an answer says
// that it was completed or did not run, no resends are left or ctx has ended.
func (c *Caller) sendWithRetries(ctx context.Context, r request) {
	for n := 1; n <= 1+c.opt.MaxResends; n++ {
		s := c.sendOnce(ctx, r, n)
		c.journal.Write(record.Line{Send: &s})
		c.mu.Lock()
		c.sends = append(c.sends, s)
		c.mu.Unlock()
		if s.Outcome == record.OutcomeDone || s.Outcome == record.OutcomeNotRun || ctx.Err() != nil {
			return
		}
		sleep(ctx, c.opt.ResendDelay)
		r.entryIndex = (r.entryIndex + 1) % len(c.opt.Entries)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/vbstand/entry"
	"vanillabridge/vbstand/record"
)

// Options are the settings of a simulated backend server.
type Options struct {
	Name             model.ServerID
	Service          string
	Zone             model.Zone
	Listen           string
	Entries          []string
	Slots            int           // announced maximum of concurrent requests
	MaxConns         int           // announced maximum of open connections
	ServiceTime      time.Duration // time for which a request runs
	AnswerBytes      int           // minimum size of an answer
	Fault            Fault
	FaultRatio       float64       // fraction of the requests into which the fault is injected
	Seed             uint64        // seed of the choice of these requests
	AnnounceInterval time.Duration // time between announcements
	ShutdownDelay    time.Duration // time for which new requests are still served after SIGTERM
	ShutdownTimeout  time.Duration // maximum wait for active requests after ShutdownDelay
	AnnounceActive   bool          // announcements include the number of active requests
}

// Server is a simulated backend server.
type Server struct {
	opt         Options
	journal     *record.Writer
	entries     *entry.List
	incarnation model.Incarnation
	address     string

	mu             sync.Mutex
	rng            *rand.Rand
	state          proto.ServerState
	seq            uint64 // sequence number of the last announcement
	runCount       uint64 // runs started so far; gives the ID of a run
	activeRequests int
	openConns      int
	peakActive     int
	peakOpenConns  int
}

// New returns a simulated backend server that records its runs to journal.
func New(opt Options, journal *record.Writer) (*Server, error) {
	list, err := entry.NewList(&http.Client{Timeout: time.Second}, opt.Entries)
	if err != nil {
		return nil, err
	}
	return &Server{
		opt:         opt,
		journal:     journal,
		entries:     list,
		incarnation: model.Incarnation(rand.Uint64() >> 1), // differs between starts with the same seed
		rng:         rand.New(rand.NewPCG(opt.Seed, 1)),
		state:       proto.ServerServing,
	}, nil
}

// Run serves requests until ctx ends. Then it announces that the server is leaving and waits for the
// active requests.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.opt.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.opt.Listen, err)
	}
	s.address = listener.Addr().String()
	web := &http.Server{Handler: s, ConnState: s.trackConn, ReadHeaderTimeout: 10 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- web.Serve(listener) }()
	s.recordEvent(record.ServerStart, 0)
	klog.InfoS("backend server started", "name", s.opt.Name, "address", s.address, "zone", s.opt.Zone)

	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go s.announceLoop(background)
	go s.journal.RecordStalls(background, string(s.opt.Name))
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve on %s: %w", s.address, err)
	case <-ctx.Done():
	}
	return s.shutDown(web)
}

// shutDown announces that the server is leaving, serves new requests for ShutdownDelay and then waits
// up to ShutdownTimeout for the active ones.
func (s *Server) shutDown(web *http.Server) error {
	s.mu.Lock()
	s.state = proto.ServerLeaving
	s.mu.Unlock()
	s.recordEvent(record.ServerLeaving, 0)
	klog.InfoS("backend server is shutting down", "name", s.opt.Name)
	s.announce(context.Background())
	time.Sleep(s.opt.ShutdownDelay)
	ctx, cancel := context.WithTimeout(context.Background(), s.opt.ShutdownTimeout)
	defer cancel()
	err := web.Shutdown(ctx)
	s.mu.Lock()
	unfinished := s.activeRequests
	s.mu.Unlock()
	s.recordEvent(record.ServerEnd, unfinished)
	klog.InfoS("backend server stopped", "name", s.opt.Name, "cut", unfinished)
	if err != nil {
		return fmt.Errorf("shut down with %d requests in progress: %w", unfinished, err)
	}
	return nil
}

// recordEvent records a change of state of the server.
func (s *Server) recordEvent(event record.ServerEvent, unfinished int) {
	s.mu.Lock()
	line := record.Server{
		Server: s.opt.Name, Incarnation: s.incarnation, Zone: s.opt.Zone, Event: event,
		Time: record.Now(), Slots: s.opt.Slots, MaxConns: s.opt.MaxConns,
		PeakActive: s.peakActive, PeakOpenConns: s.peakOpenConns, InProgress: unfinished,
	}
	s.mu.Unlock()
	s.journal.Write(record.Line{Server: &line})
}

// trackConn counts the open connections and records each new maximum.
func (s *Server) trackConn(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	newPeak := false
	switch state {
	case http.StateNew:
		s.openConns++
		if s.openConns > s.peakOpenConns {
			s.peakOpenConns, newPeak = s.openConns, true
		}
	case http.StateClosed, http.StateHijacked:
		s.openConns--
	}
	s.mu.Unlock()
	if newPeak {
		s.recordEvent(record.ServerPeakOpenConns, 0)
	}
}

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

// Options are the settings of a stand-in.
type Options struct {
	Name             model.ServerID
	Service          string
	Zone             model.Zone
	Listen           string
	Entries          []string
	Slots            int
	Conns            int
	ServiceTime      time.Duration // service time of a request
	AnswerBytes      int           // size of an answer in bytes
	Fault            Fault
	FaultRatio       float64 // share of the requests that the fault hits
	Seed             uint64
	AnnounceInterval time.Duration // between announcements
	ShutdownDelay    time.Duration // from SIGTERM to the first possible end
	ShutdownTimeout  time.Duration // longest wait for requests in progress
	AnnounceActive   bool          // announce the number of requests in progress
}

// Server is a running stand-in.
type Server struct {
	opt         Options
	journal     *record.Writer
	entries     *entry.List
	incarnation model.Incarnation
	address     string

	mu             sync.Mutex
	rng            *rand.Rand
	state          proto.ServerState
	seq            uint64
	runCount       uint64
	activeRequests int
	openConns      int
	maxActive      int
	maxOpenConns   int
}

// New returns a server that records to journal.
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

// Run serves until ctx ends, then says that it leaves and waits for requests in progress.
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
	klog.InfoS("backend server serves", "name", s.opt.Name, "address", s.address, "zone", s.opt.Zone)

	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go s.announceLoop(background)
	go s.journal.Stalls(background, string(s.opt.Name))
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve on %s: %w", s.address, err)
	case <-ctx.Done():
	}
	return s.shutDown(web)
}

func (s *Server) shutDown(web *http.Server) error {
	s.mu.Lock()
	s.state = proto.ServerLeaving
	s.mu.Unlock()
	s.recordEvent(record.ServerLeaving, 0)
	klog.InfoS("backend server leaves", "name", s.opt.Name)
	s.announce(context.Background())
	time.Sleep(s.opt.ShutdownDelay)
	ctx, cancel := context.WithTimeout(context.Background(), s.opt.ShutdownTimeout)
	defer cancel()
	err := web.Shutdown(ctx)
	s.mu.Lock()
	unfinished := s.activeRequests
	s.mu.Unlock()
	s.recordEvent(record.ServerEnd, unfinished)
	klog.InfoS("backend server ends", "name", s.opt.Name, "cut", unfinished)
	if err != nil {
		return fmt.Errorf("wait for %d requests in progress: %w", unfinished, err)
	}
	return nil
}

func (s *Server) recordEvent(event record.ServerEvent, unfinished int) {
	s.mu.Lock()
	line := record.Server{
		Server: s.opt.Name, Incarnation: s.incarnation, Zone: s.opt.Zone, Event: event,
		Time: record.Now(), Slots: s.opt.Slots, Conns: s.opt.Conns,
		MaxActive: s.maxActive, MaxOpen: s.maxOpenConns, Cut: unfinished,
	}
	s.mu.Unlock()
	s.journal.Write(record.Line{Server: &line})
}

func (s *Server) trackConn(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	newMaximum := false
	switch state {
	case http.StateNew:
		s.openConns++
		if s.openConns > s.maxOpenConns {
			s.maxOpenConns, newMaximum = s.openConns, true
		}
	case http.StateClosed, http.StateHijacked:
		s.openConns--
	}
	s.mu.Unlock()
	if newMaximum {
		s.recordEvent(record.ServerOpen, 0)
	}
}

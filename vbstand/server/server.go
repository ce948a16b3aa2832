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
	Name    model.ServerID
	Service string
	Zone    model.Zone
	Listen  string
	Entries []string
	Slots   int
	Conns   int
	Time    time.Duration // service time of a request
	Body    int           // size of an answer in bytes
	Fault   Fault
	Share   float64 // share of the requests that the fault hits
	Seed    uint64
	Period  time.Duration // between announcements
	Linger  time.Duration // from SIGTERM to the first possible end
	Grace   time.Duration // longest wait for requests in progress
	Count   bool          // announce the number of requests in progress
}

// Server is a running stand-in.
type Server struct {
	opt         Options
	journal     *record.Writer
	entries     *entry.List
	incarnation model.Incarnation
	address     string

	mu        sync.Mutex
	rng       *rand.Rand
	state     proto.ServerState
	seq       uint64
	runs      uint64
	active    int
	open      int
	maxActive int
	maxOpen   int
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
	web := &http.Server{Handler: s, ConnState: s.connState, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- web.Serve(listener) }()
	s.note(record.ServerStart, 0)
	klog.InfoS("backend server serves", "name", s.opt.Name, "address", s.address, "zone", s.opt.Zone)

	stop, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go s.announceLoop(stop)
	go s.journal.Stalls(stop, string(s.opt.Name))
	select {
	case err := <-failed:
		return fmt.Errorf("serve on %s: %w", s.address, err)
	case <-ctx.Done():
	}
	return s.leave(web)
}

func (s *Server) leave(web *http.Server) error {
	s.mu.Lock()
	s.state = proto.ServerLeaving
	s.mu.Unlock()
	s.note(record.ServerLeaving, 0)
	klog.InfoS("backend server leaves", "name", s.opt.Name)
	s.announce(context.Background())
	time.Sleep(s.opt.Linger)
	ctx, cancel := context.WithTimeout(context.Background(), s.opt.Grace)
	defer cancel()
	err := web.Shutdown(ctx)
	s.mu.Lock()
	cut := s.active
	s.mu.Unlock()
	s.note(record.ServerEnd, cut)
	klog.InfoS("backend server ends", "name", s.opt.Name, "cut", cut)
	if err != nil {
		return fmt.Errorf("wait for %d requests in progress: %w", cut, err)
	}
	return nil
}

func (s *Server) note(event record.ServerEvent, cut int) {
	s.mu.Lock()
	line := record.Server{
		Server: s.opt.Name, Incarnation: s.incarnation, Zone: s.opt.Zone, Event: event,
		Time: record.Now(), Slots: s.opt.Slots, Conns: s.opt.Conns,
		MaxActive: s.maxActive, MaxOpen: s.maxOpen, Cut: cut,
	}
	s.mu.Unlock()
	s.journal.Write(record.Line{Server: &line})
}

func (s *Server) connState(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	raised := false
	switch state {
	case http.StateNew:
		s.open++
		if s.open > s.maxOpen {
			s.maxOpen, raised = s.open, true
		}
	case http.StateClosed, http.StateHijacked:
		s.open--
	}
	s.mu.Unlock()
	if raised {
		s.note(record.ServerOpen, 0)
	}
}

package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/trace"
	"vanillabridge/vbridged/admin"
	"vanillabridge/vbridged/cell"
	"vanillabridge/vbridged/config"
	"vanillabridge/vbridged/entry"
	"vanillabridge/vbridged/group"
	"vanillabridge/vbridged/peer"
	"vanillabridge/vbridged/sched"
	"vanillabridge/vbridged/zone"
)

// Server is one instance.
type Server struct {
	settings config.Settings
	version  string
	clock    clock.Source
	life     model.Incarnation
	recorder *trace.Recorder
	registry *prometheus.Registry

	net       *peer.Net
	zone      *zone.Replica
	zoneGroup *group.Group
	zoneLog   zone.Log
	cell      *cell.Replica
	cellGroup *group.Group
	witnesses map[string]*group.Group // by name of the group
	sched     *sched.Scheduler
	entry     *entry.Entry
	http      *http.Server
	snapshot  atomic.Pointer[view]

	drainOnce sync.Once
	drain     chan struct{} // closed when a planned stop was asked for
	joined    atomic.Bool   // see caughtUp

	leaderSeen atomic.Int64 // when a leader of the zone's group was last known
}

// Options are what a Server needs besides its settings.
type Options struct {
	Settings config.Settings
	Version  string
	Recorder *trace.Recorder
	Clock    clock.Source
	Life     model.Incarnation // of this process
}

// NewLife draws the incarnation of a process.
func NewLife() model.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return model.Incarnation(binary.LittleEndian.Uint64(b[:])>>1 | 1)
}

// New opens the replicas and prepares everything else; nothing listens before Serve.
func New(o Options) (*Server, error) {
	s := &Server{
		settings:  o.Settings,
		version:   o.Version,
		clock:     o.Clock,
		life:      o.Life,
		recorder:  o.Recorder,
		registry:  prometheus.NewRegistry(),
		zone:      zone.NewReplica(),
		cell:      cell.NewReplica(),
		witnesses: map[string]*group.Group{},
		drain:     make(chan struct{}),
	}
	s.snapshot.Store(newView(0, ""))
	if err := s.openNet(); err != nil {
		return nil, err
	}
	// The groups report roles and changes as soon as they are open, so all that listens to
	// them comes first.
	s.sched = sched.New(s.schedOptions())
	s.zone.Subscribe(s.zoneChanged)
	if err := s.openEntry(); err != nil {
		return nil, err
	}
	if err := s.openGroups(); err != nil {
		s.closeGroups()
		return nil, err
	}
	s.openHTTP()
	s.register()
	return s, nil
}

func (s *Server) openHTTP() {
	s.registerMetrics()
	s.http = &http.Server{
		Handler: admin.New(admin.Options{
			Service:  s,
			Entry:    s.entry.Handler(),
			Announce: s.entry.Announcements(),
			Metrics:  s.registry,
		}),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(s.settings.Entry.Header),
	}
}

// Limits on connections of callers, so that slow or idle ones do not pile up.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Serve serves until ctx ends or a drain is asked for, then stops gracefully.
func (s *Server) Serve(ctx context.Context) error {
	peers, callers, err := s.listen()
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wait sync.WaitGroup
	s.net.Serve(peers)
	wait.Go(func() { s.sched.Run(work) })
	wait.Go(func() { s.entry.Run(work) })
	wait.Go(func() { every(work, adoptEvery, func() { s.adopt(work) }) })
	wait.Go(func() { every(work, leadEvery, s.noteLeader) })
	wait.Go(func() { every(work, flushEvery, s.flush) })
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(callers) }()
	klog.InfoS("serving", "instance", s.settings.Instance.Name, "zone", s.settings.Instance.Zone,
		"http", callers.Addr().String(), "peer", peers.Addr().String(), "version", s.version)
	s.recorder.Record(trace.Restarted{Subject: s.about(), Version: s.version})
	select {
	case <-ctx.Done():
	case <-s.drain:
	case err = <-failed:
		err = fault.Wrap(err, "serve HTTP on %s", callers.Addr())
	}
	s.stop()
	cancel()
	wait.Wait()
	s.net.Close()
	s.closeGroups()
	s.flush()
	return err
}

func (s *Server) about() trace.Subject {
	return trace.Subject{Instance: s.settings.Instance.Name, Zone: s.settings.Instance.Zone}
}

// listen opens both sockets, so that a port in use is reported before anything starts.
func (s *Server) listen() (peers, callers net.Listener, err error) {
	peers, err = net.Listen("tcp", s.settings.Listen.Peer.String())
	if err != nil {
		return nil, nil, fault.Wrap(fault.ErrInvalid, "[listen] peer: %v", err)
	}
	callers, err = net.Listen("tcp", s.settings.Listen.HTTP.String())
	if err != nil {
		_ = peers.Close()
		return nil, nil, fault.Wrap(fault.ErrInvalid, "[listen] http: %v", err)
	}
	return peers, callers, nil
}

// Drain asks for a planned stop.
func (s *Server) Drain() { s.drainOnce.Do(func() { close(s.drain) }) }

// stop ends requests in progress within the drain time and hands leadership over. New
// requests are refused as not run from its start.
func (s *Server) stop() {
	s.recorder.Record(trace.Draining{Subject: s.about()})
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Drain.Time.Std())
	defer cancel()
	if err := s.entry.Drain(ctx); err != nil {
		klog.ErrorS(err, "drain time passed with requests in progress")
	}
	if err := s.http.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "drain time passed with connections open")
		_ = s.http.Close()
	}
	s.handover(ctx)
	s.recorder.Record(trace.Drained{Subject: s.about()})
	klog.InfoS("stopped", "instance", s.settings.Instance.Name)
}

// handover passes the leadership of all groups on, so that they have no time without a leader.
func (s *Server) handover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, g := range s.groups() {
		if st := g.Status(); !st.IsLeader || len(st.Voters) < 2 {
			continue
		}
		wait.Go(func() {
			if err := g.Handover(ctx); err != nil {
				klog.V(1).InfoS("hand-over of a group failed", "group", g.Status().Group, "error", err.Error())
			}
		})
	}
	wait.Wait()
}

const handoverTimeout = 2 * time.Second

// flushEvery is the period at which the timeline is written to its file.
const flushEvery = time.Second

// every calls f periodically until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

func (s *Server) flush() {
	if err := s.recorder.Flush(); err != nil {
		klog.ErrorS(err, "write the timeline failed")
	}
}

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

// Server runs one instance.
type Server struct {
	settings    config.Settings
	version     string
	clock       clock.Source
	incarnation model.Incarnation
	recorder    *trace.Recorder
	registry    *prometheus.Registry

	transport *peer.Transport
	zone      *zone.Replica
	zoneGroup *group.Group
	zoneLog   zone.Log
	cell      *cell.Replica
	cellGroup *group.Group
	witnesses map[string]*group.Group // groups of other zones that this instance is a witness of, by group name
	sched     *sched.Scheduler
	entry     *entry.Entry
	http      *http.Server
	config    atomic.Pointer[parsedConfig]

	drainOnce      sync.Once
	drainRequested chan struct{} // closed when a planned stop is requested
	hasCaughtUp    atomic.Bool   // set once caughtUp has returned true

	leaderSeenAtMs atomic.Int64 // last time at which a leader of the zone group was known, on clock
	// tombstonesDelayedAt is when this instance last logged why cancellations of unknown jobs aren't recorded yet.
	tombstonesDelayedAt clock.Millis
}

// Options configures a Server.
type Options struct {
	Settings    config.Settings
	Version     string
	Recorder    *trace.Recorder
	Clock       clock.Source
	Incarnation model.Incarnation // distinguishes this process from earlier ones of the same instance
}

// NewIncarnation returns a random nonzero incarnation for a process.
func NewIncarnation() model.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return model.Incarnation(binary.LittleEndian.Uint64(b[:])>>1 | 1)
}

// New opens the replicas and initializes all other parts. No socket is opened before Serve.
func New(o Options) (*Server, error) {
	s := &Server{
		settings:       o.Settings,
		version:        o.Version,
		clock:          o.Clock,
		incarnation:    o.Incarnation,
		recorder:       o.Recorder,
		registry:       prometheus.NewRegistry(),
		zone:           zone.NewReplica(),
		cell:           cell.NewReplica(),
		witnesses:      map[string]*group.Group{},
		drainRequested: make(chan struct{}),
	}
	s.config.Store(newParsedConfig(0, ""))
	if err := s.initTransport(); err != nil {
		return nil, err
	}
	// The groups report role and state changes as soon as they are open, so their listeners must
	// be set up first.
	s.sched = sched.New(s.schedOptions())
	s.zone.Subscribe(s.handleZoneChange)
	if err := s.initEntry(); err != nil {
		return nil, err
	}
	if err := s.openGroups(); err != nil {
		s.closeGroups()
		return nil, err
	}
	s.initHTTP()
	s.registerHandlers()
	return s, nil
}

func (s *Server) initHTTP() {
	s.registerMetrics()
	s.http = &http.Server{
		Handler: admin.New(admin.Options{
			Service:  s,
			Entry:    s.entry.Handler(),
			Announce: s.entry.AnnounceHandler(),
			Metrics:  s.registry,
		}),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(s.settings.Entry.MaxHeaderBytes),
	}
}

// Timeouts for connections of callers, so that slow or idle connections do not accumulate.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Serve runs the instance until ctx ends or a drain is requested, and then stops it gracefully.
func (s *Server) Serve(ctx context.Context) error {
	peers, callers, err := s.listen()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wait sync.WaitGroup
	s.transport.Serve(peers)
	wait.Go(func() { s.sched.Run(runCtx) })
	wait.Go(func() { s.entry.Run(runCtx) })
	wait.Go(func() { runEvery(runCtx, adoptInterval, func() { s.adoptConfig(runCtx) }) })
	wait.Go(func() { runEvery(runCtx, leaseRefreshInterval, s.refreshLeaderLease) })
	wait.Go(func() { runEvery(runCtx, tombstoneCheckInterval, func() { s.beginTombstones(runCtx) }) })
	wait.Go(func() { runEvery(runCtx, traceFlushInterval, s.flushTrace) })
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(callers) }()
	klog.InfoS("serving", "instance", s.settings.Instance.Name, "zone", s.settings.Instance.Zone,
		"http", callers.Addr().String(), "peer", peers.Addr().String(), "version", s.version)
	s.recorder.Record(trace.Restarted{Subject: s.traceSubject(), Version: s.version})
	select {
	case <-ctx.Done():
	case <-s.drainRequested:
	case err = <-failed:
		err = fault.Wrap(err, "serve HTTP on %s", callers.Addr())
	}
	s.stop()
	cancel()
	wait.Wait()
	s.transport.Close()
	s.closeGroups()
	s.flushTrace()
	return err
}

// traceSubject returns the subject of trace events about this instance.
func (s *Server) traceSubject() trace.Subject {
	return trace.Subject{Instance: s.settings.Instance.Name, Zone: s.settings.Instance.Zone}
}

// listen opens both sockets before anything else starts, so that a port in use is reported early.
func (s *Server) listen() (peers, callers net.Listener, err error) {
	peers, err = net.Listen("tcp", s.settings.Listen.PeerAddress.String())
	if err != nil {
		return nil, nil, fault.Wrap(fault.ErrInvalid, "[listen] peer: %v", err)
	}
	callers, err = net.Listen("tcp", s.settings.Listen.HTTPAddress.String())
	if err != nil {
		_ = peers.Close()
		return nil, nil, fault.Wrap(fault.ErrInvalid, "[listen] http: %v", err)
	}
	return peers, callers, nil
}

// Drain requests a planned stop.
func (s *Server) Drain() { s.drainOnce.Do(func() { close(s.drainRequested) }) }

// stop waits up to the drain time for requests in progress and then transfers leadership. From
// its start, new requests are rejected as not run.
func (s *Server) stop() {
	s.recorder.Record(trace.Draining{Subject: s.traceSubject()})
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.Drain.Timeout.Duration())
	defer cancel()
	if err := s.entry.Drain(ctx); err != nil {
		klog.ErrorS(err, "drain time exceeded, stopping with requests in progress")
	}
	if err := s.http.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "drain time exceeded, closing open connections")
		_ = s.http.Close()
	}
	s.transferLeadership(ctx)
	s.recorder.Record(trace.Drained{Subject: s.traceSubject()})
	klog.InfoS("stopped", "instance", s.settings.Instance.Name)
}

// transferLeadership transfers the leadership of all groups that this instance leads, so that they
// do not have to wait for an election timeout.
func (s *Server) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, g := range s.groups() {
		if st := g.Status(); !st.IsLeader || len(st.Voters) < 2 {
			continue
		}
		wait.Go(func() {
			if err := g.TransferLeadership(ctx); err != nil {
				klog.V(1).InfoS("leadership transfer failed", "group", g.Status().Group, "error", err.Error())
			}
		})
	}
	wait.Wait()
}

// leadershipTransferTimeout bounds the leadership transfer of all groups during shutdown.
const leadershipTransferTimeout = 2 * time.Second

// traceFlushInterval is the interval at which recorded events are written to the trace file.
const traceFlushInterval = time.Second

// runEvery calls f once per period until ctx ends.
func runEvery(ctx context.Context, period time.Duration, f func()) {
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

func (s *Server) flushTrace() {
	if err := s.recorder.Flush(); err != nil {
		klog.ErrorS(err, "write trace events failed")
	}
}

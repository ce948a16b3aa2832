package server

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/model"
	"vanillabridge/core/proto"
	"vanillabridge/core/spec"
	"vanillabridge/core/state"
	"vanillabridge/core/trace"
	"vanillabridge/vbridged/cell"
	"vanillabridge/vbridged/entry"
)

// adoptInterval is the interval at which the zone leader checks for a newer configuration of the
// cell.
const adoptInterval = 200 * time.Millisecond

// parsedConfig is an accepted configuration in parsed form. It is immutable.
type parsedConfig struct {
	version  uint64
	document string
	cell     spec.Cell
	entry    *entry.ConfigSnapshot
}

// newParsedConfig parses an accepted document. Only documents that passed the check are accepted,
// so a parse error is a bug; it is logged and results in a configuration without routes.
func newParsedConfig(version uint64, document string) *parsedConfig {
	c := &parsedConfig{version: version, document: document, entry: &entry.ConfigSnapshot{Version: version}}
	if version == 0 {
		return c
	}
	parsed, err := spec.Parse(document)
	if err == nil {
		c.cell, _, err = parsed.Check(nil)
	}
	if err != nil {
		klog.ErrorS(err, "parse accepted configuration failed, continuing without its routes", "version", version)
	}
	return c
}

// Snapshot returns the routes and callers of the active configuration, for the request path.
func (s *Server) Snapshot() *entry.ConfigSnapshot { return s.config.Load().entry }

// handleZoneChange processes a committed change of the zone's state.
func (s *Server) handleZoneChange(c state.Change) {
	if _, ok := c.(state.ConfigChanged); ok {
		s.applyConfig()
	}
	logTombstones(c)
	s.sched.NotifyChange(c)
}

// applyConfig activates the zone's configuration in this process. Versions only increase, because
// the zone's state only adopts higher versions.
func (s *Server) applyConfig() {
	var version uint64
	var document string
	s.zone.View(func(z *state.Zone) { version, document = z.Config() })
	if version <= s.config.Load().version {
		return
	}
	c := newParsedConfig(version, document)
	c.entry = s.entrySnapshot(version, c.cell)
	s.config.Store(c)
	klog.InfoS("configuration activated", "version", version)
	s.recorder.Record(trace.ConfigApplied{Subject: s.traceSubject(), Version: version})
}

func (s *Server) entrySnapshot(version uint64, c spec.Cell) *entry.ConfigSnapshot {
	snapshot := &entry.ConfigSnapshot{
		Version: version,
		Routes:  map[string]entry.Route{},
		Callers: map[model.Caller]entry.Caller{},
	}
	for _, z := range s.settings.Zones() {
		snapshot.Zones = append(snapshot.Zones, z.Zone)
	}
	for _, r := range c.Routes() {
		snapshot.Routes[r.Service] = entry.Route{
			Deadline: r.Deadline, MaxQueued: r.Queue, RetryPercent: r.Budget, MaxAttempts: r.Attempts,
		}
	}
	for _, caller := range c.Callers() {
		snapshot.Callers[caller.Name] = entry.Caller{Share: caller.Share, Class: caller.Class}
	}
	return snapshot
}

// Submit checks a configuration document and proposes it to the cell group.
func (s *Server) Submit(ctx context.Context, r proto.SubmitRequest) (proto.SubmitReply, error) {
	document, err := spec.Parse(r.Document)
	if err != nil {
		return proto.SubmitReply{}, err
	}
	checked, notes, err := document.Check(s.settings.Zones())
	if err != nil {
		s.recorder.Record(trace.ConfigRefused{Subject: s.traceSubject(), Version: document.Version(), Reason: err.Error()})
		return proto.SubmitReply{}, err
	}
	// checkZonesUnchanged must compare with the latest document, so the replica has to catch up
	// first.
	if err := s.cellGroup.Barrier(ctx); err != nil {
		return proto.SubmitReply{}, err
	}
	if err := s.checkZonesUnchanged(checked); err != nil {
		return proto.SubmitReply{}, err
	}
	text, err := checked.Document().Text()
	if err != nil {
		return proto.SubmitReply{}, err
	}
	result, err := cell.Submit(ctx, s.cellGroup, state.Submit{Key: r.Key, BaseVersion: checked.BaseVersion(), Document: text, At: s.clock.Now()})
	if err != nil {
		return proto.SubmitReply{}, err
	}
	return s.submitReply(r, result, notes, text)
}

func (s *Server) submitReply(r proto.SubmitRequest, result state.SubmitResult, notes []spec.Note, text string) (proto.SubmitReply, error) {
	reply := proto.SubmitReply{Version: result.Version}
	for _, n := range notes {
		reply.Defaults = append(reply.Defaults, n.String())
	}
	switch {
	case result.Accepted:
		return reply, nil
	case result.KeyReused:
		return reply, fault.Wrap(fault.ErrConflict, "key %q was already used for a different document, accepted as version %d", r.Key, result.Version)
	}
	reply.Diff = diffDocuments(result.CurrentDocument, text)
	s.recorder.Record(trace.ConfigRefused{Subject: s.traceSubject(), Version: result.Version + 1, Reason: "conflict"})
	return reply, fault.Wrap(fault.ErrConflict, "version %d is the current version; base the document on it", result.Version)
}

// diffDocuments returns the difference between two documents, or "" if one of them doesn't parse.
func diffDocuments(current, text string) string {
	from, err := spec.Parse(current)
	if err != nil {
		return ""
	}
	to, err := spec.Parse(text)
	if err != nil {
		return ""
	}
	return spec.Diff(from, to)
}

// checkZonesUnchanged rejects a change of the zones of an existing batch or gang. The owner zone,
// which records a run, is derived from the zones, so a different list could start the same run
// twice.
func (s *Server) checkZonesUnchanged(next spec.Cell) error {
	_, current := s.cell.Config()
	if current == "" {
		return nil
	}
	old := newParsedConfig(1, current).cell
	for _, w := range next.Work() {
		before, ok := old.FindWork(w.Common().Name)
		if !ok {
			continue
		}
		if _, isService := w.(model.Service); !isService && !slices.Equal(before.Common().Zones, w.Common().Zones) {
			return fault.Wrap(fault.ErrInvalid, "[%s] zones: the zones of a batch or gang cannot change; use another name", w.Common().Name)
		}
	}
	return nil
}

// Config returns the configuration that is active on this instance.
func (s *Server) Config(context.Context) (proto.ConfigReply, error) {
	c := s.config.Load()
	return proto.ConfigReply{Version: c.version, Document: c.document}, nil
}

// adoptConfig proposes a newer configuration of the cell to the zone's log, if this instance leads
// the zone.
func (s *Server) adoptConfig(ctx context.Context) {
	if _, leading := s.Leading(); !leading {
		return
	}
	version, document := s.cell.Config()
	if version <= s.config.Load().version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := s.zoneLog.Propose(ctx, state.AdoptConfig{Version: version, Document: document, At: s.clock.Now()}); err != nil {
		klog.ErrorS(err, "adopt configuration failed, will retry", "version", version)
	}
}

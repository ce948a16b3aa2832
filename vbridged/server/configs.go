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

// adoptEvery is how often the zone leader looks for a newer configuration of the cell.
const adoptEvery = 200 * time.Millisecond

// view is the configuration in force here, as an immutable value.
type view struct {
	version  uint64
	document string
	cell     spec.Cell
	entry    *entry.Snapshot
}

// newView reads an accepted document. A document that cannot be read is a fault of this
// program, because only checked documents are accepted; it is logged and leaves no routes.
func newView(version uint64, document string) *view {
	v := &view{version: version, document: document, entry: &entry.Snapshot{Version: version}}
	if version == 0 {
		return v
	}
	parsed, err := spec.Parse(document)
	if err == nil {
		v.cell, _, err = parsed.Check(nil)
	}
	if err != nil {
		klog.ErrorS(err, "configuration in force cannot be read", "version", version)
	}
	return v
}

// Snapshot returns the routes and callers in force, for the request path.
func (s *Server) Snapshot() *entry.Snapshot { return s.snapshot.Load().entry }

// zoneChanged reacts to a committed change of the zone's state.
func (s *Server) zoneChanged(c state.Change) {
	if _, ok := c.(state.ConfigChanged); ok {
		s.applyConfig()
	}
	s.sched.Changed(c)
}

// applyConfig puts the zone's configuration in force in this process. Versions never go back:
// they come from the zone's state, which only adopts higher ones.
func (s *Server) applyConfig() {
	var version uint64
	var document string
	s.zone.View(func(z *state.Zone) { version, document = z.Config() })
	if version <= s.snapshot.Load().version {
		return
	}
	v := newView(version, document)
	v.entry = s.entrySnapshot(version, v.cell)
	s.snapshot.Store(v)
	klog.InfoS("configuration in force", "version", version)
	s.recorder.Record(trace.ConfigApplied{Subject: s.about(), Version: version})
}

func (s *Server) entrySnapshot(version uint64, c spec.Cell) *entry.Snapshot {
	snapshot := &entry.Snapshot{
		Version: version,
		Routes:  map[string]entry.Route{},
		Callers: map[model.Caller]entry.Caller{},
	}
	for _, p := range s.settings.Places() {
		snapshot.Zones = append(snapshot.Zones, p.Zone)
	}
	for _, r := range c.Routes() {
		snapshot.Routes[r.Service] = entry.Route{
			Deadline: r.Deadline, Queue: r.Queue, Retries: r.Budget, Attempts: r.Attempts,
		}
	}
	for _, one := range c.Callers() {
		snapshot.Callers[one.Name] = entry.Caller{Share: one.Share, Class: one.Class}
	}
	return snapshot
}

// Submit checks a document and offers it to the cell group.
func (s *Server) Submit(ctx context.Context, r proto.SubmitRequest) (proto.SubmitReply, error) {
	document, err := spec.Parse(r.Document)
	if err != nil {
		return proto.SubmitReply{}, err
	}
	checked, notes, err := document.Check(s.settings.Places())
	if err != nil {
		s.recorder.Record(trace.ConfigRefused{Subject: s.about(), Version: document.Version(), Reason: err.Error()})
		return proto.SubmitReply{}, err
	}
	// The check below needs the document that this one replaces, not an older one.
	if err := s.cellGroup.Barrier(ctx); err != nil {
		return proto.SubmitReply{}, err
	}
	if err := s.checkMoves(checked); err != nil {
		return proto.SubmitReply{}, err
	}
	text, err := checked.Document().Text()
	if err != nil {
		return proto.SubmitReply{}, err
	}
	result, err := cell.Submit(ctx, s.cellGroup, state.Submit{Key: r.Key, Base: checked.Base(), Document: text, At: s.clock.Now()})
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
	case result.Misused:
		return reply, fault.Wrap(fault.ErrConflict, "key %q was used for another document, accepted as version %d", r.Key, result.Version)
	}
	reply.Diff = difference(result.Current, text)
	s.recorder.Record(trace.ConfigRefused{Subject: s.about(), Version: result.Version + 1, Reason: "conflict"})
	return reply, fault.Wrap(fault.ErrConflict, "version %d is in force; base the document on it", result.Version)
}

func difference(current, text string) string {
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

// checkMoves refuses other zones for a batch or gang that is configured already. Its runs are
// recorded in an owner zone that follows from the zones, so that another list could start a
// run a second time.
func (s *Server) checkMoves(next spec.Cell) error {
	_, current := s.cell.Config()
	if current == "" {
		return nil
	}
	old := newView(1, current).cell
	for _, w := range next.Work() {
		before, ok := old.FindWork(w.Common().Name)
		if !ok {
			continue
		}
		if _, isService := w.(model.Service); !isService && !slices.Equal(before.Common().Zones, w.Common().Zones) {
			return fault.Wrap(fault.ErrInvalid, "[%s] zones: zones of a batch or gang cannot change, use another name", w.Common().Name)
		}
	}
	return nil
}

// Config returns the configuration in force here.
func (s *Server) Config(context.Context) (proto.ConfigReply, error) {
	v := s.snapshot.Load()
	return proto.ConfigReply{Version: v.version, Document: v.document}, nil
}

// adopt lets the zone leader write a newer configuration of the cell into the zone's log.
func (s *Server) adopt(ctx context.Context) {
	if _, leading := s.Leading(); !leading {
		return
	}
	version, document := s.cell.Config()
	if version <= s.snapshot.Load().version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := s.zoneLog.Propose(ctx, state.Adopt{Version: version, Document: document, At: s.clock.Now()}); err != nil {
		klog.ErrorS(err, "adopt a configuration failed, trying again", "version", version)
	}
}

package ledger

import (
	"maps"
	"slices"

	"vanillabridge/core/clock"
	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
	"vanillabridge/core/tombs"
)

const (
	// maxTombstones is the number of tombstones of all teams together. Each team has an equal part of them, so that a
	// flood of one team's cancellations drops none of another's.
	maxTombstones = 65_536
	// minTeamTombstones is the number of tombstones that a team has at least, however many teams there are.
	minTeamTombstones = 256
)

// tombstones record the cancellations that named no job, by the team of their caller: the submission may still be on its
// way, and is then cancelled when it arrives. They aren't jobs.
type tombstones struct {
	// enabled is set once all replicas of the domain record tombstones; see RecordTombstones.
	enabled bool
	byTeam  map[string]*tombs.Set
	// dropped counts the tombstones that were dropped for want of room. It is not part of a snapshot.
	dropped uint64
}

func newTombstones() tombstones { return tombstones{byTeam: map[string]*tombs.Set{}} }

// tombstoneKey identifies a job by its queue and its identifier.
func tombstoneKey(q flow.Queue, id model.JobID) tombs.Key {
	return tombs.KeyOf(q.Endpoint() + string(id))
}

// prune removes the tombstones of jobs that were last cancelled before a time.
func (ts *tombstones) prune(before clock.Millis) {
	for team, set := range ts.byTeam {
		if set.Prune(before); set.Len() == 0 {
			delete(ts.byTeam, team)
		}
	}
}

// teamTombstoneLimit returns how many tombstones a team may have.
func teamTombstoneLimit(a flow.Access) int {
	callers := len(a.Teams) + 1 // and those without a key
	return max(maxTombstones/callers, minTeamTombstones)
}

// recordTombstone records the cancellation of a job that is not known, if all replicas do.
func (s *State) recordTombstone(c Cancel, q flow.Queue, id model.JobID, team string) {
	if !s.tombstones.enabled {
		return
	}
	s.latestTime = max(s.latestTime, c.Now)
	set := s.tombstones.byTeam[team]
	if set == nil {
		set = tombs.New()
		s.tombstones.byTeam[team] = set
	}
	s.tombstones.dropped += uint64(set.Record(tombstoneKey(q, id), s.latestTime, teamTombstoneLimit(s.config.Access)))
}

// findTombstone returns when a job that a team submits now was last cancelled, since 1970, and whether it was: by a
// caller who might cancel it now too.
func (s *State) findTombstone(q flow.Queue, id model.JobID, team string) (at clock.Millis, ok bool) {
	if len(s.tombstones.byTeam) == 0 {
		return 0, false // saves the hash
	}
	key := tombstoneKey(q, id)
	if team != "" {
		if set := s.tombstones.byTeam[team]; set != nil {
			return set.Find(key)
		}
		return 0, false
	}
	for _, set := range s.tombstones.byTeam { // a job of no team belongs to all
		if cancelledAt, found := set.Find(key); found {
			at, ok = max(at, cancelledAt), true
		}
	}
	return at, ok
}

// CancelledBefore returns when the job of a submission was last cancelled, since 1970, if that was before it was
// submitted.
func (s *State) CancelledBefore(c Submit) (at clock.Millis, ok bool) {
	if len(s.tombstones.byTeam) == 0 {
		return 0, false
	}
	q, id, team, outcome := s.Resolve(c.Host, c.Path, c.Key)
	if outcome != OutcomeDone || s.jobs[id] != nil {
		return 0, false
	}
	return s.findTombstone(q, id, team)
}

// RecordsTombstones reports whether cancellations that name no job are recorded.
func (s *State) RecordsTombstones() bool { return s.tombstones.enabled }

// Tombstones returns the number of tombstones.
func (s *State) Tombstones() int {
	n := 0
	for _, set := range s.tombstones.byTeam {
		n += set.Len()
	}
	return n
}

// DroppedTombstones returns how many tombstones commands have dropped for want of room since the state was created or
// restored.
func (s *State) DroppedTombstones() uint64 { return s.tombstones.dropped }

// RecordTombstones makes replicas record cancellations that name no job from now on. Versions that can't do so skip it,
// so a leader proposes it only once all members of its group can.
type RecordTombstones struct {
	_ struct{} `cbor:",toarray"`
}

func (RecordTombstones) command() {}

// tombstonePart is the last part of a snapshot if tombstones are recorded. A state that records none has no such part, so
// that its snapshots are as those of versions that can't.
type tombstonePart struct {
	_     struct{} `cbor:",toarray"`
	Teams []teamTombstones
}

// teamTombstones holds the tombstones of a team, oldest first.
type teamTombstones struct {
	_    struct{} `cbor:",toarray"`
	Team string
	List []tombs.Entry
}

// encode returns the part of a snapshot with the tombstones.
func (ts *tombstones) encode() ([]byte, error) {
	part := tombstonePart{Teams: make([]teamTombstones, 0, len(ts.byTeam))}
	for _, team := range slices.Sorted(maps.Keys(ts.byTeam)) {
		part.Teams = append(part.Teams, teamTombstones{Team: team, List: ts.byTeam[team].Entries()})
	}
	data, err := encoder.Marshal(part)
	if err != nil {
		return nil, fault.Wrap(fault.ErrInvalid, "encode tombstones: %v", err)
	}
	return data, nil
}

// decodeTombstones decodes the last part of a snapshot; a snapshot without one has no data.
func decodeTombstones(data []byte) (tombstones, error) {
	ts := newTombstones()
	if len(data) == 0 {
		return ts, nil
	}
	var part tombstonePart
	if err := decoder.Unmarshal(data, &part); err != nil {
		return ts, fault.Wrap(fault.ErrCorrupt, "decode tombstones: %v", err)
	}
	ts.enabled = true
	for _, t := range part.Teams {
		ts.byTeam[t.Team] = tombs.New(t.List...)
	}
	return ts, nil
}

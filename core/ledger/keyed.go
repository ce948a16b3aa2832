package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"vanillabridge/core/fault"
	"vanillabridge/core/flow"
	"vanillabridge/core/model"
)

// The forms below carry teams and keys. They are used only where there are some, so that the logs and snapshots of a
// domain without teams are those that earlier versions wrote and read.

// configureTeams is the encoded form of a Configure with teams.
type configureTeams struct {
	_      struct{} `cbor:",toarray"`
	Config flow.Config
	Access flow.Access
}

func (f configureTeams) command() Command {
	f.Config.Access = f.Access
	return Configure{Config: f.Config}
}

// submitKey is the encoded form of a Submit with a key.
type submitKey struct {
	_      struct{} `cbor:",toarray"`
	Submit Submit
	Key    flow.KeyHash
}

func (f submitKey) command() Command {
	f.Submit.Key = f.Key
	return f.Submit
}

// cancelKey is the encoded form of a Cancel with a key.
type cancelKey struct {
	_      struct{} `cbor:",toarray"`
	Cancel Cancel
	Key    flow.KeyHash
}

func (f cancelKey) command() Command {
	f.Cancel.Key = f.Key
	return f.Cancel
}

func decodeForm[F interface{ command() Command }](data []byte) (Command, error) {
	var f F
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, fault.Wrap(fault.ErrCorrupt, "decode %T: %v", f, err)
	}
	return f.command(), nil
}

// snapshotWithTeams is the encoded form of a state with teams.
type snapshotWithTeams struct {
	_      struct{} `cbor:",toarray"`
	State  snapshot
	Access flow.Access
	// Teams holds the team of each job that belongs to one.
	Teams map[model.JobID]string
}

// jobTeams returns the team of each job that belongs to one.
func (s *State) jobTeams() map[model.JobID]string {
	teams := map[model.JobID]string{}
	for id, j := range s.jobs {
		if j.Team != "" {
			teams[id] = j.Team
		}
	}
	return teams
}

// encodedForm returns the value that is encoded as the snapshot of the state.
func (s *State) encodedForm() any {
	plain := snapshot{Config: s.config, Jobs: s.jobs, Workers: s.workers, Now: s.latestTime, Crashes: s.crashList()}
	teams := s.jobTeams()
	if s.config.Access.IsZero() && len(teams) == 0 {
		return plain
	}
	return snapshotWithTeams{State: plain, Access: s.config.Access, Teams: teams}
}

// decodeSnapshot decodes any form of a snapshot. The forms differ in the number of their fields.
func decodeSnapshot(data []byte) (snapshot, error) {
	var restored snapshot
	err := decoder.Unmarshal(data, &restored)
	if err == nil {
		return restored, nil
	}
	var teams snapshotWithTeams
	if decoder.Unmarshal(data, &teams) == nil {
		restored = teams.State
		restored.Config.Access = teams.Access
		for id, team := range teams.Teams {
			if j := restored.Jobs[id]; j != nil {
				j.Team = team
			}
		}
		return restored, nil
	}
	var earlier snapshotBeforeCrashes
	if decoder.Unmarshal(data, &earlier) != nil {
		return snapshot{}, fault.Wrap(fault.ErrCorrupt, "decode snapshot: %v", err)
	}
	return snapshot{Config: earlier.Config, Jobs: earlier.Jobs, Workers: earlier.Workers, Now: earlier.Now}, nil
}

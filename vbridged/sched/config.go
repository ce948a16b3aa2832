package sched

import (
	"slices"

	"k8s.io/klog/v2"

	"vanillabridge/core/clock"
	"vanillabridge/core/model"
	"vanillabridge/core/place"
	"vanillabridge/core/spec"
	"vanillabridge/core/state"
)

// appliedConfig holds the version of the configuration that was applied last, and data derived from it.
type appliedConfig struct {
	version        uint64
	configuredRuns []model.JobID // batch and gang runs that the configuration names
}

// applyConfig sets the teams' quotas of the configuration in force, and proposes to add the jobs that
// it names and the zone lacks, and to cancel the services that it no longer names.
func (l *leaderState) applyConfig(now clock.Millis) {
	var version uint64
	var text string
	l.options.State.View(func(z *state.Zone) { version, text = z.Config() })
	if version == 0 || version == l.config.version {
		return
	}
	cell, err := parseCell(text)
	if err != nil {
		// Documents are checked before they are accepted, so this is a bug in this program.
		klog.ErrorS(err, "configuration in force cannot be parsed; keeping the previous one", "version", version)
		return
	}
	l.config = appliedConfig{version: version}
	l.stepPlacement(now, place.Quotas{Teams: zoneQuotas(cell)})
	for _, w := range cell.Work() {
		l.ensureWork(now, w)
	}
	l.cancelRemovedServices(now, cell)
}

func parseCell(text string) (spec.Cell, error) {
	document, err := spec.Parse(text)
	if err != nil {
		return spec.Cell{}, err
	}
	cell, _, err := document.Check(nil)
	return cell, err
}

func (l *leaderState) ensureWork(now clock.Millis, w model.Work) {
	switch w := w.(type) {
	case model.Service:
		l.ensureService(now, w)
	case model.Batch:
		l.ensureRun(now, w, w.Run)
	case model.Gang:
		l.ensureRun(now, w, w.Run)
	}
}

func (l *leaderState) ensureService(now clock.Millis, s model.Service) {
	count := ZoneShare(s.Count, s.Zones, l.options.Zone)
	id := state.ServiceJobID(s.Name, l.options.Zone)
	if count == 0 {
		return // cancelRemovedServices cancels the job of an earlier configuration
	}
	s.Base = s.WithCount(count) // the job holds only this zone's share of the service
	encoded := model.EncodeWork(s)
	l.options.State.View(func(z *state.Zone) {
		job, ok := z.Job(id)
		if ok && !job.Cancelled && job.DesiredTasks() == count && isSameService(job.Work.Service, s) {
			return
		}
		l.pending.addCommand(state.AddJob{Job: id, Work: encoded, TaskCount: count, At: now})
	})
}

func isSameService(current *model.Service, wanted model.Service) bool {
	return current != nil && current.Size == wanted.Size && current.Team == wanted.Team &&
		current.Urgency == wanted.Urgency && slices.Equal(current.Zones, wanted.Zones)
}

func (l *leaderState) ensureRun(now clock.Millis, w model.Work, run string) {
	if run == "" {
		return // only declared; its runs are started by requests
	}
	base := w.Common()
	id := model.NewJobID(base.Name, run)
	l.config.configuredRuns = append(l.config.configuredRuns, id)
	if model.OwnerZone(string(id), run, base.Zones) != l.options.Zone {
		return
	}
	l.options.State.View(func(z *state.Zone) {
		if _, ok := z.Job(id); !ok {
			l.pending.addCommand(state.AddJob{Job: id, Work: model.EncodeWork(w), TaskCount: base.Count, At: now})
		}
	})
}

// cancelRemovedServices cancels the services that the configuration no longer places in this zone.
func (l *leaderState) cancelRemovedServices(now clock.Millis, cell spec.Cell) {
	wanted := map[model.JobID]bool{}
	for _, w := range cell.Work() {
		if s, ok := w.(model.Service); ok && ZoneShare(s.Count, s.Zones, l.options.Zone) > 0 {
			wanted[state.ServiceJobID(s.Name, l.options.Zone)] = true
		}
	}
	l.options.State.View(func(z *state.Zone) {
		z.ForEachJob(func(j *state.Job) {
			if j.Work.Service != nil && !wanted[j.ID] && j.OpenTasks > 0 && !j.Cancelled {
				l.pending.addCommand(state.CancelJob{Job: j.ID, Reason: "not in the configuration", At: now})
			}
		})
	})
}

// ZoneShare returns how many of count tasks run in a zone. The tasks are divided evenly over the listed
// zones; if there is a remainder, the first zones get one more each.
func ZoneShare(count int, zones []model.Zone, zone model.Zone) int {
	i := slices.Index(zones, zone)
	if i < 0 {
		return 0
	}
	share := count / len(zones)
	if i < count%len(zones) {
		share++
	}
	return share
}

// zoneQuotas divides each team's quota of the cell evenly over the zones that its work names, so that
// zones can enforce it without communicating.
func zoneQuotas(cell spec.Cell) map[model.Team]place.Quota {
	zones := map[model.Team]map[model.Zone]bool{}
	for _, w := range cell.Work() {
		base := w.Common()
		if zones[base.Team] == nil {
			zones[base.Team] = map[model.Zone]bool{}
		}
		for _, z := range base.Zones {
			zones[base.Team][z] = true
		}
	}
	teams := map[model.Team]place.Quota{}
	for _, t := range cell.Teams() {
		parts := int64(max(1, len(zones[t.Name])))
		teams[t.Name] = place.Quota{
			Limit: model.Size{
				CPU:    t.Quota.CPU / model.Millicores(parts),
				Memory: t.Quota.Memory / model.Mebibytes(parts),
				Accel:  t.Quota.Accel / model.Accelerators(parts),
			},
			FloorPercent: t.Floor,
		}
	}
	return teams
}

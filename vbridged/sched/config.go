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

// config is what follows from the configuration in force.
type config struct {
	version uint64
	runs    []model.JobID // runs of batches and gangs that the configuration names
}

// adoptConfig proposes the jobs that the configuration in force asks for and that the zone
// does not have, and sets the teams' quotas.
func (l *lead) adoptConfig(now clock.Millis) {
	var version uint64
	var text string
	l.options.State.View(func(z *state.Zone) { version, text = z.Config() })
	if version == 0 || version == l.config.version {
		return
	}
	cell, err := parse(text)
	if err != nil {
		// Only checked documents are accepted, so this is a fault of this program.
		klog.ErrorS(err, "configuration in force cannot be read", "version", version)
		return
	}
	l.config = config{version: version}
	l.step(now, place.Quotas{Teams: quotas(cell)})
	for _, w := range cell.Work() {
		l.wantWork(now, w)
	}
	l.dropServices(now, cell)
}

func parse(text string) (spec.Cell, error) {
	document, err := spec.Parse(text)
	if err != nil {
		return spec.Cell{}, err
	}
	cell, _, err := document.Check(nil)
	return cell, err
}

func (l *lead) wantWork(now clock.Millis, w model.Work) {
	switch w := w.(type) {
	case model.Service:
		l.wantService(now, w)
	case model.Batch:
		l.wantRun(now, w, w.Run)
	case model.Gang:
		l.wantRun(now, w, w.Run)
	}
}

func (l *lead) wantService(now clock.Millis, s model.Service) {
	count := Share(s.Count, s.Zones, l.options.Zone)
	id := state.ServiceJob(s.Name, l.options.Zone)
	if count == 0 {
		return // dropServices ends what an earlier configuration started
	}
	s.Base = s.WithCount(count) // the job is this zone's part of the service
	box := model.NewBox(s)
	l.options.State.View(func(z *state.Zone) {
		job, ok := z.Job(id)
		if ok && !job.Cancelled && job.Count() == count && sameService(job.Work.Service, s) {
			return
		}
		l.next.add(state.AddJob{Job: id, Work: box, Count: count, At: now})
	})
}

func sameService(have *model.Service, want model.Service) bool {
	return have != nil && have.Size == want.Size && have.Team == want.Team &&
		have.Urgency == want.Urgency && slices.Equal(have.Zones, want.Zones)
}

func (l *lead) wantRun(now clock.Millis, w model.Work, run string) {
	if run == "" {
		return // declared only, for runs by request
	}
	base := w.Common()
	id := model.NewJobID(base.Name, run)
	l.config.runs = append(l.config.runs, id)
	if model.OwnerZone(string(id), run, base.Zones) != l.options.Zone {
		return
	}
	l.options.State.View(func(z *state.Zone) {
		if _, ok := z.Job(id); !ok {
			l.next.add(state.AddJob{Job: id, Work: model.NewBox(w), Count: base.Count, At: now})
		}
	})
}

// dropServices cancels the services that the configuration no longer places in this zone.
func (l *lead) dropServices(now clock.Millis, cell spec.Cell) {
	wanted := map[model.JobID]bool{}
	for _, w := range cell.Work() {
		if s, ok := w.(model.Service); ok && Share(s.Count, s.Zones, l.options.Zone) > 0 {
			wanted[state.ServiceJob(s.Name, l.options.Zone)] = true
		}
	}
	l.options.State.View(func(z *state.Zone) {
		z.Jobs(func(j *state.Job) {
			if j.Work.Service != nil && !wanted[j.ID] && j.Open > 0 && !j.Cancelled {
				l.next.add(state.CancelJob{Job: j.ID, Reason: "not in the configuration", At: now})
			}
		})
	})
}

// Share returns how many of count tasks run in a zone: they are divided evenly over the listed
// zones, and the first zones get one more where that leaves a rest.
func Share(count int, zones []model.Zone, zone model.Zone) int {
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

// quotas divides each team's quota of the cell evenly over the zones that its work names, so
// that zones need not talk to each other to keep it.
func quotas(cell spec.Cell) map[model.Team]place.Quota {
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
			Floor: t.Floor,
		}
	}
	return teams
}

package audit

import (
	"slices"

	"vanillabridge/core/model"
	"vanillabridge/vbstand/record"
)

// checkConfig looks for accepted configurations that were lost, late or reverted.
func checkConfig(r *Result, l *journals) {
	accepted := checkWinners(r, l)
	checkDocuments(r, l, accepted)
	highest := map[model.Instance]uint64{}
	for _, s := range l.seen {
		if !s.Ready {
			continue
		}
		r.check(Config)
		if s.Version < highest[s.Instance] {
			r.broken(Config, "instance %s went back from version %d to %d", s.Instance, highest[s.Instance], s.Version)
		}
		highest[s.Instance] = max(highest[s.Instance], s.Version)
		calm := l.disturbed(s.Time)
		for _, a := range accepted {
			if s.Version < a.Version && s.Time > max(a.End, calm).Add(configBound) {
				r.broken(Config, "instance %s had version %d in force %v after version %d was accepted",
					s.Instance, s.Version, s.Time.Sub(a.End), a.Version)
				break
			}
		}
	}
}

// checkWinners returns one submission for each accepted version, in order of the versions.
func checkWinners(r *Result, l *journals) []record.Submit {
	winners := map[uint64]record.Submit{}
	for _, s := range l.submits {
		if !s.Accepted {
			continue
		}
		r.check(Config)
		if w, ok := winners[s.Version]; ok && w.Key != s.Key {
			r.broken(Config, "version %d was accepted for submissions %s and %s", s.Version, w.Key, s.Key)
		}
		if w, ok := winners[s.Version]; !ok || s.End < w.End {
			winners[s.Version] = s
		}
	}
	var out []record.Submit
	for _, s := range winners {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b record.Submit) int { return int(a.Version) - int(b.Version) })
	return out
}

// checkDocuments compares the documents in force with the accepted ones.
func checkDocuments(r *Result, l *journals, accepted []record.Submit) {
	refused := map[string]bool{}
	for _, s := range l.submits {
		if s.Refused && s.Mark != "" {
			refused[s.Mark] = true
		}
	}
	marks := map[uint64]string{}
	for _, a := range accepted {
		marks[a.Version] = a.Mark
		delete(refused, a.Mark)
	}
	hashes := map[uint64]string{}
	for _, s := range l.seen {
		if s.Hash == "" {
			continue
		}
		if h, ok := hashes[s.Version]; ok && h != s.Hash {
			r.broken(Config, "version %d has two documents, one on instance %s", s.Version, s.Instance)
		}
		hashes[s.Version] = s.Hash
		if m := marks[s.Version]; m != "" && !slices.Contains(s.Marks, m) {
			r.broken(Config, "version %d on instance %s lacks the accepted section %s", s.Version, s.Instance, m)
		}
		for _, m := range s.Marks {
			if refused[m] {
				r.broken(Config, "version %d on instance %s has section %s of a refused submission", s.Version, s.Instance, m)
			}
		}
	}
}

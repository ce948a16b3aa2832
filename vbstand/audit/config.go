package audit

import (
	"slices"

	"vanillabridge/core/model"
	"vanillabridge/vbstand/record"
)

// checkConfig reports accepted configurations that were lost, activated late or reverted.
func checkConfig(r *Result, l *journals) {
	accepted := checkAcceptedVersions(r, l)
	checkDocuments(r, l, accepted)
	highest := map[model.Instance]uint64{}
	for _, s := range l.observations {
		if !s.Ready {
			continue
		}
		r.countCheck(GuaranteeConfig)
		if s.Version < highest[s.Instance] {
			r.addViolation(GuaranteeConfig, "instance %s reverted from configuration version %d to %d", s.Instance, highest[s.Instance], s.Version)
		}
		highest[s.Instance] = max(highest[s.Instance], s.Version)
		lastDisturbed := l.lastDisturbance(s.Time)
		for _, a := range accepted {
			if s.Version < a.Version && s.Time > max(a.End, lastDisturbed).Add(maxConfigActivation) {
				r.addViolation(GuaranteeConfig, "instance %s still had configuration version %d in force %v after version %d was accepted",
					s.Instance, s.Version, s.Time.Sub(a.End), a.Version)
				break
			}
		}
	}
}

// checkAcceptedVersions returns the earliest accepted submission of each version, sorted by version.
// It reports versions that were accepted for submissions with different idempotency keys.
func checkAcceptedVersions(r *Result, l *journals) []record.Submission {
	byVersion := map[uint64]record.Submission{}
	for _, s := range l.submissions {
		if !s.Accepted {
			continue
		}
		r.countCheck(GuaranteeConfig)
		if prev, ok := byVersion[s.Version]; ok && prev.Key != s.Key {
			r.addViolation(GuaranteeConfig, "configuration version %d was accepted for two submissions, %s and %s", s.Version, prev.Key, s.Key)
		}
		if prev, ok := byVersion[s.Version]; !ok || s.End < prev.End {
			byVersion[s.Version] = s
		}
	}
	var out []record.Submission
	for _, s := range byVersion {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b record.Submission) int { return int(a.Version) - int(b.Version) })
	return out
}

// checkDocuments compares the documents in force with the accepted ones. It reports versions with
// different documents, and documents that lack the accepted section or contain a refused one.
func checkDocuments(r *Result, l *journals, accepted []record.Submission) {
	refused := map[string]bool{}
	for _, s := range l.submissions {
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
	for _, s := range l.observations {
		if s.Hash == "" {
			continue
		}
		if h, ok := hashes[s.Version]; ok && h != s.Hash {
			r.addViolation(GuaranteeConfig, "configuration version %d has two different documents, one of them on instance %s", s.Version, s.Instance)
		}
		hashes[s.Version] = s.Hash
		if m := marks[s.Version]; m != "" && !slices.Contains(s.Marks, m) {
			r.addViolation(GuaranteeConfig, "configuration version %d on instance %s lacks section %s of the accepted submission", s.Version, s.Instance, m)
		}
		for _, m := range s.Marks {
			if refused[m] {
				r.addViolation(GuaranteeConfig, "configuration version %d on instance %s has section %s of a refused submission", s.Version, s.Instance, m)
			}
		}
	}
}

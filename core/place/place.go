package place

import (
	"vanillabridge/core/clock"
	"vanillabridge/core/model"
)

// schedule starts ready units, at most starts of them, until misses shapes did not fit.
func (s *Scheduler) schedule(now clock.Millis, starts, misses int) {
	for starts > 0 && misses > 0 && s.waiting > 0 {
		sh := s.next()
		if sh == nil {
			return
		}
		t := sh.head()
		if t == nil || sh.reason != "" {
			continue
		}
		why, ok := s.try(now, t)
		if !ok {
			misses--
			sh.share.block(sh, why)
			continue
		}
		starts--
		s.activate(sh)
	}
}

// try places a unit, or says why it cannot be placed now.
func (s *Scheduler) try(now clock.Millis, t *task) (blockReason, bool) {
	j := t.job
	if !j.shape.share.team.withinQuota(j.base.Size, max(1, j.gangSize())) {
		return blockedQuota, false
	}
	if j.gang {
		return s.tryGang(now, t)
	}
	if j.learningFull() {
		return blockedLearning, false
	}
	need := j.kind.need(j.base.Size)
	if !s.leavesHeadroom(j, need) {
		return blockedRoom, false
	}
	w, n := s.choose(now, t, need)
	if w == nil {
		s.preempt(now, j.shape, need)
		return blockedRoom, false
	}
	s.assign(t, w, n)
	s.emit(Assign{Placements: []Placement{t.placement()}})
	return 0, true
}

func (j *job) learningFull() bool { return !j.kind.proved() && j.kind.unmeasured >= learners }

func (j *job) gangSize() int {
	if !j.gang {
		return 0
	}
	return j.open
}

// choose returns the best worker of a bounded number of candidates, and the charge there.
func (s *Scheduler) choose(now clock.Millis, t *task, need model.Size) (*worker, model.Size) {
	if t.job.service {
		if w, n := s.chooseSpread(now, t, need); w != nil {
			return w, n
		}
	}
	var best *worker
	var charge model.Size
	var score float64
	take := func(w *worker) bool {
		n, ok := s.room(now, w, t, need)
		if !ok {
			return false
		}
		if left := leftover(w, n); best == nil || left < score {
			best, charge, score = w, n, left
		}
		return true
	}
	if need.Accel == 0 {
		s.search(need, 0, take)
	}
	if best == nil {
		s.search(need, 1, take)
	}
	return best, charge
}

// leftover scores a worker by what stays free in its scarcest dimension. The imbalance counts too,
// because room in one dimension is useless without the other.
func leftover(w *worker, n model.Size) float64 {
	left := w.free().Minus(n)
	cpu := float64(left.CPU) / float64(max(w.usable.CPU, 1))
	memory := float64(left.Memory) / float64(max(w.usable.Memory, 1))
	return min(cpu, memory) + max(cpu-memory, memory-cpu)/2
}

// chooseSpread prefers racks with few tasks of the service, and the emptiest worker there.
func (s *Scheduler) chooseSpread(now clock.Millis, t *task, need model.Size) (*worker, model.Size) {
	var best *worker
	var charge model.Size
	var score float64
	count := len(s.racks)
	if count == 0 {
		return nil, charge
	}
	offset := s.random.IntN(count)
	for i := range min(count, rackSample) {
		r := s.racks[(offset+i)%count]
		for _, w := range r.workers {
			n, ok := s.room(now, w, t, need)
			if !ok {
				continue
			}
			if c := float64(t.job.racks[r]) - leftover(w, n)/4; best == nil || c < score {
				best, charge, score = w, n, c
			}
		}
	}
	return best, charge
}

// room reports whether the task may start on the worker, and what it is charged there.
func (s *Scheduler) room(now clock.Millis, w *worker, t *task, need model.Size) (model.Size, bool) {
	n := clamp(need, w)
	if w.pool < 0 || w.hot || !n.Fits(w.free()) {
		return n, false
	}
	if !t.job.kind.base(t.job.base.Size).Fits(w.size) || t.job.avoids(now, w) {
		return n, false
	}
	if w.health.suspended && (t.job.gang || w.health.probe != nil) {
		return n, false
	}
	if w.reserved != nil && w.reserved.unit != t && !w.besides(now, t, n) {
		return n, false
	}
	return n, t.job.gang || !w.starting(t.job)
}

// clamp bounds a charge to the worker: a task that may need more than one worker has gets one for
// itself.
func clamp(need model.Size, w *worker) model.Size {
	return model.Size{CPU: min(need.CPU, w.usable.CPU), Memory: min(need.Memory, w.usable.Memory), Accel: need.Accel}
}

// starting reports whether a task of the job has been assigned to the worker and not started yet.
// A second one waits for it, because a bad worker would fail both.
func (w *worker) starting(j *job) bool {
	for _, t := range w.tasks {
		if t.job == j && t.phase == assigned {
			return true
		}
	}
	return false
}

// assign binds a waiting task to a worker.
func (s *Scheduler) assign(t *task, w *worker, charge model.Size) {
	s.count(t.job, -1)
	t.attempt++
	t.phase, t.command, t.started, t.reports, t.charge = assigned, commandRun, 0, 0, charge
	t.peak, t.proved = model.Size{}, false
	s.attach(t, w)
	t.job.shape.share.class.begun += s.portion(charge)
	if w.health.suspended {
		w.health.probe = t
		s.enlist(w)
	}
	if r := s.reserved[t]; r != nil {
		s.release(r)
	}
}

func (t *task) placement() Placement {
	return Placement{
		Task: t.id(), Attempt: int(t.attempt), Worker: t.worker.id,
		Incarnation: t.worker.incarnation, Saved: int(t.saved),
	}
}

// attach counts a task's charge on a worker.
func (s *Scheduler) attach(t *task, w *worker) {
	j := t.job
	t.worker, t.slot = w, int32(len(w.tasks))
	w.tasks = append(w.tasks, t)
	j.placed++
	if j.service && w.rack != nil {
		j.countRack(w.rack, 1)
	}
	if !j.kind.proved() {
		t.learning = true
		j.kind.unmeasured++
	}
	j.shape.share.team.held = j.shape.share.team.held.Plus(j.base.Size)
	s.account(w, j, t.charge)
}

// detach takes a task off its worker.
func (s *Scheduler) detach(t *task) {
	w, j := t.worker, t.job
	last := w.tasks[len(w.tasks)-1]
	w.tasks[t.slot], last.slot = last, t.slot
	w.tasks[len(w.tasks)-1] = nil
	w.tasks = w.tasks[:len(w.tasks)-1]
	t.worker = nil
	if w.health.probe == t {
		w.health.probe = nil
	}
	j.placed--
	if j.service && w.rack != nil {
		j.countRack(w.rack, -1)
	}
	s.measured(t)
	j.shape.share.team.held = j.shape.share.team.held.Minus(j.base.Size)
	s.account(w, j, model.Size{}.Minus(t.charge))
}

// measured ends the time in which a task counts as unmeasured.
func (s *Scheduler) measured(t *task) {
	if t.learning {
		t.learning = false
		t.job.kind.unmeasured--
	}
}

func (j *job) countRack(r *rack, n int) {
	if j.racks == nil {
		j.racks = make(map[*rack]int)
	}
	if j.racks[r] += n; j.racks[r] == 0 {
		delete(j.racks, r)
	}
}

func (s *Scheduler) account(w *worker, j *job, delta model.Size) {
	w.charged = w.charged.Plus(delta)
	p := j.shape.share
	p.held = p.held.Plus(delta)
	p.class.held = p.class.held.Plus(delta)
	s.index.update(w)
}

func (s *Scheduler) setCharge(t *task, charge model.Size) {
	if charge == t.charge {
		return
	}
	s.account(t.worker, t.job, charge.Minus(t.charge))
	t.charge = charge
}

// refill offers the room on a worker to the unit it is reserved for and to blocked shapes.
func (s *Scheduler) refill(now clock.Millis, w *worker) {
	if s.waiting == 0 || w.pool < 0 {
		return
	}
	if r := w.reserved; r != nil {
		s.tryReserved(now, r)
	}
	checks, starts := refillChecks, refillStarts
	for _, c := range s.ranked() {
		p := s.nextPart(c, func(p *teamClass) bool { return len(p.blocked) > 0 })
		if p == nil {
			continue
		}
		for _, sh := range p.blocked {
			if checks == 0 || starts == 0 {
				return
			}
			checks--
			if s.refillWith(now, w, sh) {
				starts--
			}
		}
	}
}

func (s *Scheduler) refillWith(now clock.Millis, w *worker, sh *shape) bool {
	t := sh.head()
	if t == nil || sh.key.mode == modeGang || t.job.learningFull() || sh.reason != "" {
		return false
	}
	if !sh.share.team.withinQuota(sh.key.size, 1) {
		return false
	}
	need := sh.kind.need(sh.key.size)
	n, ok := s.room(now, w, t, need)
	if !ok || !s.leavesHeadroom(t.job, need) {
		return false
	}
	s.assign(t, w, n)
	s.emit(Assign{Placements: []Placement{t.placement()}})
	return true
}

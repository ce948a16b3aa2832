package plan

import (
	"math"
	"slices"

	"vanillabridge/core/clock"
)

// Load pattern f: some workers take longer than others for the same work. A gang is as slow as its slowest member, so
// gangs prefer fast workers, and work with time to spare goes to the slow ones.
const (
	// paceWeight is the weight of a new run in the moving averages.
	paceWeight = 0.1
	// minPaceRun is the shortest run that is compared: in shorter ones the calls weigh more than the work.
	minPaceRun = 300 * clock.Millisecond
	// maxPace bounds the logarithm of how much slower than others a worker counts.
	maxPace = 0.7
	// slowPace is the pace from which on a worker counts as slow.
	slowPace = 0.04
)

// stepPace is the mean logarithm of the run times of the finished tasks of a step, with the pace of their workers
// taken out.
type stepPace struct {
	sum  float64
	runs int
}

// notePace compares a finished run with the earlier ones of its step.
func (p *Planner) notePace(t *task) {
	took := p.now - t.startedAt
	if !p.cfg.Features.Overload || t.step.spec.Gang || t.startedAt == 0 || took < minPaceRun {
		return
	}
	w, sp := t.worker, &t.step.pace
	value := math.Log(float64(took))
	if sp.runs > 0 {
		deviation := value - sp.sum/float64(sp.runs)
		// Those that end later in a step are slower on average, on whatever worker.
		p.meanDeviation += (deviation - p.meanDeviation) * paceWeight / 10
		w.pace += (deviation - p.meanDeviation - w.pace) * paceWeight
		w.pace = min(max(w.pace, -maxPace), maxPace)
	}
	sp.sum, sp.runs = sp.sum+value-w.pace, sp.runs+1
}

// paceTerm returns what the pace of a worker adds to the cost of placing a task there. Steps without time to spare
// don't seek fast workers: they would take these from gangs, which lose more.
func (p *Planner) paceTerm(st *step, w *worker) float64 {
	if st.latestOnTime-p.now < 2*st.expectedRunTime() {
		return 0
	}
	return -max(w.pace, 0)
}

// slowDelay returns how much longer a gang is expected to take because of a slow worker.
func (st *step) slowDelay(w *worker) clock.Millis {
	return clock.Millis(max(w.pace, 0) * float64(st.expectedRunTime()))
}

// fastFirst moves slow workers to the end of a list.
func fastFirst(list []workerSlots) {
	slices.SortStableFunc(list, func(a, b workerSlots) int {
		switch aSlow, bSlow := a.worker.pace > slowPace, b.worker.pace > slowPace; {
		case aSlow == bSlow:
			return 0
		case aSlow:
			return 1
		}
		return -1
	})
}

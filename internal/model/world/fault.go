package world

import (
	"math"
	"time"

	"bramleysail.example/bramleysail/internal/model/trace"
)

// ApplyFaults sets the state of all workers as the faults active now require, and reports whether a worker was lost
// or replaced.
func (w *World) ApplyFaults(now time.Time) bool {
	if len(w.faults) == 0 {
		return false
	}
	lost := map[int]bool{}
	for _, k := range w.Workers {
		k.slowdown, k.failsTasks = 1, false
	}
	for i := range w.faults {
		f := &w.faults[i]
		if !f.Active(now.Sub(w.start)) || f.Kind == trace.FaultBurst {
			continue
		}
		k := w.Workers[f.Worker]
		switch f.Kind {
		case trace.FaultSlow:
			k.slowdown = max(k.slowdown, f.Factor)
		case trace.FaultHang:
			k.slowdown = math.Inf(1)
		case trace.FaultFail:
			k.failsTasks = true
		case trace.FaultLeave:
			lost[f.Worker] = true
		}
	}
	changed := false
	for i, k := range w.Workers {
		switch {
		case lost[i] && !k.lost:
			w.loseWorker(k)
		case !lost[i] && k.lost:
			k.lost, k.startedAt = false, now
			k.Member.StartedAt++
		default:
			continue
		}
		changed = true
	}
	return changed
}

// loseWorker removes a worker with its tasks and its unacknowledged ends. Work since the last start is lost, also
// of checkpointed steps.
func (w *World) loseWorker(k *Worker) {
	for _, t := range k.Tasks {
		if !t.Step.LongRunning {
			w.WastedCoreSeconds += t.workDone.Seconds() * float64(t.Step.Size.CPU) / 1000
		}
	}
	k.lost, k.Tasks, k.finishedRuns, k.lastSeq = true, nil, nil, 0
}

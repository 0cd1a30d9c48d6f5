package world

import (
	"math"
	"time"

	"bramleysail.example/bramleysail/internal/model/trace"
)

// Strike brings the workers into the state that the faults at this time want, and reports whether a worker has left
// or come.
func (w *World) Strike(now time.Time) bool {
	if len(w.faults) == 0 {
		return false
	}
	away := map[int]bool{}
	for _, k := range w.Workers {
		k.slow, k.sick = 1, false
	}
	for i := range w.faults {
		f := &w.faults[i]
		if !f.Active(now.Sub(w.start)) || f.Kind == trace.FaultBurst {
			continue
		}
		k := w.Workers[f.Worker]
		switch f.Kind {
		case trace.FaultSlow:
			k.slow = max(k.slow, f.Factor)
		case trace.FaultHang:
			k.slow = math.Inf(1)
		case trace.FaultFail:
			k.sick = true
		case trace.FaultLeave:
			away[f.Worker] = true
		}
	}
	changed := false
	for i, k := range w.Workers {
		switch {
		case away[i] && !k.away:
			w.lose(k)
		case !away[i] && k.away:
			k.away, k.born = false, now
			k.Member.StartedAt++
		default:
			continue
		}
		changed = true
	}
	return changed
}

// lose drops a worker with all that runs there.
func (w *World) lose(k *Worker) {
	for _, t := range k.Tasks {
		if !t.Step.LongRunning {
			w.Wasted += t.done.Seconds() * float64(t.Step.Size.CPU) / 1000
		}
	}
	k.away, k.Tasks, k.ends, k.seq = true, nil, nil, 0
}

package report

import "time"

// Phase is what a job's time was spent on. Its value is the name that reports show.
type Phase string

// The phases of a job, in the order in which they are shown.
const (
	PhaseRefused    Phase = "refused" // from the first refusal of its submission until it was submitted again and accepted
	PhaseStore      Phase = "store"   // the accepted job is being stored
	PhaseScheduling Phase = "holder"  // waiting for the holder to plan, though a worker had room
	PhaseUnplaced   Phase = "place"   // unplaced: a task found no worker
	PhaseOrder      Phase = "order"   // a start order is in flight: sent and not yet answered
	PhaseRun        Phase = "run"     // running, up to the expected time if that is known
	PhaseOverrun    Phase = "slow"    // running for longer than the expected time
	PhaseRetry      Phase = "again"   // runs that failed, were stopped or were lost, until the next run is started
	PhaseNoHolder   Phase = "change"  // no process was the holder
)

// phases lists all phases in the order in which they are shown.
var phases = []Phase{PhaseRefused, PhaseStore, PhaseScheduling, PhaseUnplaced, PhaseOrder, PhaseRun, PhaseOverrun, PhaseRetry, PhaseNoHolder}

// segment is an interval that a job spent in one phase.
type segment struct {
	phase    Phase     // phase of the job
	from, to time.Time // start and end of the interval
}

// holderGap is an interval without a holder.
type holderGap struct{ from, to time.Time }

// relabel returns the segments with their parts within the gap attributed to PhaseNoHolder.
func (g holderGap) relabel(segments []segment) []segment {
	var relabeled []segment
	add := func(p Phase, from, to time.Time) {
		if from.Before(to) {
			relabeled = append(relabeled, segment{p, from, to})
		}
	}
	for _, s := range segments {
		from, to := latest(s.from, g.from), earliest(s.to, g.to)
		if !from.Before(to) {
			add(s.phase, s.from, s.to)
			continue
		}
		add(s.phase, s.from, from)
		add(PhaseNoHolder, from, to)
		add(s.phase, to, s.to)
	}
	return relabeled
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

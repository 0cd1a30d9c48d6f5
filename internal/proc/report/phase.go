package report

import "time"

// Phase is what a job's time went to.
type Phase string

// The phases of a job, in the order in which they are shown.
const (
	PhaseRefused    Phase = "refused" // from its first refusal until it was handed in again and taken
	PhaseStore      Phase = "store"   // being stored
	PhaseScheduling Phase = "holder"  // waiting for the holder to place it, though there was a place
	PhaseUnplaced   Phase = "place"   // waiting for a place
	PhaseOrder      Phase = "order"   // a start on its way to a worker and back
	PhaseRun        Phase = "run"     // at work, for as long as was expected
	PhaseOverrun    Phase = "slow"    // at work for longer than that
	PhaseRetry      Phase = "again"   // runs that failed or were stopped or lost, until the next began
	PhaseNoHolder   Phase = "change"  // nobody held
)

var phases = []Phase{PhaseRefused, PhaseStore, PhaseScheduling, PhaseUnplaced, PhaseOrder, PhaseRun, PhaseOverrun, PhaseRetry, PhaseNoHolder}

// segment is a span of a job's time.
type segment struct {
	phase    Phase
	from, to time.Time
}

// holderGap is a time without a holder.
type holderGap struct{ from, to time.Time }

// relabel takes a span out of segments and returns what is left of them, with the part within as PhaseChange.
func (s holderGap) relabel(all []segment) []segment {
	var out []segment
	add := func(p Phase, from, to time.Time) {
		if from.Before(to) {
			out = append(out, segment{p, from, to})
		}
	}
	for _, g := range all {
		from, to := latest(g.from, s.from), earliest(g.to, s.to)
		if !from.Before(to) {
			add(g.phase, g.from, g.to)
			continue
		}
		add(g.phase, g.from, from)
		add(PhaseNoHolder, from, to)
		add(g.phase, to, g.to)
	}
	return out
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

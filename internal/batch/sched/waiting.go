package sched

import (
	"cmp"
	"slices"
	"time"
)

// waiting is the steps with tasks that wait for a worker, in the order in which they are placed.
type waiting struct {
	steps  []*stage
	fresh  []*stage  // not sorted in yet
	sorted time.Time // when steps was last sorted as a whole
}

const (
	// resortEvery is how often all that waits is sorted anew: what becomes late meanwhile moves behind the rest.
	resortEvery = 200 * time.Millisecond
	// lateBy moves a step whose job can't be on time any more behind those whose jobs can.
	lateBy = time.Hour
)

// precedence says which of two steps is placed first.
type precedence struct {
	batch    bool // lasting steps come first
	priority int
	at       int64 // Unix nanoseconds
}

func (p precedence) compare(q precedence) int {
	switch {
	case p.batch != q.batch:
		if q.batch {
			return -1
		}
		return 1
	case p.priority != q.priority:
		return cmp.Compare(p.priority, q.priority)
	}
	return cmp.Compare(p.at, q.at)
}

// precedence orders steps by the latest start with which their jobs are on time. Those for which it has passed
// come after all others, and last the ones whose jobs are worth nothing to their callers any more.
func (s *stage) precedence(now time.Time) precedence {
	at := s.due
	switch {
	case now.After(s.worth):
		at = at.Add(2 * lateBy)
	case now.After(s.due):
		at = at.Add(lateBy)
	}
	return precedence{batch: !s.spec.Lasting, priority: s.job.Priority, at: at.UnixNano()}
}

func (w *waiting) add(s *stage) {
	w.fresh = append(w.fresh, s)
}

// all returns the steps in no certain order.
func (w *waiting) all() []*stage {
	return slices.Concat(w.steps, w.fresh)
}

// sort drops the steps of which no task waits any more and brings the others into their order.
func (w *waiting) sort(now time.Time) {
	w.steps = slices.DeleteFunc(w.steps, (*stage).unlist)
	w.fresh = slices.DeleteFunc(w.fresh, (*stage).unlist)
	for _, s := range w.fresh {
		s.rank = s.precedence(now)
	}
	if now.Sub(w.sorted) < resortEvery {
		for _, s := range w.fresh {
			i, _ := slices.BinarySearchFunc(w.steps, s.rank, func(o *stage, p precedence) int {
				return cmp.Or(o.rank.compare(p), -1) // after its equals
			})
			w.steps = slices.Insert(w.steps, i, s)
		}
		w.fresh = w.fresh[:0]
		return
	}
	w.sorted = now
	w.steps = append(w.steps, w.fresh...)
	w.fresh = w.fresh[:0]
	for _, s := range w.steps {
		s.rank = s.precedence(now)
	}
	slices.SortStableFunc(w.steps, func(a, b *stage) int { return a.rank.compare(b.rank) })
}

// unlist reports whether no task of the step waits any more, and notes that it is then not listed.
func (s *stage) unlist() bool {
	if s.waiting > 0 && !s.job.state.Final() {
		return false
	}
	s.listed = false
	return true
}

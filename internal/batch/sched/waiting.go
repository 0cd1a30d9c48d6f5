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
	// crowded are the priorities at which jobs that haven't begun are late.
	crowded map[int]bool
}

// resortEvery is how often all that waits is sorted anew: what becomes late meanwhile moves behind the rest.
const resortEvery = 200 * time.Millisecond

// prospect is what can still come of a step's job.
type prospect int

// The prospects of a job, in the order in which they are placed.
const (
	prospectBegun prospect = iota // on time, with tasks that have run: left alone, these would have run in vain
	prospectFresh                 // on time
	prospectLate                  // worth something to its caller
	prospectNone
)

// precedence says which of two steps is placed first.
type precedence struct {
	batch    bool // lasting steps come first
	priority int
	prospect prospect
	at       int64 // Unix nanoseconds
}

func (p precedence) compare(q precedence) int {
	if p.batch != q.batch {
		if q.batch {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(p.priority, q.priority), cmp.Compare(p.prospect, q.prospect), cmp.Compare(p.at, q.at))
}

// prospect returns what can still come of a step's job.
func (s *stage) prospect(now time.Time) prospect {
	switch {
	case now.After(s.worth):
		return prospectNone
	case now.After(s.due):
		return prospectLate
	case s.job.begun:
		return prospectBegun
	}
	return prospectFresh
}

// precedence orders steps by the latest start with which their jobs are on time. Of jobs that haven't begun the
// newest come first once others of their priority are late: with the oldest first, each would begin
// when it can hardly be on time any more.
//
// Lasting steps come first, those that have waited longest before the others: when their jobs were due says nothing of a
// task that is to run again.
func (w *waiting) precedence(now time.Time, s *stage) precedence {
	if s.spec.Lasting {
		return precedence{priority: s.job.Priority, at: s.since.UnixNano()}
	}
	p := precedence{batch: true, priority: s.job.Priority, prospect: s.prospect(now), at: s.due.UnixNano()}
	if p.prospect == prospectFresh && w.crowded[p.priority] {
		p.at = -s.at.UnixNano()
	}
	return p
}

// crowd finds out at which priorities jobs that haven't begun are late.
func (w *waiting) crowd(now time.Time) {
	if w.crowded == nil {
		w.crowded = map[int]bool{}
	}
	clear(w.crowded)
	for _, s := range w.steps {
		if !s.spec.Lasting && !s.job.begun && s.prospect(now) == prospectLate {
			w.crowded[s.job.Priority] = true
		}
	}
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
		s.since = now
		s.rank = w.precedence(now, s)
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
	w.crowd(now)
	for _, s := range w.steps {
		s.rank = w.precedence(now, s)
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

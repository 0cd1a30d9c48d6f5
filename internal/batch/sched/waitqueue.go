package sched

import (
	"cmp"
	"slices"
	"time"
)

// waitQueue is the steps with tasks that wait for a worker, in the order in which they are placed.
type waitQueue struct {
	steps    []*stepInstance
	added    []*stepInstance // not sorted in yet
	sortedAt time.Time       // when steps was last sorted as a whole
	// overloaded are the priorities at which jobs that haven't begun are late.
	overloaded map[int]bool
}

// resortInterval is how often all that waits is sorted anew: what becomes late meanwhile moves behind the rest.
const resortInterval = 200 * time.Millisecond

// timeliness is what can still come of a step's job.
type timeliness int

// The prospects of a job, in the order in which they are placed.
const (
	onTimeStarted    timeliness = iota // on time, with tasks that have run: left alone, these would have run in vain
	onTimeNotStarted                   // on time
	lateUseful                         // worth something to its caller
	lateUseless
)

// precedence says which of two steps is placed first.
type precedence struct {
	batch      bool // lasting steps come first
	priority   int
	timeliness timeliness
	at         int64 // Unix nanoseconds
}

func (p precedence) compare(q precedence) int {
	if p.batch != q.batch {
		if q.batch {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(p.priority, q.priority), cmp.Compare(p.timeliness, q.timeliness), cmp.Compare(p.at, q.at))
}

// timeliness returns what can still come of a step's job.
func (s *stepInstance) timeliness(now time.Time) timeliness {
	switch {
	case now.After(s.latestUsefulStart):
		return lateUseless
	case now.After(s.latestOnTimeStart):
		return lateUseful
	case s.job.started:
		return onTimeStarted
	}
	return onTimeNotStarted
}

// precedence orders steps by the latest start with which their jobs are on time. Of jobs that haven't begun the
// newest come first once others of their priority are late: with the oldest first, each would begin
// when it can hardly be on time any more.
//
// Lasting steps come first, those that have waited longest before the others: when their jobs were due says nothing of a
// task that is to run again.
func (w *waitQueue) precedence(now time.Time, s *stepInstance) precedence {
	if s.spec.LongRunning {
		return precedence{priority: s.job.Priority, at: s.queuedAt.UnixNano()}
	}
	p := precedence{batch: true, priority: s.job.Priority, timeliness: s.timeliness(now), at: s.latestOnTimeStart.UnixNano()}
	if p.timeliness == onTimeNotStarted && w.overloaded[p.priority] {
		p.at = -s.releasedAt.UnixNano()
	}
	return p
}

// updateOverloaded finds out at which priorities jobs that haven't begun are late.
func (w *waitQueue) updateOverloaded(now time.Time) {
	if w.overloaded == nil {
		w.overloaded = map[int]bool{}
	}
	clear(w.overloaded)
	for _, s := range w.steps {
		if !s.spec.LongRunning && !s.job.started && s.timeliness(now) == lateUseful {
			w.overloaded[s.job.Priority] = true
		}
	}
}

func (w *waitQueue) add(s *stepInstance) {
	w.added = append(w.added, s)
}

// all returns the steps in no certain order.
func (w *waitQueue) all() []*stepInstance {
	return slices.Concat(w.steps, w.added)
}

// sort drops the steps of which no task waits any more and brings the others into their order.
func (w *waitQueue) sort(now time.Time) {
	w.steps = slices.DeleteFunc(w.steps, (*stepInstance).dequeueIfDone)
	w.added = slices.DeleteFunc(w.added, (*stepInstance).dequeueIfDone)
	for _, s := range w.added {
		s.queuedAt = now
		s.precedence = w.precedence(now, s)
	}
	if now.Sub(w.sortedAt) < resortInterval {
		for _, s := range w.added {
			i, _ := slices.BinarySearchFunc(w.steps, s.precedence, func(o *stepInstance, p precedence) int {
				return cmp.Or(o.precedence.compare(p), -1) // after its equals
			})
			w.steps = slices.Insert(w.steps, i, s)
		}
		w.added = w.added[:0]
		return
	}
	w.sortedAt = now
	w.steps = append(w.steps, w.added...)
	w.added = w.added[:0]
	w.updateOverloaded(now)
	for _, s := range w.steps {
		s.precedence = w.precedence(now, s)
	}
	slices.SortStableFunc(w.steps, func(a, b *stepInstance) int { return a.precedence.compare(b.precedence) })
}

// dequeueIfDone reports whether no task of the step waits any more, and notes that it is then not listed.
func (s *stepInstance) dequeueIfDone() bool {
	if s.pending > 0 && !s.job.state.Final() {
		return false
	}
	s.inWaitQueue = false
	return true
}

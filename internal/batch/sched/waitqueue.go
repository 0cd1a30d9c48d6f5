package sched

import (
	"cmp"
	"slices"
	"time"
)

// waitQueue holds the steps with tasks that wait for a worker, in the order in which they are placed.
type waitQueue struct {
	steps    []*stepInstance // sorted by precedence
	added    []*stepInstance // added since, not sorted in yet
	sortedAt time.Time       // when all steps were last sorted
	// overloaded is the set of priorities at which jobs that haven't started are late.
	overloaded map[int]bool
}

// resortInterval is how often the whole queue is sorted, so that steps that have become late move behind the others.
const resortInterval = 200 * time.Millisecond

// timeliness is whether a step's job can still be on time or useful to its caller.
type timeliness int

// The timeliness of a job, in the order in which steps are placed.
const (
	onTimeStarted    timeliness = iota // can be on time; tasks of it have run, in vain if the others are delayed
	onTimeNotStarted                   // can be on time; no task of it has run
	lateUseful                         // late, but still useful to its caller
	lateUseless                        // too late to be useful
)

// continuity is whether a long-running step's tasks have run before.
type continuity int

// The continuity of a long-running step, in the order in which steps are placed.
const (
	interrupted continuity = iota // a task of it has lost its run
	departing                     // its run will end when its draining worker leaves; see departure
	notStarted                    // the tasks that wait have not run yet
)

// precedence decides which of two steps is placed first: the fields are compared in their order, and the step with the
// lesser value is first.
type precedence struct {
	batch      bool       // not long-running
	priority   int        // of the job; 0 comes first
	continuity continuity // not set for other steps
	timeliness timeliness // of the job; not set for a long-running step
	timeKey    int64      // see waitQueue.precedence; Unix nanoseconds, negated where the newest comes first
}

// interrupted reports whether it is that of a long-running step with an interrupted task.
func (p precedence) interrupted() bool { return !p.batch && p.continuity == interrupted }

// compare returns a negative number if p comes before q, a positive one if after, and 0 if they are equal.
func (p precedence) compare(q precedence) int {
	if p.batch != q.batch {
		if q.batch {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(p.priority, q.priority), cmp.Compare(p.continuity, q.continuity),
		cmp.Compare(p.timeliness, q.timeliness), cmp.Compare(p.timeKey, q.timeKey))
}

// timeliness returns whether the step's job can still be on time or useful if the step starts now.
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

// precedence returns the precedence of a step. Among equals, steps are ordered by the latest start with which their jobs are
// on time. Among jobs that haven't started, the newest come first once others of their priority are late: with the oldest
// first, each would start when it can hardly be on time any more.
//
// Long-running steps come before all others, those with an interrupted task first, and of these the one that has stood still
// for longest: their jobs' deadlines are long over when a task has to be restarted, and say nothing about its urgency.
func (w *waitQueue) precedence(now time.Time, s *stepInstance) precedence {
	switch {
	case s.spec.LongRunning && !s.interruptedAt.IsZero():
		return precedence{priority: s.job.Priority, continuity: interrupted, timeKey: s.interruptedAt.UnixNano()}
	case s.spec.LongRunning:
		return precedence{priority: s.job.Priority, continuity: notStarted, timeKey: s.queuedAt.UnixNano()}
	}
	p := precedence{batch: true, priority: s.job.Priority, timeliness: s.timeliness(now), timeKey: s.latestOnTimeStart.UnixNano()}
	if p.timeliness == onTimeNotStarted && w.overloaded[p.priority] {
		p.timeKey = -s.releasedAt.UnixNano()
	}
	return p
}

// updateOverloaded updates the set of priorities at which jobs that haven't started are late.
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

// add adds a step; the next sort puts it in its place.
func (w *waitQueue) add(s *stepInstance) {
	w.added = append(w.added, s)
}

// all returns all steps in an unspecified order.
func (w *waitQueue) all() []*stepInstance {
	return slices.Concat(w.steps, w.added)
}

// sort drops the steps without waiting tasks and sorts the others: all of them once per resortInterval, otherwise it only
// inserts the added ones.
func (w *waitQueue) sort(now time.Time) {
	w.steps = slices.DeleteFunc(w.steps, (*stepInstance).dequeueIfDone)
	w.added = slices.DeleteFunc(w.added, (*stepInstance).dequeueIfDone)
	for _, s := range w.added {
		s.queuedAt = now
		if s.job.restored && s.job.started && s.interruptedAt.IsZero() {
			s.interruptedAt = now // its tasks have run under the former holder
		}
		s.precedence = w.precedence(now, s)
	}
	if now.Sub(w.sortedAt) < resortInterval {
		for _, s := range w.added {
			i, _ := slices.BinarySearchFunc(w.steps, s.precedence, func(other *stepInstance, p precedence) int {
				return cmp.Or(other.precedence.compare(p), -1) // insert after steps of equal precedence
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

// dequeueIfDone reports whether no task of the step waits any more, and if so marks the step as not in the wait queue.
func (s *stepInstance) dequeueIfDone() bool {
	if s.pending > 0 && !s.job.state.Final() {
		return false
	}
	s.inWaitQueue = false
	s.interruptedAt = time.Time{}
	return true
}

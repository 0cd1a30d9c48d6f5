package sched

import (
	"slices"
	"time"
)

// lateStart is a start without an answer, which its worker may still carry out. The incarnation for which it was meant may
// have been replaced by then, and a later one knows neither of a stop nor of a fencing token. While the start is pending, its
// task is placed on no other worker, and no ends of its worker are acknowledged (see mayAck).
type lateStart struct {
	runKey
	Incarnation           // of the worker to which it was sent
	sentAt      time.Time // when it was sent; of a former holder's start: when it was taken over
	carriedOut  bool      // a report has listed its run
	settled     bool      // its run has ended, or can't begin any more
}

const (
	// maxPendingWorkers and minPendingWorkers bound the workers whose pending starts are kept, of a small fleet and of a large
	// one, for which a holder has less processor time left.
	maxPendingWorkers = 64
	minPendingWorkers = 16
)

// pendingWorkersLimit returns the number of workers whose pending starts are kept. If more leave starts unanswered, much of the
// fleet is silent at once; what guards against late calls would then cost more than it saves.
func (c *Core) pendingWorkersLimit() int {
	return max(maxPendingWorkers-max(0, len(c.workers)-maxPendingWorkers)/4, minPendingWorkers)
}

// noteLateStart records that the start of a run is given up without an answer.
func (c *Core) noteLateStart(r *run) {
	r.worker.unansweredAt = latest(r.worker.unansweredAt, r.startedAt)
	if r.late != nil {
		return
	}
	l := &lateStart{runKey: r.runKey, Incarnation: Incarnation{r.worker.ID, r.incarnation}, sentAt: r.startedAt}
	if !c.addLateStart(r.worker, l) {
		return
	}
	r.late = l
	if r.task == nil || r.task.step.spec.Speculative {
		return
	}
	r.task.late = l
	c.unstoredStarts = append(c.unstoredStarts, l)
}

// lateStoreDelay is how long after it was sent a start without an answer is stored with its job. By then it shows whether only
// some workers left starts unanswered.
const lateStoreDelay = 1600 * time.Millisecond

// StoreLateStarts marks the jobs of starts without an answer to be stored, as a successor has to know of them, and reports
// whether any are due.
func (c *Core) StoreLateStarts(now time.Time) bool {
	due := false
	c.unstoredStarts = slices.DeleteFunc(c.unstoredStarts, func(l *lateStart) bool {
		if !c.pending(now, l) || l.carriedOut {
			return true
		}
		if now.Sub(l.sentAt) < lateStoreDelay || c.busy(now) {
			return false
		}
		due = true
		c.storeLateStart(l)
		return true
	})
	return due
}

// storeLateStart marks the job of a start to be stored.
func (c *Core) storeLateStart(l *lateStart) {
	if t := c.findTask(l.task); t != nil && t.late == l {
		c.storeQueue.addNormal(t.step.job)
	}
}

// addLateStart adds a start to those of its worker, and reports whether it has done so.
func (c *Core) addLateStart(w *worker, l *lateStart) bool {
	if len(w.lateStarts) == 0 {
		if c.pendingStartWorkers >= c.pendingWorkersLimit() {
			for _, other := range c.workersByID {
				c.dropSettledStarts(l.sentAt, other)
			}
		}
		if c.pendingStartWorkers >= c.pendingWorkersLimit() {
			c.fleetSilentAt = l.sentAt
			return false
		}
		c.pendingStartWorkers++
	}
	w.lateStarts = append(slices.DeleteFunc(w.lateStarts, func(l *lateStart) bool { return l.settled }), l)
	return true
}

// dropSettledStarts drops the starts of a worker that aren't pending any more.
func (c *Core) dropSettledStarts(now time.Time, w *worker) {
	if len(w.lateStarts) == 0 {
		return
	}
	w.lateStarts = slices.DeleteFunc(w.lateStarts, func(l *lateStart) bool { return !c.pending(now, l) })
	if len(w.lateStarts) == 0 {
		c.pendingStartWorkers--
	}
}

// pending reports whether the run of a start may be active, now or later, beside another run of its task.
//
// A poll that was sent once the start can't be carried out any more shows whether it was. On a worker out of reach, its run
// has ended when the longest lease that it can have got is over.
func (c *Core) pending(now time.Time, l *lateStart) bool {
	w := c.workers[l.ID]
	switch {
	case l.settled:
	case l.carriedOut:
		if w == nil || w.runs[l.runKey] == nil {
			c.settleStart(l)
		}
	case w != nil && w.contact == ContactGood && !w.answeredSent.Before(l.sentAt.Add(maxOrderDelay)), now.Sub(l.sentAt) >= c.lateOrderWait():
		c.settleStart(l)
	}
	return !l.settled
}

// settleStart records that the run of a start has ended, or can't begin any more.
func (c *Core) settleStart(l *lateStart) {
	l.settled = true
	t := c.findTask(l.task)
	if t == nil || t.late != l {
		return
	}
	t.late = nil
	if w := c.workers[l.ID]; w != nil {
		for _, other := range w.lateStarts {
			if other.task == l.task && !other.settled {
				t.late = other
			}
		}
	}
}

// pendingStart returns the pending start of an earlier run of a task, or nil.
func (c *Core) pendingStart(now time.Time, t *task) *lateStart {
	if t.late != nil && c.pending(now, t.late) {
		return t.late
	}
	return nil
}

// mayBePlacedOn reports whether a task may be placed on a worker although an earlier start of it may be pending. The worker of
// that one doesn't carry it out while it runs the task. A long-running task, which mustn't stand still, doesn't wait for it.
func (c *Core) mayBePlacedOn(now time.Time, t *task, w *worker) bool {
	l := c.pendingStart(now, t)
	return l == nil || l.ID == w.ID || t.step.spec.LongRunning
}

// noteListed records that a report of the worker lists a run.
func (w *worker) noteListed(key runKey) {
	for _, l := range w.lateStarts {
		if l.runKey == key {
			l.carriedOut = true
		}
	}
}

// shutOutStarts settles the starts for former incarnations of a worker that its report doesn't list, as the fencing token of
// the poll that it answers shuts them out.
func (c *Core) shutOutStarts(w *worker) {
	for _, l := range w.lateStarts {
		if l.StartedAt != w.StartedAt && !l.carriedOut {
			c.settleStart(l)
		}
	}
}

// hasUnlistedStart reports whether a start that was sent to a worker may still be carried out, or may have been without a report
// that lists its run.
func (c *Core) hasUnlistedStart(now time.Time, w *worker) bool {
	c.dropSettledStarts(now, w)
	return slices.ContainsFunc(w.lateStarts, func(l *lateStart) bool { return !l.carriedOut }) || w.hasStartInFlight()
}

// HasStartsInFlight reports whether a start has neither been answered nor given up.
func (c *Core) HasStartsInFlight() bool {
	return slices.ContainsFunc(c.workersByID, (*worker).hasStartInFlight)
}

// StopStarting ends the starting of tasks, as this holder is about to resign.
func (c *Core) StopStarting() { c.stopped = true }

// GiveUpStarts gives up the starts in flight, and marks the jobs of all starts without an answer to be stored for a successor.
func (c *Core) GiveUpStarts() {
	for _, w := range c.workersByID {
		for _, r := range w.runList {
			if r.sent && !r.answered && !r.reported {
				c.noteLateStart(r)
			}
		}
	}
	for _, l := range c.unstoredStarts {
		if !l.settled && !l.carriedOut {
			c.storeLateStart(l)
		}
	}
	c.unstoredStarts = nil
}

// HasUnstoredChanges reports whether progress of jobs is to be stored that no batch contains yet.
func (c *Core) HasUnstoredChanges() bool {
	return len(c.storeQueue.urgent)+len(c.storeQueue.normal) > 0
}

// hasStartInFlight reports whether a start that was sent to the worker has neither been answered nor given up.
func (w *worker) hasStartInFlight() bool {
	return slices.ContainsFunc(w.runList, func(r *run) bool { return r.sent && !r.answered && !r.reported })
}

// storedStart is a start without an answer as it is stored with its job.
type storedStart struct {
	Incarnation
	Run    int64     `json:"run"`
	SentAt time.Time `json:"sent"` // by the clock of the former holder
}

// encodeLateStarts returns the job's starts without an answer, by task id; nil: there are none.
func (j *job) encodeLateStarts() map[string]storedStart {
	var all map[string]storedStart
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.late == nil || t.late.carriedOut || t.done {
					continue
				}
				if all == nil {
					all = map[string]storedStart{}
				}
				all[t.id().String()] = storedStart{t.late.Incarnation, t.late.run, t.late.sentAt}
			}
		}
	}
	return all
}

// maxClockSkew bounds by how much the clocks of two hosts differ.
const maxClockSkew = 10 * time.Second

// restoreLateStart records a start that a former holder has given up. It counts as sent at now, as the clocks of hosts differ,
// unless it is certainly over: the record isn't updated when it is settled.
func (c *Core) restoreLateStart(now time.Time, id TaskID, s storedStart) {
	t := c.findTask(id)
	if t == nil || t.done || now.Sub(s.SentAt) > c.lateOrderWait()+maxClockSkew {
		return
	}
	t.late = &lateStart{runKey: runKey{id, s.Run}, Incarnation: s.Incarnation, sentAt: now}
	if w := c.workers[s.ID]; w != nil {
		c.addLateStart(w, t.late)
	}
}

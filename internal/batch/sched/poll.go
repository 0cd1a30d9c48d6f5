package sched

import (
	"slices"
	"time"
)

// fullProgress is the progress of a finished task, or of a long-running task that has completed its startup, in
// percent.
const fullProgress = 100

// minClockRate is the lowest rate of a worker's clock relative to this host's clock.
const minClockRate = 0.98

// PollRequest is the next poll to send to a worker.
type PollRequest struct {
	Incarnation
	Addr         string        // network address
	Fence        int64         // fencing token
	AckedSeq     int64         // the worker may forget its ends up to this number
	LeaseUntil   time.Duration // end of the granted lease, on the worker's clock; 0: no lease
	Wait         time.Duration // time for which the worker may delay its answer while no run ends
	ContactSlack time.Duration // time beyond Wait by which the answer has to begin; after it, the worker is out of contact
	AnswerSlack  time.Duration // time beyond Wait after which an answer that has begun is given up
}

// clockReading is a lower bound of the time on a worker's clock.
type clockReading struct {
	value      time.Duration // time on the worker's clock
	receivedAt time.Time     // time at which the report that set it was handled
}

// update returns the reading after a report with the clock value that answers a poll sent at the time sent.
//
// A report that is handled late shows the clock as it was when the worker answered. Leases granted by that value would
// be short by the delay, so the former reading counts where it gives a later time. A value that is further back than
// the poll can have taken comes from a clock that started anew.
func (k clockReading) update(sent, now time.Time, value time.Duration) clockReading {
	if k.receivedAt.IsZero() {
		return clockReading{value, now}
	}
	expected := k.value + time.Duration(float64(now.Sub(k.receivedAt))*minClockRate)
	if expected-value > now.Sub(sent) {
		return clockReading{value, now}
	}
	return clockReading{max(value, expected), now}
}

// now returns the time on the worker's clock at t, assuming that it runs at the rate of this host's clock.
func (k clockReading) now(t time.Time) time.Duration {
	return k.value + t.Sub(k.receivedAt)
}

// clockRounding covers that workers show their clock in whole milliseconds.
const clockRounding = 2 * time.Millisecond

// floor returns the least time that the worker's clock shows at t, unless the worker has restarted.
func (k clockReading) floor(t time.Time) time.Duration {
	return k.value + time.Duration(float64(t.Sub(k.receivedAt))*minClockRate) - clockRounding
}

// Values of PollRequest.Wait. A worker answers a waiting poll at once when a run ends.
const (
	// pollIdle is the default. It leaves enough of the lease that the previous poll renewed: a holder that is lost just
	// before its next poll is replaced before the lease expires.
	pollIdle = 1400 * time.Millisecond
	// pollColocated applies to a worker with best-effort tasks beside a long-running one, which may be latency-critical.
	// A measurement of tail latency covers half a second, and throttling has to react within a few measurements.
	pollColocated = 700 * time.Millisecond
	// pollOverTarget applies to such a worker while a latency-critical task is over its latency target.
	pollOverTarget = 300 * time.Millisecond
	// pollUnresolved applies to a worker with a run in state RunUnknown or RunStopped, which the next report may
	// resolve.
	pollUnresolved = 50 * time.Millisecond
)

const (
	// contactSlack is well above the time that a worker's answer takes. firstContactSlack is well above the time of the
	// first answer to this holder, as all workers answer at once after a takeover.
	contactSlack      = 700 * time.Millisecond
	firstContactSlack = 2 * time.Second
	// answerSlack is how late an answer may be read. The worker counts the ends that it lists as delivered, and the
	// holder may be late because it is short of processor time. After pollIdle and answerSlack, enough of the lease is
	// left to regain contact by one poll and to renew the lease by the next.
	answerSlack = 2600 * time.Millisecond
)

// NextPoll returns the next poll to send to a worker. It returns false if the worker is not to be polled any more.
func (c *Core) NextPoll(now time.Time, id string) (PollRequest, bool) {
	w := c.workers[id]
	if w == nil {
		return PollRequest{}, false
	}
	req := PollRequest{Incarnation: w.Incarnation, Addr: w.Addr, Fence: c.Fence(id), ContactSlack: contactSlack, AnswerSlack: answerSlack}
	if !w.polled {
		w.polled = true
		req.ContactSlack = firstContactSlack
	}
	if w.contact != ContactGood {
		// The worker may have restarted under the same id and numbers its ends from 1 again. Acknowledging by the
		// numbers of the former incarnation would make it forget ends that no holder has received.
		w.pollWait, w.polledSeq, w.verifying = 0, 0, false
		return req, true
	}
	req.Wait = max(0, w.pollInterval()-w.answerDelay)
	for _, r := range w.runList {
		if r.state == RunUnknown || r.state == RunStopped {
			req.Wait = pollUnresolved
		}
	}
	if w.handledSeq > w.ackedSeq {
		req.Wait = 0
	}
	if w.ackedSeq > w.deliveredSeq {
		may, verify := c.mayAck(now, w)
		switch {
		case may && !w.pollOvertaken:
			req.AckedSeq = w.ackedSeq
		default:
			req.Wait = 0
			w.verifying = verify
		}
	}
	w.polledSeq = req.AckedSeq
	if c.mayAct(now) {
		req.LeaseUntil = c.grantLease(now, w)
	}
	if (req.AckedSeq > 0 || req.LeaseUntil > 0) && w.unansweredPollAt.IsZero() && !w.pollOvertaken {
		w.unansweredPollAt = now
	}
	w.pollOvertaken = false
	w.pollWait = req.Wait
	return req, true
}

// pollInterval returns the time that may pass between two polls of a worker if no run ends and none is unresolved.
func (w *worker) pollInterval() time.Duration {
	switch {
	case !w.colocated():
		return pollIdle
	case w.overTarget():
		return pollOverTarget
	}
	return pollColocated
}

// minStoreWait is the least time for which the next poll waits until ends are stored, however little is left of the lease.
const minStoreWait = 200 * time.Millisecond

// MaxStoreWait returns how long the next poll of a worker may wait until the ends that it has reported are stored. That is
// no longer than a poll waits for an end, so that measurements arrive as often, and leaves time to renew the lease. The
// acknowledgement for which the worker's incarnation has just been verified doesn't wait.
func (c *Core) MaxStoreWait(now time.Time, id string) time.Duration {
	w := c.workers[id]
	if w == nil || w.verified {
		return 0
	}
	leaseLeft := w.leaseUntil - w.clock.now(now)
	return max(min(w.pollInterval(), leaseLeft-minStartLease), minStoreWait)
}

// grantLease renews a worker's lease and returns its end on the worker's clock. It also updates the time by which the
// lease has certainly expired. A worker without good contact gets no lease, as its clock is not known.
//
// The lease counts from this holder's last confirmation, not from now. A holder keeps acting for a while without a
// confirmation, and its successor cannot tell for how long. If leases counted from the time of the grant, the successor
// could start tasks that still run on workers out of its reach. Counted from the confirmation, all leases of a former
// holder expire within one lease time of its release (see ReleaseFormerHolders).
func (c *Core) grantLease(now time.Time, w *worker) time.Duration {
	if w.contact != ContactGood {
		return 0
	}
	until := w.clock.now(now) + c.opts.WorkerLease - c.confirmationAge(now)
	w.leaseUntil = max(w.leaseUntil, until)
	w.leaseExpiry = latest(w.leaseExpiry, w.clock.receivedAt.Add(c.expiryBound(until-w.clock.value)))
	return until.Truncate(time.Millisecond)
}

// leaseCoversStart reports whether enough of the lease that the polls have granted to a worker is left for a start.
//
// A start carries that lease and does not renew it. A worker that has lost power still gets starts until a poll of it
// fails. If each start renewed the lease, the tasks of that worker could not be restarted elsewhere until the last of
// these leases had expired.
func (w *worker) leaseCoversStart(now time.Time) bool {
	return w.leaseUntil-w.clock.now(now) >= minStartLease
}

// minStartLease is the minimum remaining lease of a start when it is sent. A shorter one may expire before the next
// poll renews it.
const minStartLease = time.Second

// expirySlack is the time that a worker may take to notice that its lease has expired.
const expirySlack = 100 * time.Millisecond

// HandleReport handles a worker's report, the answer to a poll that was sent at the time sent. It returns the ends that
// no earlier report contained.
func (c *Core) HandleReport(sent, now time.Time, id string, rep Report) []FinishedRun {
	w := c.workers[id]
	if w == nil {
		return nil
	}
	if rep.StartedAt > w.StartedAt && w.StartedAt != 0 {
		c.handleRestart(now, w, rep.StartedAt, RestartReported)
	}
	if w.StartedAt == 0 && rep.StartedAt != 0 {
		c.forgetEntry(now, w) // it may be of any incarnation
		w.StartedAt = rep.StartedAt
		c.trackedVersion++
	}
	if rep.StartedAt != 0 && rep.StartedAt < w.StartedAt {
		return nil
	}
	c.extendExpiry(now, w)
	c.boundFormerLease(now, w)
	c.noteOrderDue(w)
	fenced := c.handleFenced(sent, now, w)
	if fenced {
		w.contact = ContactGood
		w.answeredSent = latest(w.answeredSent, sent)
	}
	w.clock = w.clock.update(sent, now, rep.Clock)
	w.answeredClock = rep.Clock
	if sent.Equal(w.unansweredPollAt) {
		w.unansweredPollAt = time.Time{}
	}
	w.deliveredSeq = max(w.deliveredSeq, w.polledSeq)
	w.verified, w.verifying = w.verifying, false
	w.answerDelay = 0
	if delay := now.Sub(sent) - w.pollWait; delay > contactSlack {
		w.answerDelay = delay
	}
	if c.restoring {
		return nil
	}
	newEnds := c.handleEnds(now, w, rep.Finished)
	c.setExpired(w, false)
	w.restarted = false
	listed := c.recordRunning(sent, now, w, rep)
	w.addUnhandledEnds(listed, rep.Finished)
	for key := range listed {
		w.noteListed(key)
	}
	if len(rep.Finished) < maxReportedEnds {
		if fenced {
			c.shutOutStarts(w)
		}
		w.inventoryComplete = true
		c.dropMissing(sent, w, listed)
	}
	c.processMeasurements(now, w)
	return newEnds
}

// handleEnds handles the ends in a worker's report and returns those that no earlier report contained.
func (c *Core) handleEnds(now time.Time, w *worker, ends []FinishedRun) []FinishedRun {
	var newEnds []FinishedRun
	if n := len(ends); w.expired && n > 0 {
		w.releasedSeq = ends[n-1].Seq
	}
	w.heldEnds = false
	for _, f := range ends {
		if f.Seq <= w.handledSeq {
			continue
		}
		restart := c.restartOf(w, f)
		if restart != nil && restart.state == RunSent {
			// Whether the end counts depends on the outcome of the start.
			w.heldEnds = true
			if f.End == EndDone {
				restart.task.heldSuccess = w
			}
			break
		}
		newEnds = append(newEnds, f)
		if restart == nil || f.End == EndFailed {
			c.handleRunEnd(now, w, f)
			w.holdAck(f.Seq, c.jobOfTask(f.Task))
		}
		w.handledSeq = f.Seq
	}
	return newEnds
}

// restartOf returns the run by which the task of an end, or its gang, was started again after a lease expiry had released
// the run that ended, or nil. Counting the success of the former run would then count two runs of the task. A start that
// is planned but not sent doesn't count: if the task is done, CheckSend rejects it.
func (c *Core) restartOf(w *worker, f FinishedRun) *run {
	if f.Seq > w.releasedSeq {
		return nil
	}
	id, err := ParseTaskID(f.Task)
	if err != nil {
		return nil
	}
	t := c.findTask(id)
	if t == nil {
		return nil
	}
	tasks := []*task{t}
	if t.step.spec.Gang {
		tasks = t.step.tasks
	}
	for _, t := range tasks {
		if r := t.run; r != nil && r.run > f.Run && (r.sent || r.state != RunSent) {
			return r
		}
	}
	return nil
}

// maxReportedEnds is the maximum number of ends in a report. If a report is full, a run that it does not list may have
// ended with its end due in a later report. Releasing such a run would run the task twice.
const maxReportedEnds = 500

// recordRunning records the active runs of a report and returns their keys.
//
// A reported run counts as the only run of its task once the former holder has certainly stopped acting. Before that,
// each of two holders may see the run end and start the task on a worker that the other does not reach.
func (c *Core) recordRunning(sent, now time.Time, w *worker, rep Report) map[runKey]bool {
	formerHolderStopped := !sent.Before(c.formerStopped())
	listed := make(map[runKey]bool, len(rep.Running))
	for _, status := range rep.Running {
		id, err := ParseTaskID(status.Task)
		if err != nil {
			continue
		}
		key := runKey{id, status.Run}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.adoptRun(now, w, key)
			r.progress = status.Progress
		}
		r.applyStatus(now, status)
		r.reported = r.reported || r.incarnation == w.StartedAt
		if r.task != nil {
			r.task.step.job.started = true
		}
		if formerHolderStopped && r.task != nil && r.task.run == r {
			r.task.soleRunSeen = true
		}
		if r.task != nil && status.Checkpoint != "" && r.task.run == r {
			c.saveCheckpoint(r.task, status.Checkpoint)
		}
	}
	return listed
}

// addUnhandledEnds adds to listed the runs whose ends are in a report behind one that can't be handled yet. They aren't
// active, but whether their tasks are done is only known once their ends are handled.
func (w *worker) addUnhandledEnds(listed map[runKey]bool, ends []FinishedRun) {
	for _, f := range ends {
		if f.Seq <= w.handledSeq {
			continue
		}
		if id, err := ParseTaskID(f.Task); err == nil {
			listed[runKey{id, f.Run}] = true
		}
	}
}

// dropMissing releases the runs that a report would list if they were active or had ended, and does not list.
func (c *Core) dropMissing(sent time.Time, w *worker, listed map[runKey]bool) {
	for _, r := range w.cloneRuns() {
		// A poll that was sent before the run was confirmed may have overtaken its start.
		if listed[r.runKey] || !r.confirmedAt.Before(sent) {
			continue
		}
		if r.state == RunUnknown && r.orderedAt.Before(sent) {
			r.absent = true
		}
		if r.state == RunLive || r.state == RunStopped {
			// The run ended and its end was reported and forgotten, or it never began and never will.
			c.releaseLost(r, ReleasedMissing)
		}
	}
}

// applyStatus updates a run from its status in a report.
func (r *run) applyStatus(now time.Time, status RunStatus) {
	if r.state == RunSent || r.state == RunUnknown {
		r.state = RunLive
		r.confirmedAt = now
	}
	r.updateIdle(now, status)
	r.cpuUsage, r.tailLatency = r.worker.plausibleUse(status.CPUUsage), max(status.TailLatency, 0)
	r.progress = status.Progress
	r.ready = status.Progress >= fullProgress
	if r.bestEffort() {
		r.cpuLimit.recordUse(now, r.cpuShare())
	}
}

// plausibleUse returns a reported CPU use in millicores, bounded to what the worker has.
func (w *worker) plausibleUse(use float64) float64 {
	if !(use > 0) { // also if it isn't a number
		return 0
	}
	return min(use, float64(w.Size.CPU))
}

// adoptRun adds a reported run that this holder has no record of: a former holder started it, or this holder gave up
// its start as lost. It becomes the run of its task if the task is unfinished and has no other run. Otherwise it is
// stopped.
func (c *Core) adoptRun(now time.Time, w *worker, key runKey) *run {
	r := &run{runKey: key, worker: w, adopted: true, state: RunLive, incarnation: w.StartedAt, startedAt: now, orderedAt: now, confirmedAt: now, cpuLimit: adoptedCPULimit(now), wantedCPULimit: fullCPULimit}
	t := c.findTask(key.task)
	if t == nil || t.done || t.run != nil || t.step.job.state.Final() {
		r.state = RunStopping
		c.attachRun(r)
		return r
	}
	r.task = t
	t.run = r
	t.step.pending--
	c.attachRun(r)
	return r
}

// saveCheckpoint records the newest checkpoint of a task.
func (c *Core) saveCheckpoint(t *task, checkpoint string) {
	j := t.step.job
	if j.checkpoints == nil {
		j.checkpoints = map[TaskID]string{}
	}
	j.checkpoints[t.id()] = checkpoint
}

// handleRunEnd handles the end of a run in a worker's report.
func (c *Core) handleRunEnd(now time.Time, w *worker, f FinishedRun) {
	id, err := ParseTaskID(f.Task)
	if err != nil {
		return
	}
	key := runKey{id, f.Run}
	r := w.runs[key]
	t := c.findTask(id)
	if r != nil {
		c.detachRun(r)
	}
	w.noteListed(key)
	if t == nil || t.done {
		if t != nil && t.run == r {
			t.run = nil
		}
		return
	}
	j := t.step.job
	j.started = true
	if f.Checkpoint != "" && (t.run == nil || t.run == r) {
		c.saveCheckpoint(t, f.Checkpoint)
		c.storeQueue.addNormal(j)
	}
	if f.End == EndDone && !t.step.spec.LongRunning {
		c.completeTask(now, w, t, r)
		return
	}
	if r != nil && t.run == r {
		t.run = nil
		t.step.pending++
		t.step.noteInterrupted(r, now)
		c.enqueueStep(t.step)
	}
	if f.End == EndFailed {
		c.recordFailure(now, w, t, f.Run)
	}
}

// completeTask marks a task as done after a successful run, which need not be its current one.
func (c *Core) completeTask(now time.Time, w *worker, t *task, r *run) {
	w.breaker.RecordSuccess()
	if r != nil && t.run == r {
		t.run = nil
		took := now.Sub(r.startedAt)
		c.estimator.observe(t.step.job.Queue, t.step.spec.Estimate, took)
		if !r.adopted {
			t.step.durations = append(t.step.durations, took)
		}
	} else if t.run != nil {
		c.stopRun(t.run)
	} else {
		t.step.pending--
	}
	t.done = true
	t.step.unfinished--
	j := t.step.job
	delete(j.checkpoints, t.id())
	c.storeQueue.addNormal(j)
	if t.step.spec.Gang {
		c.completeGang(t.step)
	}
	if t.step.unfinished == 0 {
		c.markReadySteps(now, j, j.occurrences[t.step.occurrence])
		c.completeIfDone(now, j)
	}
}

// completeGang marks all tasks of a gang as done, since the success of one task counts for the whole gang.
func (c *Core) completeGang(s *stepInstance) {
	for _, t := range s.tasks {
		if t.done {
			continue
		}
		t.done = true
		s.unfinished--
		if t.run == nil {
			s.pending--
		}
	}
}

// recordFailure counts a failed run against its worker and its task. The job fails once one of its tasks has used up
// its attempts. Runs of a gang count together, and long-running tasks have no limit.
func (c *Core) recordFailure(now time.Time, w *worker, t *task, run int64) {
	w.breaker.RecordFailure(now, t.step.job.ID)
	t.avoidWorker = w.ID
	j := t.step.job
	c.storeQueue.addNormal(j)
	if t.step.spec.LongRunning {
		return
	}
	if j.failedRuns == nil {
		j.failedRuns = map[TaskID]failedRuns{}
	}
	key := t.id()
	if t.step.spec.Gang {
		key.Index = 0
	}
	if slices.Contains(j.failedRuns[key], run) {
		return
	}
	j.failedRuns[key] = append(j.failedRuns[key], run)
	if len(j.failedRuns[key]) >= max(j.MaxAttempts, 1) && !j.state.Final() {
		c.finishJob(now, j, StateFailed)
	}
}

// stopRun marks a run to be stopped.
func (c *Core) stopRun(r *run) {
	if r.state != RunStopped {
		r.state = RunStopping
		c.noteOrderDue(r.worker)
	}
}

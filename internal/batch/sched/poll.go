package sched

import (
	"slices"
	"time"
)

// fullProgress is the part of a lasting task that is at work, in percent.
const fullProgress = 100

// minClockRate is how slow a worker's clock may be against ours.
const minClockRate = 0.98

// PollRequest is what to ask of a worker next.
type PollRequest struct {
	Incarnation
	Addr        string
	AckedSeq    int64         // ends up to here may be forgotten
	LeaseUntil  time.Duration // lease to grant, on the worker's clock; 0: none
	Wait        time.Duration // for an end
	AnswerSlack time.Duration // what the answer may take beyond Wait
}

// clockReading is a reading of a worker's clockReading.
type clockReading struct {
	value      time.Duration
	receivedAt time.Time // when the answer arrived
}

// now returns what the clock shows at t if it runs as ours does.
func (k clockReading) now(t time.Time) time.Duration {
	return k.value + t.Sub(k.receivedAt)
}

// Times between two polls a worker; a poll that waits is answered at once by an end.
const (
	// pollIdle leaves enough of the lease that the former poll renewed: a holder that is lost just
	// before the next one is replaced within it.
	pollIdle = 1400 * time.Millisecond
	// pollColocated is for a worker where tasks that fill run beside one that serves: its tail
	// is a figure of half a second, and pacing has to follow within a few of them.
	pollColocated = 700 * time.Millisecond
	// pollOverTarget is for one of these whose serving task is over its target.
	pollOverTarget = 300 * time.Millisecond
	// pollUnresolved is for a worker with runs whose fate has to be settled.
	pollUnresolved = 50 * time.Millisecond
)

const (
	// answerSlack is well above the time that a worker's answer takes, and pollFirst that of the first one to this holder:
	// after a takeover all workers answer at once, and given up too early they would all be asked anew.
	answerSlack      = 700 * time.Millisecond
	firstAnswerSlack = 2 * time.Second
)

// NextPoll returns what to ask of the worker, and false when it isn't to be polled any more.
func (c *Core) NextPoll(now time.Time, id string) (PollRequest, bool) {
	w := c.workers[id]
	if w == nil {
		return PollRequest{}, false
	}
	l := PollRequest{Incarnation: w.Incarnation, Addr: w.Addr, AnswerSlack: answerSlack}
	if !w.polled {
		w.polled = true
		l.AnswerSlack = firstAnswerSlack
	}
	if w.contact != ContactGood {
		// It may have started anew meanwhile under its id, with ends that count from 1: by the
		// numbers of its former life it would forget some that nobody has heard of.
		return l, true
	}
	l.AckedSeq = w.ackedSeq
	l.Wait = pollIdle
	if w.colocated() {
		l.Wait = pollColocated
		if w.overTarget() {
			l.Wait = pollOverTarget
		}
	}
	for _, r := range w.runList {
		if r.state == RunUnknown || r.state == RunStopped {
			l.Wait = pollUnresolved
		}
	}
	if w.handledSeq > w.ackedSeq {
		l.Wait = 0
	}
	if c.mayAct(now) {
		l.LeaseUntil = c.grantLease(now, w)
	}
	return l, true
}

// grantLease returns the moment on the worker's clock until which its lease holds from now on, and
// notes when it will have lapsed for sure. A worker whose clock isn't known gets none.
//
// The lease counts from this holder's last confirmation, not from now. A holder goes on for a while
// without one, and with leases from then its successor, which can't tell when that was, started
// tasks that still ran on workers out of its reach. So all that a former holder has granted ends
// within one lease of the moment in which its successor was chosen.
func (c *Core) grantLease(now time.Time, w *worker) time.Duration {
	if w.contact != ContactGood {
		return 0
	}
	until := w.clock.now(now) + c.opts.WorkerLease - c.confirmationAge(now)
	w.leaseUntil = max(w.leaseUntil, until)
	w.leaseExpiry = latest(w.leaseExpiry, w.clock.receivedAt.Add(c.expiryBound(until-w.clock.value)))
	return until.Truncate(time.Millisecond)
}

// leaseCoversStart reports whether enough is left of the lease that a worker has by its polls for a start to carry it.
//
// A worker that has lost power still gets starts until a poll of it fails. With a new lease in each, what ran
// there had to wait until the last of these had run out.
func (w *worker) leaseCoversStart(now time.Time) bool {
	return w.leaseUntil-w.clock.now(now) >= minStartLease
}

// minStartLease is the least that is left of a start's lease as it leaves: less may be over before the next
// poll renews it.
const minStartLease = time.Second

// expirySlack is for a worker's noticing that its lease has run out.
const expirySlack = 100 * time.Millisecond

// HandleReport takes a worker's answer to a poll that was sent at sent and returns the ends that are news.
func (c *Core) HandleReport(sent, now time.Time, id string, rep Report) []FinishedRun {
	w := c.workers[id]
	if w == nil {
		return nil
	}
	if rep.StartedAt > w.StartedAt && w.StartedAt != 0 {
		c.handleRestart(now, w, rep.StartedAt)
	}
	if w.StartedAt == 0 {
		w.StartedAt = rep.StartedAt
	}
	if rep.StartedAt != 0 && rep.StartedAt < w.StartedAt {
		return nil
	}
	c.extendExpiry(now, w)
	w.contact = ContactGood
	w.clock = clockReading{rep.Clock, now}
	var news []FinishedRun
	for _, f := range rep.Finished {
		if f.Seq <= w.handledSeq {
			continue
		}
		news = append(news, f)
		// What ended before a lapse was given up and placed anew; counting it now would
		// count two runs of one task.
		if !w.expired {
			c.handleRunEnd(now, w, f)
			w.holdAck(f.Seq, c.jobOfTask(f.Task))
		}
		w.handledSeq = f.Seq
	}
	w.expired, w.restarted = false, false
	shown := c.recordRunning(sent, now, w, rep)
	if len(rep.Finished) < maxReportedEnds {
		w.inventoryComplete = true
		c.dropMissing(sent, w, shown)
	}
	c.processMeasurements(now, w)
	return news
}

// maxReportedEnds is the most ends in a report. After a full one, a run that isn't shown may have
// ended with its end still to come; taking it for gone would run it twice.
const maxReportedEnds = 500

// recordRunning enters what a worker runs into the ledger and returns that.
//
// A run that is shown is its task's only one from when a former holder has ceased to act: before, each of two
// holders may see it end and start the task on a worker that the other doesn't reach.
func (c *Core) recordRunning(sent, now time.Time, w *worker, rep Report) map[runKey]bool {
	sole := !sent.Before(c.termStart.Add(c.opts.MaxUnconfirmed))
	shown := make(map[runKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		id, err := ParseTaskID(row.Task)
		if err != nil {
			continue
		}
		key := runKey{id, row.Run}
		shown[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.adopt(now, w, key)
		}
		r.applyStatus(now, row)
		r.reported = r.reported || r.incarnation == w.StartedAt
		if r.task != nil {
			r.task.step.job.started = true
		}
		if sole && r.task != nil && r.task.run == r {
			r.task.soleRunSeen = true
		}
		if r.task != nil && row.Checkpoint != "" && r.task.run == r {
			c.saveCheckpoint(r.task, row.Checkpoint)
		}
	}
	return shown
}

// dropMissing gives up the runs that a report doesn't show and would if they were there.
func (c *Core) dropMissing(sent time.Time, w *worker, shown map[runKey]bool) {
	for _, r := range w.cloneRuns() {
		// A poll that was sent before the start was answered may have overtaken it.
		if shown[r.runKey] || !r.confirmedAt.Before(sent) {
			continue
		}
		if r.state == RunUnknown && r.orderedAt.Before(sent) {
			r.absent = true
		}
		if r.state == RunLive || r.state == RunStopped {
			// It ended, and its end was told and forgotten, or it never came and never will.
			c.releaseRun(r)
		}
	}
}

func (r *run) applyStatus(now time.Time, row RunStatus) {
	if r.state == RunSent || r.state == RunUnknown {
		r.state = RunLive
		r.confirmedAt = now
	}
	r.cpuUsage, r.tailLatency = row.CPUUsage, row.TailLatency
	r.progress = row.Progress
	r.ready = row.Progress >= fullProgress
	if r.exceedsCPULimit(now) {
		r.cpuLimit = unknownCPULimit
	}
}

// adopt enters a run that a worker shows and the ledger doesn't: of a former holder, or of
// an order given up for lost. It is kept if its task has no other run, and stopped otherwise.
func (c *Core) adopt(now time.Time, w *worker, key runKey) *run {
	r := &run{runKey: key, worker: w, adopted: true, state: RunLive, incarnation: w.StartedAt, startedAt: now, orderedAt: now, confirmedAt: now, cpuLimit: fullCPULimit, wantedCPULimit: fullCPULimit}
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

func (c *Core) saveCheckpoint(t *task, save string) {
	j := t.step.job
	if j.checkpoints == nil {
		j.checkpoints = map[TaskID]string{}
	}
	j.checkpoints[t.id()] = save
}

// handleRunEnd takes the handleRunEnd of a run.
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
		c.enqueueStep(t.step)
	}
	if f.End == EndFailed {
		c.recordFailure(now, w, t, f.Run)
	}
}

// completeTask notes a task's success, through whichever run.
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

// completeGang notes that a gang is done: the end of one stands for all.
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

// stopRun has a run ended.
func (c *Core) stopRun(r *run) {
	if r.state != RunStopped {
		r.state = RunStopping
	}
}

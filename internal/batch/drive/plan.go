package drive

import (
	"context"
	"fmt"
	"strings"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

// planLoop plans after events, and at least every planInterval, and carries out the resulting orders until the
// tenure is over.
func (h *Holder) planLoop() {
	tick := wait.NewTicker(planInterval)
	defer tick.Stop()
	reporter := newStatusReporter(h.opt.Scope)
	defer reporter.clearGauges()
	var startsDue time.Time // until then, only stops and throttles are planned
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.planWake:
		case due := <-tick.C():
			reporter.recordTickDelay(time.Since(due))
		}
		if remaining := time.Until(startsDue); remaining > 0 {
			if remaining > maxStopDelay {
				h.executeOrders(h.planStops())
			}
			if !wait.For(h.ctx, min(remaining, planInterval)) {
				return
			}
			continue
		}
		pause := h.plan(reporter)
		startsDue = time.Now().Add(pause)
		if !wait.For(h.ctx, minPlanPause) {
			return
		}
		if pause > minPlanPause {
			time.AfterFunc(pause-minPlanPause, h.wakeIfEventPending)
		}
	}
}

// plan makes a plan, begins to carry out its orders and reports it. It returns the pause before the next one.
func (h *Holder) plan(reporter *statusReporter) time.Duration {
	h.mu.Lock()
	now := time.Now()
	h.updateConfirmation()
	if r, ok := h.opt.Workers.(LaneRouter); ok {
		h.core.SetLanes(r.Lanes())
	}
	lag := h.planLag.markPlanned(now)
	h.core.SetPlanLag(lag)
	if h.core.StoreLateStarts(now) {
		wait.Wake(h.commitWake)
	}
	orders := h.core.Plan(now)
	pause := planPause(time.Since(now), h.core.StartsLimited())
	staleCause := h.core.StaleCause(now)
	unplaced := h.core.TakeUnplacedSteps()
	events := h.core.TakeEvents()
	var stats sched.Stats
	var memory memoryGuard
	var startsRefusedAt time.Time
	reportDue := reporter.reportDue(now, lag)
	if reportDue {
		stats = h.core.Stats(now)
		h.checkMemory(now)
		memory, startsRefusedAt = h.admission.memory, h.admission.startsRefusedAt
	}
	h.mu.Unlock()
	h.executeOrders(orders)
	reporter.logBlockedStarts(h, staleCause)
	if reportDue {
		reporter.report(h, now, stats)
		reporter.reportMemory(h, memory)
		reporter.logRefusing(h, now, startsRefusedAt, stats)
	}
	h.logUnplaced(unplaced)
	h.logEvents(events)
	h.runLog.flush(time.Now(), false)
	return pause
}

// planStops returns the orders that stop or throttle runs; they don't wait for the pause after a plan.
func (h *Holder) planStops() []sched.Order {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateConfirmation()
	return h.core.PlanStops(time.Now())
}

// planPause returns the pause after a plan that took the given time. limited is whether the start limiter ended it.
func planPause(took time.Duration, limited bool) time.Duration {
	factor := time.Duration(planPauseFactor)
	if limited {
		factor = limitedPauseFactor
	}
	return min(max(minPlanPause, factor*took), maxPlanPause)
}

// wakeIfEventPending wakes planLoop if there are events that no plan covers.
func (h *Holder) wakeIfEventPending() {
	if h.planLag.oldestEvent.Load() != 0 {
		wait.Wake(h.planWake)
	}
}

// executeOrders carries out orders, each in a goroutine of its own.
func (h *Holder) executeOrders(orders []sched.Order) {
	for _, o := range orders {
		h.wg.Go(func() { h.executeOrder(o) })
	}
}

// logUnplaced logs the steps of which tasks find no worker.
func (h *Holder) logUnplaced(unplaced []sched.UnplacedStep) {
	for _, u := range unplaced {
		h.log.Info("waits", "job", u.Job, "step", u.Step, "image", u.Image, "tasks", u.Tasks, "since", u.Waited, "workers", u.Workers,
			"closed", u.Unavailable, "shut", u.OverTarget, "full", u.NoResources, "memory", u.NoMemory, "harm", u.Interference, "least", u.LeastViolations, "beside", u.FitsBeside)
	}
}

// logEvents logs the steps whose tasks have all been placed, the jobs that have ended, the workers that have restarted, are listed
// again or drain, the tasks that are moved off them and the runs that were given up.
func (h *Holder) logEvents(events sched.Events) {
	for _, p := range events.Placed {
		h.log.Info("placed", "job", p.Job, "queue", p.Queue, "round", p.Occurrence, "step", p.Step, "tasks", p.Tasks,
			"lasting", p.LongRunning, "waited", p.Waited, "lacked", p.Unplaced, "expect", p.ExpectedTime)
	}
	for _, e := range events.Ended {
		h.log.Info("finished", "job", e.Job, "queue", e.Queue, "state", e.State, "took", e.Took, "aim", e.RelativeDeadline)
	}
	for _, r := range events.Restarted {
		h.log.Info("restarted", "worker", r.Worker, "born", r.StartedAt, "by", r.Sign, "contact", r.Contact, "open", r.OpenStarts, "unanswered", r.UnansweredFor, "lasting", r.LongRunning)
	}
	for _, l := range events.Listed {
		h.log.Info("listed", "worker", l.Worker, "born", l.StartedAt, "waited", l.Waited)
	}
	for _, d := range events.Draining {
		h.log.Info("drains", "worker", d.Worker, "left", d.Remaining, "lasting", d.LongRunning)
	}
	for _, m := range events.Moved {
		h.log.Info("moves", "task", m.Task, "from", m.From, "to", m.To, "left", m.Left)
	}
	h.logReleased(events.Released)
}

// logReleased logs the runs that were given up, one line for those of a worker and cause in a row.
func (h *Holder) logReleased(released []sched.RunReleased) {
	for len(released) > 0 {
		first, n := released[0], 1
		for n < len(released) && released[n].Worker == first.Worker && released[n].Cause == first.Cause {
			n++
		}
		var runs []string
		for _, r := range released[:n] {
			runs = append(runs, fmt.Sprintf("%s:%d", r.Task, r.Run))
		}
		h.log.Info("released", "worker", first.Worker, "cause", first.Cause, "draining", first.Draining, "runs", strings.Join(runs, ","))
		released = released[n:]
	}
}

// updateConfirmation tells the core when the store and the peers last confirmed this holder, and since when they can't
// confirm a former one. The caller holds h.mu.
func (h *Holder) updateConfirmation() {
	h.core.ConfirmHolder(h.opt.Tenure.ConfirmedAt())
	if at := h.opt.Tenure.FormerReleasedAt(); !at.IsZero() {
		h.core.ReleaseFormerHolders(at)
	}
	if h.opt.PeersConfirmedAt != nil {
		h.core.ConfirmHolderByPeers(h.opt.PeersConfirmedAt())
	}
}

// confirmAfterFormerLeases has the store confirm this holder as soon as the leases of former holders have ended, for which
// the tasks taken over wait, in place of at the next renewal.
func (h *Holder) confirmAfterFormerLeases() {
	for {
		h.mu.Lock()
		h.updateConfirmation()
		end, known := h.core.FormerLeasesEnd()
		h.mu.Unlock()
		if known {
			if wait.For(h.ctx, time.Until(end)) {
				h.opt.Tenure.Confirm()
				h.requestPlan()
			}
			return
		}
		if !wait.For(h.ctx, planInterval) {
			return
		}
	}
}

// executeOrder sends an order and passes the outcome to the core, also when the tenure is over. A worker that
// has been fenced by a newer holder ends the tenure instead; an order that was overtaken by a newer fencing token of
// this holder has not been carried out. Each order is logged, starts that were carried out by the run
// log, except a throttle to a CPU limit above 0 that was carried out, unless the run was idle.
func (h *Holder) executeOrder(o sched.Order) {
	start := time.Now()
	outcome, cause := h.sendOrder(o)
	switch {
	case o.Verb == sched.VerbStart && outcome == sched.OutcomeDone && !o.Starved:
		h.runLog.addStart(time.Now(), o, time.Since(start))
	case o.Verb == sched.VerbStart || outcome != sched.OutcomeDone || o.CPULimit == 0 || o.Idle:
		h.log.Info("order", "verb", o.Verb, "task", o.Task, "run", o.Run, "worker", o.Incarnation.ID, "pace", o.CPULimit, "idle", o.Idle, "starved", o.Starved, "outcome", outcome, "cause", cause,
			"took", time.Since(start))
	}
	h.countOrder(string(o.Verb), string(outcome))
	if outcome == sched.OutcomeFenced {
		h.endFencedTenure(o.Incarnation.ID)
		return
	}
	h.mu.Lock()
	h.core.HandleOutcome(time.Now(), o, outcome)
	limited := h.core.StartsLimited()
	trackedChanged := h.core.TrackedVersion() != h.trackedVersion
	h.interruptPoll(o.Incarnation.ID)
	if o.Verb == sched.VerbStart && !h.core.HasUnackedEnds(o.Incarnation.ID) {
		h.wakePoll(o.Incarnation.ID) // it may wait for this answer; see awaitAnsweredStarts
	}
	h.mu.Unlock()
	if trackedChanged {
		wait.Wake(h.commitWake)
	}
	if outcome != sched.OutcomeDone || limited {
		h.requestPlan()
	}
}

// sendOrder sends an order to its worker, unless the tenure is over or the core rejects it; the cause says why it
// was not sent.
func (h *Holder) sendOrder(o sched.Order) (sched.Outcome, sched.UnsentCause) {
	if h.ctx.Err() != nil {
		return sched.OutcomeUnsent, sched.CauseNotHolder
	}
	h.mu.Lock()
	h.updateConfirmation()
	cause := h.core.CheckSend(time.Now(), o)
	fence := h.core.Fence(o.Incarnation.ID)
	h.mu.Unlock()
	if cause != sched.CauseNone {
		return sched.OutcomeUnsent, cause
	}
	outcome := h.opt.Workers.SendOrder(h.ctx, o, fence)
	if outcome == sched.OutcomeFenced && h.isOvertaken(o.Incarnation.ID, fence) {
		return sched.OutcomeUnsent, sched.CauseOvertaken
	}
	return outcome, sched.CauseNone
}

// isOvertaken reports whether this holder itself uses a newer fencing token for a worker than that of a call.
func (h *Holder) isOvertaken(worker string, fence int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fence < h.core.Fence(worker)
}

// handleOvertakenPoll records that a worker has refused a poll as it has a newer fencing token of this holder.
func (h *Holder) handleOvertakenPoll(worker string) {
	h.mu.Lock()
	h.core.PollOvertaken(worker)
	h.mu.Unlock()
	h.countOrder("poll", string(sched.CauseOvertaken))
}

// endFencedTenure ends the tenure because a worker has been fenced by a newer holder.
func (h *Holder) endFencedTenure(worker string) {
	h.log.Info("fenced by a newer holder", "worker", worker)
	h.opt.Tenure.End()
}

// pollWorkers starts a polling goroutine for each worker that has none.
func (h *Holder) pollWorkers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startPolling(h.core.Workers())
}

// startPolling starts a polling goroutine for each of the workers that has none. The caller holds h.mu.
func (h *Holder) startPolling(workers []sched.Member) {
	for _, m := range workers {
		if !h.polling[m.ID] {
			h.polling[m.ID] = true
			h.wg.Go(func() { h.pollWorker(m.ID) })
		}
	}
}

// workerPoll is a poll of a worker.
type workerPoll struct {
	req    sched.PollRequest
	sent   time.Time
	cancel context.CancelFunc // gives the poll up

	// Guarded by Holder.mu.
	interrupted bool // it was given up, so that a newer one can be made
	done        bool // the result has been handled
	inContact   bool // the worker is in contact, as last logged
}

// pollWorker polls a worker until the core needs no more polls of it or the tenure is over.
func (h *Holder) pollWorker(id string) {
	p, answered := &workerPoll{inContact: true}, false
	for h.ctx.Err() == nil {
		release := func() {}
		if !answered {
			var err error
			if release, err = h.pollLimiter.acquire(h.ctx); err != nil {
				return
			}
		}
		h.mu.Lock()
		h.updateConfirmation()
		sent := time.Now()
		req, ok := h.core.NextPoll(sent, id)
		if !ok {
			delete(h.polling, id)
			delete(h.polls, id)
			h.mu.Unlock()
			release()
			return
		}
		ctx, cancel := context.WithCancel(h.ctx)
		p = &workerPoll{req: req, sent: sent, cancel: cancel, inContact: p.inContact}
		h.polls[id] = p
		h.mu.Unlock()
		overdue := time.AfterFunc(req.Wait+req.ContactSlack, func() { h.handleOverduePoll(p) })
		report, outcome := h.opt.Workers.Poll(ctx, req, req.Fence)
		cancel()
		overdue.Stop()
		release()
		if h.ctx.Err() != nil {
			return
		}
		if outcome == sched.OutcomeFenced && h.isOvertaken(id, req.Fence) {
			h.handleOvertakenPoll(id)
			continue
		}
		answered = outcome == sched.OutcomeDone
		h.handlePollResult(p, report, outcome)
		if pause := h.planLag.pollPause(); pause > 0 {
			wait.For(h.ctx, pause)
		}
	}
}

// interruptPoll gives up the poll of a worker whose restart was noticed since, and the wait for the next one. Until a poll
// with the new token is answered, late calls for the former incarnation may be carried out, which may have the new one
// forget ends that nobody has read. The caller holds h.mu.
func (h *Holder) interruptPoll(id string) {
	p := h.polls[id]
	if p == nil || !h.core.IsForFormer(id, p.req.Fence) {
		return
	}
	p.interrupted = true
	p.cancel()
	h.wakePoll(id)
}

// handleOverduePoll records that a worker is out of contact because the answer to a poll is overdue. The poll goes on: a
// worker may count the ends that its answer lists as delivered.
func (h *Holder) handleOverduePoll(p *workerPoll) {
	h.mu.Lock()
	if p.done || h.ctx.Err() != nil {
		h.mu.Unlock()
		return
	}
	h.core.PollFailed(time.Now(), p.req.ID, p.req.StartedAt)
	changed := p.setContact(false)
	h.mu.Unlock()
	if changed {
		h.logContact(p, sched.OutcomeUnknown)
	}
	h.requestPlan()
}

// setContact records whether the worker is in contact, and reports whether that is a change.
func (p *workerPoll) setContact(inContact bool) bool {
	changed := p.inContact != inContact
	p.inContact = inContact
	return changed
}

// logContact logs that contact with a worker was lost or regained.
func (h *Holder) logContact(p *workerPoll, outcome sched.Outcome) {
	h.log.Info("contact", "worker", p.req.ID, "outcome", outcome, "took", time.Since(p.sent))
}

// handlePollResult passes the result of a poll to the core and waits until the worker may be polled again.
func (h *Holder) handlePollResult(p *workerPoll, report sched.Report, outcome sched.Outcome) {
	now, id := time.Now(), p.req.ID
	var newEnds []sched.FinishedRun
	h.mu.Lock()
	p.done = true
	changed := p.setContact(outcome == sched.OutcomeDone)
	switch outcome {
	case sched.OutcomeDone:
		newEnds = h.core.HandleReport(p.sent, now, id, report)
	case sched.OutcomeOtherIncarnation:
		h.core.IncarnationEnded(now, id, p.req.StartedAt)
	default:
		h.core.PollFailed(now, id, p.req.StartedAt)
	}
	// A worker that is back after its lease has expired gets no task until it is stored as tracked.
	trackedChanged := h.core.TrackedVersion() != h.trackedVersion
	interrupted := p.interrupted
	h.mu.Unlock()
	if trackedChanged {
		wait.Wake(h.commitWake)
	}
	if changed {
		h.logContact(p, outcome)
	}
	if outcome == sched.OutcomeFenced {
		h.endFencedTenure(id)
		return
	}
	h.logEnds(id, newEnds)
	h.requestPlan()
	switch {
	case interrupted:
		return
	case outcome != sched.OutcomeDone:
		wait.For(h.ctx, pollRetryDelay)
		return
	}
	h.awaitLoaded(loadingPollPause)
	h.awaitStoredEnds(id)
	h.awaitAnsweredStarts(id, now)
}

// awaitStoredEnds waits, up to the core's MaxStoreWait, until the ended runs that a worker has reported are stored. The
// next poll acknowledges them; if it were sent before, the worker would answer at once with the same ended runs.
func (h *Holder) awaitStoredEnds(id string) {
	h.mu.Lock()
	unstored, limit := h.core.HasUnackedEnds(id), h.core.MaxStoreWait(time.Now(), id)
	acked := make(chan struct{})
	if unstored {
		h.ackWaiters[id] = acked
	}
	h.mu.Unlock()
	if !unstored {
		return
	}
	wait.Wake(h.commitWake)
	h.awaitWake(id, acked, limit)
}

// awaitAnsweredStarts waits, up to the core's AckDelay since the last answer, until the next poll of a worker can acknowledge its
// ends.
func (h *Holder) awaitAnsweredStarts(id string, answered time.Time) {
	for {
		answer := make(chan struct{})
		h.mu.Lock()
		delay := h.core.AckDelay(answered, time.Now(), id)
		if delay > 0 {
			h.ackWaiters[id] = answer
		}
		h.mu.Unlock()
		if delay == 0 || !h.awaitWake(id, answer, delay) {
			return
		}
	}
}

// awaitWake waits until the wait of a worker's next poll is woken, and reports whether it was within the given time.
func (h *Holder) awaitWake(id string, woken <-chan struct{}, limit time.Duration) bool {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-h.ctx.Done():
	case <-woken:
		return true
	case <-t.C:
		h.mu.Lock()
		delete(h.ackWaiters, id)
		h.mu.Unlock()
	}
	return false
}

// wakePoll wakes the wait of a worker's next poll. The caller holds h.mu.
func (h *Holder) wakePoll(id string) {
	if woken := h.ackWaiters[id]; woken != nil {
		close(woken)
		delete(h.ackWaiters, id)
	}
}

// logEnds logs and counts ended runs that were not reported before, those that succeeded by the run log. A worker repeats an
// ended run in each report until it is acknowledged.
func (h *Holder) logEnds(worker string, newEnds []sched.FinishedRun) {
	for _, f := range newEnds {
		h.countEnd("end", string(f.End))
		if f.End == sched.EndDone {
			h.runLog.addEnd(time.Now(), worker, f)
			continue
		}
		h.log.Info("end", "task", f.Task, "run", f.Run, "how", f.End, "worker", worker, "seq", f.Seq)
	}
}

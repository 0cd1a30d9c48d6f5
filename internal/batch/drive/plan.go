package drive

import (
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
)

// planLoop orders what follows from the events until the tenure is over.
func (h *Holder) planLoop() {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	shown := newStatusReporter(h.opt.Scope)
	defer shown.clearGauges()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.planWake:
		case due := <-tick.C:
			shown.recordTickDelay(time.Since(due))
		}
		h.mu.Lock()
		now := time.Now()
		h.updateConfirmation()
		behind := h.planLag.markPlanned(now)
		orders := h.core.Plan(now)
		took := time.Since(now)
		outdated := h.core.StaleCause()
		waits := h.core.TakeUnplacedSteps()
		placed, endings := h.core.TakeEvents()
		var stand sched.Stats
		show := shown.reportDue(now, behind)
		if show {
			stand = h.core.Stats(now)
		}
		h.mu.Unlock()
		shown.logBlockedStarts(h, outdated)
		if show {
			shown.report(h, now, stand)
		}
		for _, w := range waits {
			h.log.Info("waits", "job", w.Job, "step", w.Step, "image", w.Image, "tasks", w.Tasks, "since", w.Waited, "workers", w.Workers,
				"closed", w.Unavailable, "shut", w.OverTarget, "full", w.NoResources, "memory", w.NoMemory, "harm", w.Interference, "least", w.LeastViolations)
		}
		h.logEvents(placed, endings)
		for _, o := range orders {
			h.wg.Go(func() { h.executeOrder(o) })
		}
		if !wait.For(h.ctx, max(minPlanPause, planPauseFactor*took)) {
			return
		}
	}
}

// logEvents logs what became of steps and jobs.
func (h *Holder) logEvents(placed []sched.StepPlaced, endings []sched.JobEnded) {
	for _, p := range placed {
		h.log.Info("placed", "job", p.Job, "queue", p.Queue, "round", p.Occurrence, "step", p.Step, "tasks", p.Tasks,
			"lasting", p.LongRunning, "waited", p.Waited, "lacked", p.Unplaced, "expect", p.ExpectedTime)
	}
	for _, e := range endings {
		h.log.Info("finished", "job", e.Job, "queue", e.Queue, "state", e.State, "took", e.Took, "aim", e.RelativeDeadline)
	}
}

// updateConfirmation tells the core how fresh the tenure is; h.mu is held.
func (h *Holder) updateConfirmation() {
	h.core.ConfirmHolder(h.opt.Tenure.ConfirmedAt())
	if h.opt.PeersConfirmedAt != nil {
		h.core.ConfirmHolderByPeers(h.opt.PeersConfirmedAt())
	}
}

// executeOrder gives an executeOrder and has the core know what came of it, also when the tenure is over.
func (h *Holder) executeOrder(o sched.Order) {
	began := time.Now()
	out, cause := h.sendOrder(o)
	if o.Verb == sched.VerbStart || out != sched.OutcomeDone || o.CPULimit == 0 {
		h.log.Info("order", "verb", o.Verb, "task", o.Task, "run", o.Run, "worker", o.Incarnation.ID, "pace", o.CPULimit, "starved", o.Starved, "outcome", out, "cause", cause,
			"took", time.Since(began))
	}
	h.countOrder(string(o.Verb), string(out))
	if out == sched.OutcomeFenced {
		h.endFencedTenure(o.Incarnation.ID)
		return
	}
	h.mu.Lock()
	h.core.HandleOutcome(time.Now(), o, out)
	limited := h.core.StartsLimited()
	h.mu.Unlock()
	if out != sched.OutcomeDone || limited {
		h.requestPlan()
	}
}

// sendOrder sends an order to its worker, unless it has to stay; the cause says why.
func (h *Holder) sendOrder(o sched.Order) (sched.Outcome, sched.UnsentCause) {
	if h.ctx.Err() != nil {
		return sched.OutcomeUnsent, sched.CauseNotHolder
	}
	h.mu.Lock()
	h.updateConfirmation()
	cause := h.core.CheckSend(time.Now(), o)
	h.mu.Unlock()
	if cause != sched.CauseNone {
		return sched.OutcomeUnsent, cause
	}
	return h.opt.Workers.SendOrder(h.ctx, o, h.opt.Tenure.Term()), sched.CauseNone
}

// endFencedTenure ends the tenure: a worker knows a newer holder.
func (h *Holder) endFencedTenure(worker string) {
	h.log.Info("fenced by a newer holder", "worker", worker)
	h.opt.Tenure.End()
}

// startPolling has a goroutine for each worker.
func (h *Holder) startPolling() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.core.Workers() {
		if !h.polling[m.ID] {
			h.polling[m.ID] = true
			h.wg.Go(func() { h.pollWorker(m.ID) })
		}
	}
}

func (h *Holder) pollWorker(id string) {
	good, heard := true, false
	for h.ctx.Err() == nil {
		leave := func() {}
		if !heard {
			var err error
			if leave, err = h.pollLimiter.acquire(h.ctx); err != nil {
				return
			}
		}
		h.mu.Lock()
		h.updateConfirmation()
		sent := time.Now()
		l, ok := h.core.NextPoll(sent, id)
		if !ok {
			delete(h.polling, id)
		}
		h.mu.Unlock()
		if !ok {
			leave()
			return
		}
		rep, out := h.opt.Workers.Poll(h.ctx, l, h.opt.Tenure.Term())
		leave()
		if h.ctx.Err() != nil {
			return
		}
		heard = out == sched.OutcomeDone
		if good != (out == sched.OutcomeDone) {
			good = !good
			h.log.Info("contact", "worker", id, "outcome", out, "took", time.Since(sent))
		}
		h.handlePollResult(sent, l, rep, out)
		if rest := h.planLag.pollPause(); rest > 0 {
			wait.For(h.ctx, rest)
		}
	}
}

func (h *Holder) handlePollResult(sent time.Time, l sched.PollRequest, rep sched.Report, out sched.Outcome) {
	now := time.Now()
	var news []sched.FinishedRun
	h.mu.Lock()
	switch out {
	case sched.OutcomeDone:
		news = h.core.HandleReport(sent, now, l.ID, rep)
	case sched.OutcomeOtherIncarnation:
		h.core.IncarnationEnded(now, l.ID, l.StartedAt)
	default:
		h.core.PollFailed(now, l.ID, l.StartedAt)
	}
	h.mu.Unlock()
	if out == sched.OutcomeFenced {
		h.endFencedTenure(l.ID)
		return
	}
	h.logEnds(l.ID, news)
	h.requestPlan()
	if out != sched.OutcomeDone {
		wait.For(h.ctx, pollRetryDelay)
		return
	}
	h.awaitStoredEnds(l.ID)
}

// awaitStoredEnds waits until a worker's ends are stored, for a while: the next poll tells the
// worker to forget them and would be answered at once with the same ends before.
func (h *Holder) awaitStoredEnds(id string) {
	t := time.NewTimer(maxStoreWait)
	defer t.Stop()
	for {
		h.mu.Lock()
		unstored := h.core.HasUnackedEnds(id)
		stored := h.commitDone
		h.mu.Unlock()
		if !unstored {
			return
		}
		wait.Kick(h.commitWake)
		select {
		case <-h.ctx.Done():
			return
		case <-stored:
		case <-t.C:
			return
		}
	}
}

// logEnds tells of ends that are news. Until an end is acknowledged each poll repeats it.
func (h *Holder) logEnds(worker string, news []sched.FinishedRun) {
	for _, f := range news {
		h.countEnd("end", string(f.End))
		h.log.Info("end", "task", f.Task, "run", f.Run, "how", f.End, "worker", worker, "seq", f.Seq)
	}
}

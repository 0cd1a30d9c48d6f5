package sched

import (
	"slices"
	"time"
)

// whole is the part of a lasting task that is at work, in percent.
const whole = 100

// slowest is how slow a worker's clock may be against ours.
const slowest = 0.98

// Poll is what to ask of a worker next.
type Poll struct {
	Life
	Addr  string
	Acked int64         // ends up to here may be forgotten
	Until time.Duration // lease to grant, on the worker's clock; 0: none
	Wait  time.Duration // for an end
	Slack time.Duration // what the answer may take beyond Wait
}

// clock is a reading of a worker's clock.
type clock struct {
	value time.Duration
	at    time.Time // when the answer arrived
}

// now returns what the clock shows at t if it runs as ours does.
func (k clock) now(t time.Time) time.Duration {
	return k.value + t.Sub(k.at)
}

// Times between two polls a worker; a poll that waits is answered at once by an end.
const (
	// pollIdle leaves enough of the lease that the former poll renewed: a holder that is lost just
	// before the next one is replaced within it.
	pollIdle = 1400 * time.Millisecond
	// pollShared is for a worker where tasks that fill run beside one that serves: its tail
	// is a figure of half a second, and pacing has to follow within a few of them.
	pollShared = 700 * time.Millisecond
	// pollOverTarget is for one of these whose serving task is over its target.
	pollOverTarget = 300 * time.Millisecond
	// pollUnsure is for a worker with runs whose fate has to be settled.
	pollUnsure = 50 * time.Millisecond
)

const (
	// pollSlack is well above the time that a worker's answer takes, and pollFirst that of the first one to this holder:
	// after a takeover all workers answer at once, and given up too early they would all be asked anew.
	pollSlack = 700 * time.Millisecond
	pollFirst = 2 * time.Second
)

// Poll returns what to ask of the worker, and false when it isn't to be polled any more.
func (c *Core) Poll(now time.Time, id string) (Poll, bool) {
	w := c.workers[id]
	if w == nil {
		return Poll{}, false
	}
	l := Poll{Life: w.Life, Addr: w.Addr, Slack: pollSlack}
	if !w.polled {
		w.polled = true
		l.Slack = pollFirst
	}
	if w.contact != ContactGood {
		// It may have started anew meanwhile under its id, with ends that count from 1: by the
		// numbers of its former life it would forget some that nobody has heard of.
		return l, true
	}
	l.Acked = w.acked
	l.Wait = pollIdle
	if w.shared() {
		l.Wait = pollShared
		if w.overTarget() {
			l.Wait = pollOverTarget
		}
	}
	for _, r := range w.list {
		if r.state == RunUnsure || r.state == RunStopped {
			l.Wait = pollUnsure
		}
	}
	if w.heard > w.acked {
		l.Wait = 0
	}
	if c.acts(now) {
		l.Until = c.grant(now, w)
	}
	return l, true
}

// grant returns the moment on the worker's clock until which its lease holds from now on, and
// notes when it will have lapsed for sure. A worker whose clock isn't known gets none.
//
// The lease counts from this holder's last confirmation, not from now. A holder goes on for a while
// without one, and with leases from then its successor, which can't tell when that was, started
// tasks that still ran on workers out of its reach. So all that a former holder has granted ends
// within one lease of the moment in which its successor was chosen.
func (c *Core) grant(now time.Time, w *worker) time.Duration {
	if w.contact != ContactGood {
		return 0
	}
	until := w.clock.now(now) + c.opt.Lease - c.age(now)
	w.until = max(w.until, until)
	w.lapse = later(w.lapse, w.clock.at.Add(c.lapses(until-w.clock.value)))
	return until.Truncate(time.Millisecond)
}

// lends reports whether enough is left of the lease that a worker has by its polls for a start to carry it.
//
// A worker that has lost power still gets starts until a poll of it fails. With a new lease in each, what ran
// there had to wait until the last of these had run out.
func (w *worker) lends(now time.Time) bool {
	return w.until-w.clock.now(now) >= leastLent
}

// leastLent is the least that is left of a start's lease as it leaves: less may be over before the next
// poll renews it.
const leastLent = time.Second

// lapseSlack is for a worker's noticing that its lease has run out.
const lapseSlack = 100 * time.Millisecond

// Hear takes a worker's answer to a poll that was sent at sent and returns the ends that are news.
func (c *Core) Hear(sent, now time.Time, id string, rep Report) []Finished {
	w := c.workers[id]
	if w == nil {
		return nil
	}
	if rep.Born > w.Born && w.Born != 0 {
		c.restart(now, w, rep.Born)
	}
	if w.Born == 0 {
		w.Born = rep.Born
	}
	if rep.Born != 0 && rep.Born < w.Born {
		return nil
	}
	c.extendLapse(now, w)
	w.contact = ContactGood
	w.clock = clock{rep.Clock, now}
	var news []Finished
	for _, f := range rep.Finished {
		if f.Seq <= w.heard {
			continue
		}
		news = append(news, f)
		// What ended before a lapse was given up and placed anew; counting it now would
		// count two runs of one task.
		if !w.void {
			c.end(now, w, f)
			w.awaitStore(f.Seq, c.jobOf(f.Task))
		}
		w.heard = f.Seq
	}
	w.void, w.fresh = false, false
	shown := c.inventory(sent, now, w, rep)
	if len(rep.Finished) < maxEnds {
		w.reported = true
		c.missing(sent, w, shown)
	}
	c.watch(now, w)
	return news
}

// maxEnds is the most ends in a report. After a full one, a run that isn't shown may have
// ended with its end still to come; taking it for gone would run it twice.
const maxEnds = 500

// inventory enters what a worker runs into the ledger and returns that.
//
// A run that is shown is its task's only one from when a former holder has ceased to act: before, each of two
// holders may see it end and start the task on a worker that the other doesn't reach.
func (c *Core) inventory(sent, now time.Time, w *worker, rep Report) map[runKey]bool {
	sole := !sent.Before(c.began.Add(c.opt.Sure))
	shown := make(map[runKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		id, err := ParseTask(row.Task)
		if err != nil {
			continue
		}
		key := runKey{id, row.Run}
		shown[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.adopt(now, w, key)
		}
		r.see(now, row)
		r.shown = r.shown || r.born == w.Born
		if r.task != nil {
			r.task.stage.job.begun = true
		}
		if sole && r.task != nil && r.task.run == r {
			r.task.seen = true
		}
		if r.task != nil && row.Save != "" && r.task.run == r {
			c.keepSave(r.task, row.Save)
		}
	}
	return shown
}

// missing gives up the runs that a report doesn't show and would if they were there.
func (c *Core) missing(sent time.Time, w *worker, shown map[runKey]bool) {
	for _, r := range w.all() {
		// A poll that was sent before the start was answered may have overtaken it.
		if shown[r.runKey] || !r.sure.Before(sent) {
			continue
		}
		if r.state == RunUnsure && r.sent.Before(sent) {
			r.absent = true
		}
		if r.state == RunLive || r.state == RunStopped {
			// It ended, and its end was told and forgotten, or it never came and never will.
			c.free(r)
		}
	}
}

func (r *run) see(now time.Time, row Running) {
	if r.state == RunSent || r.state == RunUnsure {
		r.state = RunLive
		r.sure = now
	}
	r.usage, r.tail = row.Usage, row.Tail
	r.part = row.Part
	r.ready = row.Part >= whole
	if r.outpaced(now) {
		r.pace = unknownPace
	}
}

// adopt enters a run that a worker shows and the ledger doesn't: of a former holder, or of
// an order given up for lost. It is kept if its task has no other run, and stopped otherwise.
func (c *Core) adopt(now time.Time, w *worker, key runKey) *run {
	r := &run{runKey: key, worker: w, adopted: true, state: RunLive, born: w.Born, began: now, sent: now, sure: now, pace: fullPace, want: fullPace}
	t := c.task(key.task)
	if t == nil || t.done || t.run != nil || t.stage.job.state.Final() {
		r.state = RunStopping
		c.attach(r)
		return r
	}
	r.task = t
	t.run = r
	t.stage.waiting--
	c.attach(r)
	return r
}

func (c *Core) keepSave(t *task, save string) {
	j := t.stage.job
	if j.saves == nil {
		j.saves = map[TaskID]string{}
	}
	j.saves[t.id()] = save
}

// end takes the end of a run.
func (c *Core) end(now time.Time, w *worker, f Finished) {
	id, err := ParseTask(f.Task)
	if err != nil {
		return
	}
	key := runKey{id, f.Run}
	r := w.runs[key]
	t := c.task(id)
	if r != nil {
		c.detach(r)
	}
	if t == nil || t.done {
		if t != nil && t.run == r {
			t.run = nil
		}
		return
	}
	j := t.stage.job
	j.begun = true
	if f.Save != "" && (t.run == nil || t.run == r) {
		c.keepSave(t, f.Save)
		c.changes.add(j)
	}
	if f.How == EndDone && !t.stage.spec.Lasting {
		c.taskDone(now, w, t, r)
		return
	}
	if r != nil && t.run == r {
		t.run = nil
		t.stage.waiting++
		c.list(t.stage)
	}
	if f.How == EndFailed {
		c.taskFailed(now, w, t, f.Run)
	}
}

// taskDone notes a task's success, through whichever run.
func (c *Core) taskDone(now time.Time, w *worker, t *task, r *run) {
	w.breaker.RecordSuccess()
	if r != nil && t.run == r {
		t.run = nil
		took := now.Sub(r.began)
		c.speeds.note(t.stage.job.Queue, t.stage.spec.Estimate, took)
		if !r.adopted {
			t.stage.took = append(t.stage.took, took)
		}
	} else if t.run != nil {
		c.stop(t.run)
	} else {
		t.stage.waiting--
	}
	t.done = true
	t.stage.left--
	j := t.stage.job
	delete(j.saves, t.id())
	c.changes.add(j)
	if t.stage.spec.Gang {
		c.gangDone(t.stage)
	}
	if t.stage.left == 0 {
		c.openStages(now, j, j.rounds[t.stage.round])
		c.complete(now, j)
	}
}

// gangDone notes that a gang is done: the end of one stands for all.
func (c *Core) gangDone(s *stage) {
	for _, t := range s.tasks {
		if t.done {
			continue
		}
		t.done = true
		s.left--
		if t.run == nil {
			s.waiting--
		}
	}
}

func (c *Core) taskFailed(now time.Time, w *worker, t *task, run int64) {
	w.breaker.RecordFailure(now, t.stage.job.ID)
	t.avoid = w.ID
	j := t.stage.job
	c.changes.add(j)
	if t.stage.spec.Lasting {
		return
	}
	if j.tries == nil {
		j.tries = map[TaskID]tries{}
	}
	key := t.id()
	if t.stage.spec.Gang {
		key.Index = 0
	}
	if slices.Contains(j.tries[key], run) {
		return
	}
	j.tries[key] = append(j.tries[key], run)
	if len(j.tries[key]) >= max(j.Tries, 1) && !j.state.Final() {
		c.finish(now, j, StateFailed)
	}
}

// stop has a run ended.
func (c *Core) stop(r *run) {
	if r.state != RunStopped {
		r.state = RunStopping
	}
}

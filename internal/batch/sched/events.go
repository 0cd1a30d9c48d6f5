package sched

import "time"

// StepPlaced is the event that all tasks of a step instance are placed for the first time.
type StepPlaced struct {
	Job          string        // id of the job
	Queue        string        // its queue
	Occurrence   int           // number of the occurrence, from 0
	Step         int           // index of the step
	Tasks        int           // number of its tasks
	LongRunning  bool          // Step.LongRunning
	Waited       time.Duration // since the step was ready
	Unplaced     time.Duration // since a task first found no worker; 0: none lacked one
	ExpectedTime time.Duration // expected duration of a task
}

// JobEnded is the event that a job has reached its final state.
type JobEnded struct {
	Job              string        // id of the job
	Queue            string        // its queue
	State            State         // its final state
	Took             time.Duration // since it was accepted
	RelativeDeadline time.Duration // time within which it is on time; 0: the job is recurring
}

// ReleaseCause is why a run whose end wasn't reported is known not to be active.
type ReleaseCause string

// The causes of a release.
const (
	ReleasedMissing ReleaseCause = "missing" // its worker lists it neither as active nor as ended
	ReleasedLease   ReleaseCause = "lease"   // the lease of its worker has expired
	ReleasedRestart ReleaseCause = "restart" // its worker has restarted
	ReleasedGone    ReleaseCause = "gone"    // another incarnation answers at its worker's address
)

// RunReleased is the event that the current run of an unfinished task was given up, so that the task waits for another.
type RunReleased struct {
	Task   TaskID       // of the run
	Run    int64        // number of the run
	Worker string       // id of its worker
	Cause  ReleaseCause // why it is known not to be active
	// Draining is set if the worker had announced that it leaves.
	Draining bool
}

// WorkerDraining is the event that a worker is first read as draining.
type WorkerDraining struct {
	Worker      string        // its id
	Remaining   time.Duration // minimum time that it stays available
	LongRunning int           // long-running tasks on it
}

// RestartSign is by what a restart of a worker was noticed.
type RestartSign string

// The signs of a restart.
const (
	RestartReported RestartSign = "report"    // the answer to a poll names the incarnation
	RestartListed   RestartSign = "directory" // the directory does
	RestartAnswered RestartSign = "start"     // the clock in the answer to a start is behind what it must show
)

// WorkerRestarted is the event that the restart of a worker was noticed. A restart that the answer to a start shows is noticed
// again by the report that follows.
type WorkerRestarted struct {
	Worker        string // its id
	StartedAt     int64  // of the new incarnation; of the former one if the answer to a start shows the restart
	Sign          RestartSign
	Contact       Contact       // with the former incarnation
	OpenStarts    int           // starts for former incarnations that no report has listed
	UnansweredFor time.Duration // since the oldest poll without an answer was sent that grants a lease or acknowledges ends; 0: there is none
	LongRunning   int           // long-running tasks on it
}

// WorkerListed is the event that the directory shows the entry of a worker's new incarnation, which had been noticed before and got
// no tasks until then.
type WorkerListed struct {
	Worker    string        // its id
	StartedAt int64         // of the incarnation
	Waited    time.Duration // since the incarnation was noticed
}

// RunMoved is the event that a long-running task is stopped on a draining worker to be started on another.
type RunMoved struct {
	Task     TaskID        // the task
	From, To string        // ids of the workers
	Left     time.Duration // until the worker may leave; negative: since then
}

// maxEvents bounds the events of each type that are kept until TakeEvents. Further ones are dropped.
const maxEvents = 10_000

// Events are what has happened since they were last taken, each type in the order of the events.
type Events struct {
	Placed    []StepPlaced
	Ended     []JobEnded
	Restarted []WorkerRestarted
	Listed    []WorkerListed
	Released  []RunReleased
	Draining  []WorkerDraining
	Moved     []RunMoved
}

// TakeEvents returns the events since its last call.
func (c *Core) TakeEvents() Events {
	e := Events{c.unreportedPlaced, c.unreportedEndings, c.unreportedRestarts, c.unreportedListings, c.unreportedReleases, c.unreportedDraining, c.unreportedMoves}
	c.unreportedPlaced, c.unreportedEndings, c.unreportedRestarts, c.unreportedReleases = nil, nil, nil, nil
	c.unreportedListings, c.unreportedDraining, c.unreportedMoves = nil, nil, nil
	return e
}

// recordRestarted records the event that a restart of a worker was noticed.
func (c *Core) recordRestarted(now time.Time, w *worker, startedAt int64, sign RestartSign) {
	if len(c.unreportedRestarts) >= maxEvents {
		return
	}
	e := WorkerRestarted{Worker: w.ID, StartedAt: startedAt, Sign: sign, Contact: w.contact}
	for _, r := range w.runList {
		if r.sent && !r.reported {
			e.OpenStarts++
		}
		if r.task != nil && r.task.step.spec.LongRunning {
			e.LongRunning++
		}
	}
	if !w.unansweredPollAt.IsZero() {
		e.UnansweredFor = now.Sub(w.unansweredPollAt)
	}
	c.unreportedRestarts = append(c.unreportedRestarts, e)
}

// recordListed records the event that the entry of a worker's new incarnation was read.
func (c *Core) recordListed(now time.Time, w *worker) {
	if w.entryMissingSince.IsZero() || now.Equal(w.entryMissingSince) || len(c.unreportedListings) >= maxEvents {
		return
	}
	c.unreportedListings = append(c.unreportedListings, WorkerListed{w.ID, w.StartedAt, now.Sub(w.entryMissingSince)})
}

// recordReleased records the event that a run was given up, if its task waits for another.
func (c *Core) recordReleased(r *run, cause ReleaseCause) {
	if r.task == nil || r.task.run != r || r.task.done || len(c.unreportedReleases) >= maxEvents {
		return
	}
	c.unreportedReleases = append(c.unreportedReleases, RunReleased{r.runKey.task, r.run, r.worker.ID, cause, r.worker.Draining})
}

// recordDraining records the event that a worker is first read as draining.
func (c *Core) recordDraining(w *worker) {
	if len(c.unreportedDraining) >= maxEvents {
		return
	}
	e := WorkerDraining{Worker: w.ID, Remaining: w.DrainRemaining}
	for _, r := range w.runList {
		if r.task != nil && r.task.step.spec.LongRunning {
			e.LongRunning++
		}
	}
	c.unreportedDraining = append(c.unreportedDraining, e)
}

// recordMoved records the event that a run is stopped so that its task moves.
func (c *Core) recordMoved(now time.Time, rel *relocation) {
	if len(c.unreportedMoves) >= maxEvents {
		return
	}
	from := rel.run.worker
	c.unreportedMoves = append(c.unreportedMoves, RunMoved{rel.run.runKey.task, from.ID, rel.dest.ID, from.drainUntil.Sub(now)})
}

// recordPlaced records the event that no task of a step waits any more, the first time only. Jobs that were taken over
// from a former holder are left out: it isn't known since when their steps have waited.
func (c *Core) recordPlaced(now time.Time, s *stepInstance) {
	if s.fullyPlaced || s.job.restored || len(c.unreportedPlaced) >= maxEvents {
		return
	}
	s.fullyPlaced = true
	p := StepPlaced{
		Job: s.job.ID, Queue: s.job.Queue, Occurrence: s.occurrence, Step: s.index, Tasks: len(s.tasks), LongRunning: s.spec.LongRunning,
		Waited: now.Sub(s.readyAt), ExpectedTime: c.estimator.estimate(s.job.Queue, s.spec.Estimate),
	}
	if !s.unplacedSince.IsZero() {
		p.Unplaced = now.Sub(s.unplacedSince)
	}
	c.unreportedPlaced = append(c.unreportedPlaced, p)
}

// recordEnded records the event that a job has ended.
func (c *Core) recordEnded(now time.Time, j *job) {
	if len(c.unreportedEndings) >= maxEvents {
		return
	}
	e := JobEnded{Job: j.ID, Queue: j.Queue, State: j.state, Took: now.Sub(j.AcceptedAt)}
	if j.OccurrenceCount == 0 && len(j.occurrences) > 0 {
		e.RelativeDeadline = j.occurrences[0].relativeDeadline
	}
	c.unreportedEndings = append(c.unreportedEndings, e)
}

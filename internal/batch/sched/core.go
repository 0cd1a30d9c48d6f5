package sched

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/interf"
)

// Options are the settings of a Core.
type Options struct {
	WorkerLease    time.Duration // lease of a worker, counted from the last confirmation; its runs end when it expires
	MaxWorkerLease time.Duration // longest lease that workers accept; raised to WorkerLease if shorter
	MaxStopTime    time.Duration // longest time that a worker takes to stop a run
	MaxUnconfirmed time.Duration // how long after a confirmation tasks are started and leases granted
	Term           int64         // this holder's term; the high part of every run number
	// AwaitRelease means that former holders may act until ReleaseFormerHolders is called. Otherwise, they have ceased
	// to when the term begins.
	AwaitRelease bool
}

// Core keeps the jobs, workers and runs during one term of a holder.
type Core struct {
	opts             Options
	config           Config    // in force
	termStart        time.Time // when this holder's term began
	formerConfirmed  time.Time // when a former holder can have been confirmed last; unbounded: it may still be
	confirmedByStore time.Time // when the store last confirmed this holder
	confirmedByPeers time.Time // when its peers last did
	// When the reads of the directory and of the operators' intent that are in use began; zero: not known.
	directoryReadAt, intentReadAt time.Time
	restoring                     bool // see BeginRestore

	jobs                map[string]*job                     // by id, without those in endedJobs
	endedJobs           map[string]endedJob                 // jobs of which only the final state is kept, by id
	settling            []*job                              // ended jobs whose final state is stored; see compactEnded
	waitQueue           waitQueue                           // steps with tasks to place
	storeQueue          storeQueue                          // jobs whose changed progress has to be stored
	recurring           []*job                              // jobs with occurrences still to be released
	planLag             time.Duration                       // see SetPlanLag
	stopped             bool                                // see StopStarting
	unstoredStarts      []*lateStart                        // to be stored if they stay pending
	fleetSilentAt       time.Time                           // when pendingWorkersLimit was last exceeded
	pendingStartWorkers int                                 // workers with lateStarts
	relocating          []*task                             // long-running tasks that are to be moved or are being moved
	workers             map[string]*worker                  // by id
	workersByID         []*worker                           // the same, sorted by id
	removedFenceCount   int64                               // highest fenceCount of a worker that was removed
	workerIndexes       map[string]*workerIndex             // by service
	staleWorkers        []*worker                           // workers whose entry in workerIndexes may be out of date
	orderWorkers        []*worker                           // workers that may have a run to be stopped or throttled
	feasibleBuf         feasibleWorkers                     // reused to save allocations
	candidateBuf        []reserveCandidate                  // likewise
	expectedEndBuf      []expectedEnd                       // likewise
	reserveScans        int                                 // workers for which the current plan has estimated when a task fits
	relocationSearches  int                                 // destinations that the current plan has searched for
	sampleCount         int                                 // how often workers were sampled
	trackedVersion      uint64                              // changes with the list of TrackedWorkers
	evacuatedZones      map[string]bool                     // failure domains that operators have taken out
	startLimiter        startLimiter                        // bounds the starts in flight
	startBacklog        startBacklog                        // tasks that wait although workers have room
	startDemand         startDemand                         // starts a second that are asked for
	laneVersion         uint64                              // of laneOf
	laneOf              func(worker string) string          // returns the name of a worker's lane; nil: not known
	planNumber          int                                 // number of the newest plan
	onTimeUnplaced      map[string]int                      // by service: newest plan with an on-time best-effort step unplaced
	starvedRuns         int                                 // runs that were started for starved jobs
	infeasibleByClass   map[placementClass]*infeasibleSizes // sizes that found no worker
	estimator           durationEstimator                   // expected durations of tasks
	interference        interf.Model                        // what was learned of interference and load
	lastMoveCheck       time.Time                           // when throttled tasks were last considered for a move
	unreportedUnplaced  []UnplacedStep                      // for the next call of TakeUnplacedSteps
	unreportedPlaced    []StepPlaced                        // for the next call of TakeEvents
	unreportedEndings   []JobEnded                          // for the next call of TakeEvents
	unreportedRestarts  []WorkerRestarted                   // for the next call of TakeEvents
	unreportedListings  []WorkerListed                      // for the next call of TakeEvents
	unreportedReleases  []RunReleased                       // for the next call of TakeEvents
	unreportedDraining  []WorkerDraining                    // for the next call of TakeEvents
	unreportedMoves     []RunMoved                          // for the next call of TakeEvents
}

// New returns a Core for a term that begins at now. It starts no tasks and grants no leases before its first confirmation.
func New(opt Options, now time.Time) *Core {
	opt.MaxWorkerLease = max(opt.MaxWorkerLease, opt.WorkerLease)
	formerConfirmed := now
	if opt.AwaitRelease {
		formerConfirmed = unbounded
	}
	return &Core{
		opts:              opt,
		termStart:         now,
		formerConfirmed:   formerConfirmed,
		jobs:              map[string]*job{},
		endedJobs:         map[string]endedJob{},
		workers:           map[string]*worker{},
		workerIndexes:     map[string]*workerIndex{},
		infeasibleByClass: map[placementClass]*infeasibleSizes{},
		evacuatedZones:    map[string]bool{},
		onTimeUnplaced:    map[string]int{},
	}
}

// job is a job with its progress.
type job struct {
	*Job
	state            State
	storedState      State                 // state in the store; callers see a final state only once it is stored
	occurrences      []*occurrence         // those released so far
	restored         bool                  // taken over from a former holder
	started          bool                  // a worker has started a task of it
	endedAt          time.Time             // when it reached its final state
	failedRuns       map[TaskID]failedRuns // by task
	checkpoints      map[TaskID]string     // newest checkpoint of each task that has one
	version          int                   // incremented with every change
	collectedVersion int                   // version in the newest record that was collected for the store
	activeRuns       int                   // runs assigned to workers
	idleSince        time.Time             // since when a task waits with no runs but starved ones; invalid while others exist
	inNormalQueue    bool                  // in storeQueue.normal
	inUrgentQueue    bool                  // in storeQueue.urgent
}

// failedRuns holds the run numbers of a task's failed runs. A counter isn't enough: an end that was stored but
// not acknowledged is reported again, also to the next holder, and the ends of different workers are
// reported in any order.
type failedRuns []int64

// occurrence is one execution of all steps of a job. A job that doesn't recur has one.
type occurrence struct {
	steps            []*stepInstance
	relativeDeadline time.Duration // time after its release within which it is on time
}

// stepInstance is a step of one occurrence, with its tasks.
type stepInstance struct {
	job               *job
	occurrence        int                  // number of the occurrence, from 0
	index             int                  // of the step in its job
	spec              *Step                // what the job asks for
	tasks             []*task              // by index
	pending           int                  // tasks without a run that aren't done
	unfinished        int                  // tasks that aren't done
	ready             bool                 // the steps that it depends on are done
	readyAt           time.Time            // when they were
	fullyPlaced       bool                 // the event that all of its tasks are placed was recorded
	inWaitQueue       bool                 // in Core.waitQueue
	queuedAt          time.Time            // when it entered the wait queue
	interruptedAt     time.Time            // since when a waiting task that had run doesn't run; zero: none had
	precedence        precedence           // its rank in the wait queue
	infeasible        *infeasibleSizes     // of its placement class; nil: not looked up yet
	starved           bool                 // its job counts as starved; see Core.updateStarved
	lacksWorker       bool                 // the last plan that tried it left tasks without a worker or withheld
	heldSince         time.Time            // since when the start limiter holds it back; valid if not before startBacklog.limitedSince
	releasedAt        time.Time            // when the job was accepted or its occurrence fell due
	unplacedSince     time.Time            // when a task of it first found no worker; zero: never
	reportedWait      time.Duration        // time since unplacedSince when that was last reported; 0: never reported
	latestOnTimeStart time.Time            // latest start with which the occurrence is on time
	latestUsefulStart time.Time            // latest start with which it ends late but useful
	durations         []time.Duration      // of the successful runs of its tasks, except adopted ones
	load              *interf.LoadForecast // of a latency-critical step: the load from its users
}

// task is a task of a step instance.
type task struct {
	step          *stepInstance
	index         int         // of the task in its step
	done          bool        // it has succeeded
	run           *run        // its current run; nil: none
	lastRunNumber int64       // number of its newest run of this term; 0: none
	soleRunSeen   bool        // its only run was seen alive in this term, so no run that a former holder started can be elsewhere
	avoidWorker   string      // id of the worker on which it failed or from which it was moved; empty: none
	stalledRuns   int         // runs that were moved as stalled
	relocation    *relocation // its planned restart on another worker; nil: none
	late          *lateStart  // start of an earlier run that may be pending; nil: none
	// heldSuccess is the worker that has reported a success while a newer start was in flight; nil: none.
	heldSuccess *worker
}

func (t *task) id() TaskID {
	return TaskID{t.step.job.ID, t.step.occurrence, t.step.index, t.index}
}

// BeginRestore begins the time in which the state that a former holder has stored is restored. Until EndRestore, polls renew
// the leases of inherited workers, and what workers report isn't handled: their runs and ends belong to jobs that aren't
// known yet.
func (c *Core) BeginRestore() { c.restoring = true }

// EndRestore ends it.
func (c *Core) EndRestore() { c.restoring = false }

// ConfirmHolder records that the store confirmed this process as the holder at a time.
func (c *Core) ConfirmHolder(at time.Time) {
	if at.After(c.confirmedByStore) {
		c.confirmedByStore = at
	}
}

// ConfirmHolderByPeers records that at a time most peers of this holder could not reach the store either and
// knew of no other holder.
func (c *Core) ConfirmHolderByPeers(at time.Time) {
	if at.After(c.confirmedByPeers) {
		c.confirmedByPeers = at
	}
}

// expiryBound returns the longest time from a reading of a worker's clock until that clock has advanced by d and
// the worker has stopped all its runs.
func (c *Core) expiryBound(d time.Duration) time.Duration {
	return time.Duration(float64(d)/minClockRate) + c.opts.MaxStopTime + expirySlack
}

// mayAct reports whether this holder may start tasks and renew leases. A holder that is cut off
// doesn't know of its successor. The successor waits until all that the former holder started or
// renewed must have ended. If the store is down for everyone, peers confirm this holder and work
// continues; a successor waits until they can't any more (see ReleaseFormerHolders).
func (c *Core) mayAct(now time.Time) bool {
	return c.confirmationAge(now) < c.opts.MaxUnconfirmed
}

// confirmationAge returns how long ago this process was last confirmed as the holder.
//
// It goes by the wall clock, too. Otherwise, a holder that resumes after its machine was suspended would take the store's last
// confirmation for fresh although a successor was elected meanwhile. By a lease that it then grants on a worker which the
// successor doesn't reach, a task would run there at the same time as its next run.
func (c *Core) confirmationAge(now time.Time) time.Duration {
	return min(wait.Elapsed(now, c.confirmedByStore), wait.Elapsed(now, c.confirmedByPeers))
}

// SetConfig sets the configuration, unless it is older than the one in force.
func (c *Core) SetConfig(conf Config) {
	if conf.Version >= c.config.Version {
		c.config = conf
	}
}

// Config returns the configuration in force.
func (c *Core) Config() *Config {
	return &c.config
}

// HasJob reports whether a job is known.
func (c *Core) HasJob(id string) bool {
	_, ended := c.endedJobs[id]
	return ended || c.jobs[id] != nil
}

// JobState returns the state of a job as callers may see it, and whether the job is known. A job that has ended is
// shown as running until its final state is stored.
func (c *Core) JobState(id string) (State, bool) {
	if e, ok := c.endedJobs[id]; ok {
		return e.state, true
	}
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	switch {
	case j.state.Final() && j.storedState == j.state:
		return j.state, true
	case j.started || j.state.Final():
		return StateRunning, true
	}
	return StateQueued, true
}

// PendingJobs returns how many jobs of a queue have not started. Recurring jobs don't count.
func (c *Core) PendingJobs(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.Queue == queue && j.OccurrenceCount == 0 && !j.started && !j.state.Final() {
			n++
		}
	}
	return n
}

// AddJob adds a job that is in the store. It does nothing if the job is known already.
func (c *Core) AddJob(now time.Time, spec *Job) {
	if c.HasJob(spec.ID) {
		return
	}
	c.registerJob(now, &job{Job: spec, state: StateQueued, storedState: StateQueued})
}

// registerJob enters a job and, unless it has ended, the occurrences that are due.
func (c *Core) registerJob(now time.Time, j *job) {
	c.jobs[j.ID] = j
	if j.state.Final() {
		return
	}
	if j.OccurrenceCount > 0 {
		c.recurring = append(c.recurring, j)
		c.addDueOccurrencesOf(now, j)
		return
	}
	c.addOccurrence(now, j)
}

// addDueOccurrencesOf adds the occurrences of a recurring job that have fallen due, and reports whether others are not due
// yet.
func (c *Core) addDueOccurrencesOf(now time.Time, j *job) bool {
	for len(j.occurrences) < j.OccurrenceCount {
		if now.Before(j.FirstDue.Add(time.Duration(len(j.occurrences)) * j.Interval)) {
			return true
		}
		c.addOccurrence(now, j)
	}
	return false
}

// addOccurrence adds the next occurrence of a job, with its deadlines.
func (c *Core) addOccurrence(now time.Time, j *job) *occurrence {
	number := len(j.occurrences)
	released := j.AcceptedAt
	if j.OccurrenceCount > 0 {
		released = j.FirstDue.Add(time.Duration(number) * j.Interval)
	}
	paths := c.criticalPaths(j.Job)
	deadline := j.DeadlineBase + time.Duration(j.StretchFactor*float64(slices.Max(paths)))
	o := &occurrence{relativeDeadline: deadline}
	for i := range j.Steps {
		s := &j.Steps[i]
		st := &stepInstance{job: j, occurrence: number, index: i, spec: s, pending: s.Count, unfinished: s.Count, releasedAt: released}
		st.latestOnTimeStart = released.Add(deadline - paths[i])
		st.latestUsefulStart = released.Add(usefulDeadlineFactor*deadline - paths[i])
		st.tasks = make([]*task, s.Count)
		for n := range st.tasks {
			st.tasks[n] = &task{step: st, index: n}
		}
		o.steps = append(o.steps, st)
	}
	j.occurrences = append(j.occurrences, o)
	c.markReadySteps(now, j, o)
	return o
}

// criticalPaths returns for each step the expected duration of the longest chain of dependent steps that
// begins with it.
func (c *Core) criticalPaths(j *Job) []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		paths[i] += c.estimator.estimate(j.Queue, j.Steps[i].Estimate)
		for _, d := range j.Steps[i].DependsOn {
			paths[d] = max(paths[d], paths[i])
		}
	}
	return paths
}

// markReadySteps marks the steps of an occurrence ready whose dependencies are done, and enqueues them.
func (c *Core) markReadySteps(now time.Time, j *job, o *occurrence) {
	for _, s := range o.steps {
		if s.ready || s.unfinished == 0 {
			continue
		}
		ready := true
		for _, d := range s.spec.DependsOn {
			if o.steps[d].unfinished > 0 {
				ready = false
			}
		}
		if ready {
			s.ready, s.readyAt = true, now
			c.enqueueStep(s)
		}
	}
}

// enqueueStep puts a step into the wait queue if it is ready and has tasks to place.
func (c *Core) enqueueStep(s *stepInstance) {
	if s.inWaitQueue || !s.ready || s.pending == 0 || s.job.state.Final() {
		return
	}
	s.inWaitQueue = true
	c.waitQueue.add(s)
	c.startBacklog.ready += s.pending
}

// CancelJob cancels a job and reports whether it is known. A job that has ended keeps its state.
func (c *Core) CancelJob(now time.Time, id string) bool {
	j := c.jobs[id]
	if j == nil {
		return c.HasJob(id)
	}
	if !j.state.Final() {
		c.finishJob(now, j, StateCancelled)
	}
	c.storeQueue.addUrgent(j) // also if it had ended: the caller waits until the state is stored
	return true
}

// finishJob gives a job its final state and stops its runs.
func (c *Core) finishJob(now time.Time, j *job, s State) {
	j.state = s
	j.endedAt = now
	c.storeQueue.addNormal(j)
	c.recordEnded(now, j)
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.run != nil {
					c.stopRun(t.run)
				}
			}
		}
	}
}

// ForgetJobs drops the jobs that ended longer than keep ago, have their final state stored and no run left. It
// returns their ids.
func (c *Core) ForgetJobs(now time.Time, keep time.Duration) []string {
	var forgotten []string
	for id, e := range c.endedJobs {
		if now.Sub(e.endedAt) > keep {
			delete(c.endedJobs, id)
			forgotten = append(forgotten, id)
		}
	}
	for id, j := range c.jobs {
		if j.state.Final() && j.storedState == j.state && now.Sub(j.endedAt) > keep && j.activeRuns == 0 {
			delete(c.jobs, id)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

// completeIfDone gives a job the state StateCompleted if all tasks of all its occurrences are done.
func (c *Core) completeIfDone(now time.Time, j *job) {
	if j.state.Final() || len(j.occurrences) < max(j.OccurrenceCount, 1) {
		return
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.unfinished > 0 {
				return
			}
		}
	}
	c.finishJob(now, j, StateCompleted)
}

// releaseRun removes a run from its worker. If it is the current run of an unfinished task, the task waits to be placed
// again.
func (c *Core) releaseRun(r *run) {
	c.detachRun(r)
	t := r.task
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	if t.done {
		return
	}
	t.step.pending++
	t.step.noteInterrupted(r, r.worker.clock.receivedAt)
	c.enqueueStep(t.step)
}

// noteInterrupted records since when a task whose run has ended doesn't run, if the run was ever confirmed.
func (s *stepInstance) noteInterrupted(r *run, since time.Time) {
	if r.confirmedAt.IsZero() {
		return
	}
	if s.interruptedAt.IsZero() || since.Before(s.interruptedAt) {
		s.interruptedAt = since
	}
}

// releaseLost releases a run that is certainly not active any more and records why.
func (c *Core) releaseLost(r *run, cause ReleaseCause) {
	c.recordReleased(r, cause)
	if r.task != nil && r.task.run == r && r.task.step.job.checkpoints[r.runKey.task] != "" {
		c.storeQueue.addNormal(r.task.step.job)
	}
	c.releaseRun(r)
}

// findTask returns the task of an id, or nil.
func (c *Core) findTask(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// jobOfTask returns the job of a task id in text form, or nil.
func (c *Core) jobOfTask(name string) *job {
	id, err := ParseTaskID(name)
	if err != nil {
		return nil
	}
	return c.jobs[id.Job]
}

// JobIDs returns the ids of all known jobs in no particular order.
func (c *Core) JobIDs() []string {
	ids := make([]string, 0, len(c.jobs)+len(c.endedJobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	for id := range c.endedJobs {
		ids = append(ids, id)
	}
	return ids
}

// HasUnackedEnds reports whether a worker has reported ends of runs that aren't handled or stored, and so not
// acknowledged, yet.
func (c *Core) HasUnackedEnds(id string) bool {
	w := c.workers[id]
	return w != nil && (w.handledSeq > w.ackedSeq || w.heldEnds)
}

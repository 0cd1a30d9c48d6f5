package sched

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

// Options sets a Core's bounds.
type Options struct {
	WorkerLease    time.Duration // granted to workers, from this holder's last confirmation on; every run there ends when it runs out
	MaxWorkerLease time.Duration // longest lease that workers grant; at least Lease
	MaxStopTime    time.Duration // longest time that a worker takes to stop a run
	MaxUnconfirmed time.Duration // after a confirmation, for which tasks are started and leases granted
	Term           int64         // of this holder, in the high part of every run number
}

// Core holds the jobs and workers of a holder's term.
type Core struct {
	opts             Options
	config           Config
	termStart        time.Time
	confirmedByStore time.Time // when the store last confirmed this holder
	confirmedByPeers time.Time // when its peers last did
	// When the readings of the directory and of operators' intent began that are held; zero: not told.
	directoryReadAt, intentReadAt time.Time

	jobs               map[string]*job
	waitQueue          waitQueue // steps with tasks that wait for a worker
	storeQueue         storeQueue
	recurring          []*job // with occurrences to come
	workers            map[string]*worker
	workersByID        []*worker               // the same, by id
	workerIndexes      map[string]*workerIndex // by service
	staleWorkers       []*worker               // whose place in rooms may be out of date
	feasibleBuf        feasibleWorkers         // kept for its memory
	candidateBuf       []reserveCandidate      // likewise
	expectedEndBuf     []expectedEnd           // likewise
	reserveScans       int                     // workers for which this plan has found out when they will have room
	sampleCount        int                     // how often workers were sampled
	evacuatedZones     map[string]bool         // failure domains that are taken out
	startLimiter       startLimiter
	planNumber         int            // so far
	onTimeUnplaced     map[string]int // the newest of these, by service, in which a filling step that can be on time found no place
	starvedRuns        int            // runs of starved jobs
	infeasibleByClass  map[placementClass]*infeasibleSizes
	estimator          durationEstimator
	interference       interf.Model
	lastMoveCheck      time.Time      // when slowed tasks were last looked at
	unreportedUnplaced []UnplacedStep // to be told
	unreportedPlaced   []StepPlaced   // to be told
	unreportedEndings  []JobEnded     // to be told
}

// New returns the core of a term that began at now. It acts from its first confirmation on.
func New(opt Options, now time.Time) *Core {
	opt.MaxWorkerLease = max(opt.MaxWorkerLease, opt.WorkerLease)
	return &Core{
		opts:              opt,
		termStart:         now,
		jobs:              map[string]*job{},
		workers:           map[string]*worker{},
		workerIndexes:     map[string]*workerIndex{},
		infeasibleByClass: map[placementClass]*infeasibleSizes{},
		evacuatedZones:    map[string]bool{},
		onTimeUnplaced:    map[string]int{},
	}
}

// job is a job with the progress of its occurrences.
type job struct {
	*Job
	state            State
	storedState      State // what the store holds too; callers are told no final state before
	occurrences      []*occurrence
	restored         bool // taken over from a former holder
	started          bool // a task of it has started
	endedAt          time.Time
	failedRuns       map[TaskID]failedRuns
	checkpoints      map[TaskID]string
	version          int       // how often it has changed
	collectedVersion int       // of these, known to the newest record that was taken to be stored
	activeRuns       int       // runs on workers
	idleSince        time.Time // since when a task of it waits with none running but as a starved job's; out of date while others run
	inNormalQueue    bool      // in Core.changes
	inUrgentQueue    bool      // there, with a caller waiting
}

// failedRuns are the runs of a task that failed. They are kept by number: an end that was stored
// and not acknowledged is told again, to the next holder too, and ends of different workers
// are told in any order.
type failedRuns []int64

type occurrence struct {
	steps            []*stepInstance
	relativeDeadline time.Duration // for the occurrence to be on time
}

// stepInstance is a step of an occurrence.
type stepInstance struct {
	job               *job
	occurrence        int
	index             int
	spec              *Step
	tasks             []*task
	pending           int // tasks without a run that aren't done
	unfinished        int // tasks that aren't done
	ready             bool
	readyAt           time.Time
	fullyPlaced       bool      // all of its tasks have had a place at a time
	inWaitQueue       bool      // in Core.waiting
	queuedAt          time.Time // when it was listed
	precedence        precedence
	infeasible        *infeasibleSizes // of its kind; nil: not looked up yet
	starved           bool             // see Core.starve
	releasedAt        time.Time
	unplacedSince     time.Time            // since when a task of it has found no place; zero: none has lacked one
	reportedWait      time.Duration        // how long it had waited when that was last told; 0: it wasn't
	latestOnTimeStart time.Time            // latest start for the job to be on time
	latestUsefulStart time.Time            // latest start for it to be worth something, late
	durations         []time.Duration      // that its tasks ran which have ended
	load              *interf.LoadForecast // of a serving step: its users' load
}

type task struct {
	step          *stepInstance
	index         int
	done          bool
	run           *run
	lastRunNumber int64 // runs ordered in this term
	soleRunSeen   bool  // its only run was seen alive in this term: no former holder's can be elsewhere
	avoidWorker   string
}

func (t *task) id() TaskID {
	return TaskID{t.step.job.ID, t.step.occurrence, t.step.index, t.index}
}

// ConfirmHolder tells that this process was still the holder at a time.
func (c *Core) ConfirmHolder(at time.Time) {
	if at.After(c.confirmedByStore) {
		c.confirmedByStore = at
	}
}

// ConfirmHolderByPeers tells that most of this holder's peers reach the store as little as it does, and know
// of no other holder.
func (c *Core) ConfirmHolderByPeers(at time.Time) {
	if at.After(c.confirmedByPeers) {
		c.confirmedByPeers = at
	}
}

// formerLeasesEnd returns when all that a former holder has granted to workers has ended: its last confirmation is
// older than this holder's term, and its leases count from there.
func (c *Core) formerLeasesEnd() time.Time {
	return c.termStart.Add(c.expiryBound(c.opts.WorkerLease))
}

// expiryBound returns how long after its reading a worker's clock may take to pass a span, and the worker to
// end all that runs then.
func (c *Core) expiryBound(d time.Duration) time.Duration {
	return time.Duration(float64(d)/minClockRate) + c.opts.MaxStopTime + expirySlack
}

// mayAct reports whether this holder may start tasks and renew leases. A holder that is cut off
// doesn't know of its successor, which waits until what the former one has started and
// renewed must have ended. In an outage of the store for all there is no successor, and work
// goes on.
func (c *Core) mayAct(now time.Time) bool {
	return c.confirmationAge(now) < c.opts.MaxUnconfirmed
}

// confirmationAge returns how long ago this process was last confirmed as the holder.
func (c *Core) confirmationAge(now time.Time) time.Duration {
	return min(elapsedSince(now, c.confirmedByStore), elapsedSince(now, c.confirmedByPeers))
}

// elapsedSince returns how long ago a moment was, by the steady clock or the time of day, whichever says more.
//
// The failure it guards against: a machine is suspended, and its steady clock stands still. The holder
// on it wakes and takes the store's last word for fresh, though a successor was chosen meanwhile; by a
// lease that it grants on a worker which the successor doesn't reach, a task would run there beside
// its next run. A time of day that is set forward makes the word look old only until the next one.
func elapsedSince(now, at time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// SetConfig takes a configuration; an older one than the present changes nothing.
func (c *Core) SetConfig(conf Config) {
	if conf.Version >= c.config.Version {
		c.config = conf
	}
}

// Config returns the configuration in force.
func (c *Core) Config() *Config {
	return &c.config
}

// HasJob reports whether the job is known.
func (c *Core) HasJob(id string) bool {
	return c.jobs[id] != nil
}

// JobState returns a job's state as callers may be told.
func (c *Core) JobState(id string) (State, bool) {
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

// PendingJobs returns how many jobs of a queue have not started.
func (c *Core) PendingJobs(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.Queue == queue && j.OccurrenceCount == 0 && !j.started && !j.state.Final() {
			n++
		}
	}
	return n
}

// AddJob takes a job that the store holds. One that is known already changes nothing.
func (c *Core) AddJob(now time.Time, spec *Job) {
	if c.jobs[spec.ID] != nil {
		return
	}
	c.registerJob(now, &job{Job: spec, state: StateQueued, storedState: StateQueued})
}

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

// addDueOccurrencesOf adds the occurrences that have become due and reports whether more are to come.
func (c *Core) addDueOccurrencesOf(now time.Time, j *job) bool {
	for len(j.occurrences) < j.OccurrenceCount {
		if now.Before(j.FirstDue.Add(time.Duration(len(j.occurrences)) * j.Interval)) {
			return true
		}
		c.addOccurrence(now, j)
	}
	return false
}

func (c *Core) addOccurrence(now time.Time, j *job) *occurrence {
	k := len(j.occurrences)
	at := j.AcceptedAt
	if j.OccurrenceCount > 0 {
		at = j.FirstDue.Add(time.Duration(k) * j.Interval)
	}
	chains := c.criticalPaths(j.Job)
	aim := j.DeadlineBase + time.Duration(j.StretchFactor*float64(slices.Max(chains)))
	r := &occurrence{relativeDeadline: aim}
	for i := range j.Steps {
		s := &j.Steps[i]
		st := &stepInstance{job: j, occurrence: k, index: i, spec: s, pending: s.Count, unfinished: s.Count, releasedAt: at}
		st.latestOnTimeStart = at.Add(aim - chains[i])
		st.latestUsefulStart = at.Add(usefulDeadlineFactor*aim - chains[i])
		st.tasks = make([]*task, s.Count)
		for n := range st.tasks {
			st.tasks[n] = &task{step: st, index: n}
		}
		r.steps = append(r.steps, st)
	}
	j.occurrences = append(j.occurrences, r)
	c.markReadySteps(now, j, r)
	return r
}

// criticalPaths returns for each step the time of the longest chain of steps that begins with it, as
// far as is known.
func (c *Core) criticalPaths(j *Job) []time.Duration {
	all := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		all[i] += c.estimator.estimate(j.Queue, j.Steps[i].Estimate)
		for _, a := range j.Steps[i].DependsOn {
			all[a] = max(all[a], all[i])
		}
	}
	return all
}

// markReadySteps lets the steps start whose earlier steps are done.
func (c *Core) markReadySteps(now time.Time, j *job, r *occurrence) {
	for _, s := range r.steps {
		if s.ready || s.unfinished == 0 {
			continue
		}
		ready := true
		for _, a := range s.spec.DependsOn {
			if r.steps[a].unfinished > 0 {
				ready = false
			}
		}
		if ready {
			s.ready, s.readyAt = true, now
			c.enqueueStep(s)
		}
	}
}

// enqueueStep puts a stage among those with tasks to place.
func (c *Core) enqueueStep(s *stepInstance) {
	if s.inWaitQueue || !s.ready || s.pending == 0 || s.job.state.Final() {
		return
	}
	s.inWaitQueue = true
	c.waitQueue.add(s)
}

// CancelJob ends a job and reports whether it is known. A job that has ended keeps its state.
func (c *Core) CancelJob(now time.Time, id string) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.Final() {
		c.finishJob(now, j, StateCancelled)
	}
	c.storeQueue.addUrgent(j) // stored once more for whoever waits for it
	return true
}

// finishJob gives a job its final state; what still runs of it is stopped.
func (c *Core) finishJob(now time.Time, j *job, s State) {
	j.state = s
	j.endedAt = now
	c.storeQueue.addNormal(j)
	c.recordEnded(now, j)
	for _, r := range j.occurrences {
		for _, st := range r.steps {
			for _, t := range st.tasks {
				if t.run != nil {
					c.stopRun(t.run)
				}
			}
		}
	}
}

// ForgetJobs drops jobs that ended longer than keep ago and returns the ids.
func (c *Core) ForgetJobs(now time.Time, keep time.Duration) []string {
	var gone []string
	for id, j := range c.jobs {
		if j.state.Final() && j.storedState == j.state && now.Sub(j.endedAt) > keep && j.activeRuns == 0 {
			delete(c.jobs, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// completeIfDone finishes a job all of whose tasks are done.
func (c *Core) completeIfDone(now time.Time, j *job) {
	if j.state.Final() || len(j.occurrences) < max(j.OccurrenceCount, 1) {
		return
	}
	for _, r := range j.occurrences {
		for _, s := range r.steps {
			if s.unfinished > 0 {
				return
			}
		}
	}
	c.finishJob(now, j, StateCompleted)
}

// releaseRun parts a task from its run, so that it can be placed again.
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
	c.enqueueStep(t.step)
}

// findTask returns the findTask of an id, or nil when there is none.
func (c *Core) findTask(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	r := j.occurrences[id.Occurrence]
	if id.Step >= len(r.steps) || id.Index >= len(r.steps[id.Step].tasks) {
		return nil
	}
	return r.steps[id.Step].tasks[id.Index]
}

// jobOfTask returns the job of a task by the task's name, or nil.
func (c *Core) jobOfTask(name string) *job {
	id, err := ParseTaskID(name)
	if err != nil {
		return nil
	}
	return c.jobs[id.Job]
}

// JobIDs returns the ids of all jobs known.
func (c *Core) JobIDs() []string {
	ids := make([]string, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	return ids
}

// HasUnackedEnds reports whether a worker has told ends that aren't stored yet.
func (c *Core) HasUnackedEnds(id string) bool {
	w := c.workers[id]
	return w != nil && w.handledSeq > w.ackedSeq
}

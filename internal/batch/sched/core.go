package sched

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/interf"
)

// Options sets a Core's bounds.
type Options struct {
	Lease time.Duration // granted to workers, from this holder's last confirmation on; every run there ends when it runs out
	Hold  time.Duration // longest lease that workers grant; at least Lease
	Stop  time.Duration // longest time that a worker takes to stop a run
	Sure  time.Duration // after a confirmation, for which tasks are started and leases granted
	Term  int64         // of this holder, in the high part of every run number
}

// Core holds the jobs and workers of a holder's term.
type Core struct {
	opt       Options
	conf      Config
	began     time.Time
	sure      time.Time // when the store last confirmed this holder
	peersSure time.Time // when its peers last did
	// When the readings of the directory and of operators' intent began that are held; zero: not told.
	rosterRead, intentRead time.Time

	jobs         map[string]*job
	waiting      waiting // steps with tasks that wait for a worker
	changes      changes
	later        []*job // with occurrences to come
	workers      map[string]*worker
	ranks        []*worker         // the same, by id
	rooms        map[string]*rooms // by service
	stale        []*worker         // whose place in rooms may be out of date
	choices      choices           // kept for its memory
	candidates   []candidate       // likewise
	ends         []expectedEnd     // likewise
	timed        int               // workers for which this plan has found out when they will have room
	sampled      int               // how often workers were sampled
	zones        map[string]bool   // failure domains that are taken out
	flow         flow
	plans        int            // so far
	timely       map[string]int // the newest of these, by service, in which a filling step that can be on time found no place
	starved      int            // runs of starved jobs
	kinds        map[kind]*misfits
	speeds       learner
	interference interf.Model
	moved        time.Time // when slowed tasks were last looked at
	waits        []Wait    // to be told
	placed       []Placed  // to be told
	endings      []Ending  // to be told
}

// New returns the core of a term that began at now. It acts from its first confirmation on.
func New(opt Options, now time.Time) *Core {
	opt.Hold = max(opt.Hold, opt.Lease)
	return &Core{
		opt:     opt,
		began:   now,
		jobs:    map[string]*job{},
		workers: map[string]*worker{},
		rooms:   map[string]*rooms{},
		kinds:   map[kind]*misfits{},
		zones:   map[string]bool{},
		timely:  map[string]int{},
	}
}

// job is a job with the progress of its occurrences.
type job struct {
	*Job
	state    State
	shown    State // what the store holds too; callers are told no final state before
	rounds   []*round
	restored bool // taken over from a former holder
	begun    bool // a task of it has started
	ended    time.Time
	tries    map[TaskID]tries
	saves    map[TaskID]string
	changes  int       // how often it has changed
	taken    int       // of these, known to the newest record that was taken to be stored
	live     int       // runs on workers
	idle     time.Time // since when a task of it waits with none running but as a starved job's; out of date while others run
	queued   bool      // in Core.changes
	rushed   bool      // there, with a caller waiting
}

// tries are the runs of a task that failed. They are kept by number: an end that was stored
// and not acknowledged is told again, to the next holder too, and ends of different workers
// are told in any order.
type tries []int64

type round struct {
	stages []*stage
	aim    time.Duration // for the occurrence to be on time
}

// stage is a step of an occurrence.
type stage struct {
	job     *job
	round   int
	idx     int
	spec    *Step
	tasks   []*task
	waiting int // tasks without a run that aren't done
	left    int // tasks that aren't done
	open    bool
	opened  time.Time
	placed  bool      // all of its tasks have had a place at a time
	listed  bool      // in Core.waiting
	since   time.Time // when it was listed
	rank    precedence
	misfits *misfits // of its kind; nil: not looked up yet
	starved bool     // see Core.starve
	at      time.Time
	short   time.Time            // since when a task of it has found no place; zero: none has lacked one
	told    time.Duration        // how long it had waited when that was last told; 0: it wasn't
	due     time.Time            // latest start for the job to be on time
	worth   time.Time            // latest start for it to be worth something, late
	took    []time.Duration      // that its tasks ran which have ended
	load    *interf.LoadForecast // of a serving step: its users' load
}

type task struct {
	stage *stage
	idx   int
	done  bool
	run   *run
	n     int64 // runs ordered in this term
	seen  bool  // its only run was seen alive in this term: no former holder's can be elsewhere
	avoid string
}

func (t *task) id() TaskID {
	return TaskID{t.stage.job.ID, t.stage.round, t.stage.idx, t.idx}
}

// Confirm tells that this process was still the holder at a time.
func (c *Core) Confirm(at time.Time) {
	if at.After(c.sure) {
		c.sure = at
	}
}

// ConfirmByPeers tells that most of this holder's peers reach the store as little as it does, and know
// of no other holder.
func (c *Core) ConfirmByPeers(at time.Time) {
	if at.After(c.peersSure) {
		c.peersSure = at
	}
}

// clear returns when all that a former holder has granted to workers has ended: its last confirmation is
// older than this holder's term, and its leases count from there.
func (c *Core) clear() time.Time {
	return c.began.Add(c.lapses(c.opt.Lease))
}

// lapses returns how long after its reading a worker's clock may take to pass a span, and the worker to
// end all that runs then.
func (c *Core) lapses(d time.Duration) time.Duration {
	return time.Duration(float64(d)/slowest) + c.opt.Stop + lapseSlack
}

// acts reports whether this holder may start tasks and renew leases. A holder that is cut off
// doesn't know of its successor, which waits until what the former one has started and
// renewed must have ended. In an outage of the store for all there is no successor, and work
// goes on.
func (c *Core) acts(now time.Time) bool {
	return c.age(now) < c.opt.Sure
}

// age returns how long ago this process was last confirmed as the holder.
func (c *Core) age(now time.Time) time.Duration {
	return min(since(now, c.sure), since(now, c.peersSure))
}

// since returns how long ago a moment was, by the steady clock or the time of day, whichever says more.
//
// The failure it guards against: a machine is suspended, and its steady clock stands still. The holder
// on it wakes and takes the store's last word for fresh, though a successor was chosen meanwhile; by a
// lease that it grants on a worker which the successor doesn't reach, a task would run there beside
// its next run. A time of day that is set forward makes the word look old only until the next one.
func since(now, at time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// Configure takes a configuration; an older one than the present changes nothing.
func (c *Core) Configure(conf Config) {
	if conf.Version >= c.conf.Version {
		c.conf = conf
	}
}

// Config returns the configuration in force.
func (c *Core) Config() *Config {
	return &c.conf
}

// Has reports whether the job is known.
func (c *Core) Has(id string) bool {
	return c.jobs[id] != nil
}

// State returns a job's state as callers may be told.
func (c *Core) State(id string) (State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	switch {
	case j.state.Final() && j.shown == j.state:
		return j.state, true
	case j.begun || j.state.Final():
		return StateRunning, true
	}
	return StateQueued, true
}

// Pending returns how many jobs of a queue have not started.
func (c *Core) Pending(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.Queue == queue && j.Times == 0 && !j.begun && !j.state.Final() {
			n++
		}
	}
	return n
}

// Admit takes a job that the store holds. One that is known already changes nothing.
func (c *Core) Admit(now time.Time, spec *Job) {
	if c.jobs[spec.ID] != nil {
		return
	}
	c.enter(now, &job{Job: spec, state: StateQueued, shown: StateQueued})
}

func (c *Core) enter(now time.Time, j *job) {
	c.jobs[j.ID] = j
	if j.state.Final() {
		return
	}
	if j.Times > 0 {
		c.later = append(c.later, j)
		c.unfold(now, j)
		return
	}
	c.addRound(now, j)
}

// unfold adds the occurrences that have become due and reports whether more are to come.
func (c *Core) unfold(now time.Time, j *job) bool {
	for len(j.rounds) < j.Times {
		if now.Before(j.First.Add(time.Duration(len(j.rounds)) * j.Every)) {
			return true
		}
		c.addRound(now, j)
	}
	return false
}

func (c *Core) addRound(now time.Time, j *job) *round {
	k := len(j.rounds)
	at := j.At
	if j.Times > 0 {
		at = j.First.Add(time.Duration(k) * j.Every)
	}
	chains := c.chains(j.Job)
	aim := j.Aim + time.Duration(j.Stretch*float64(slices.Max(chains)))
	r := &round{aim: aim}
	for i := range j.Steps {
		s := &j.Steps[i]
		st := &stage{job: j, round: k, idx: i, spec: s, waiting: s.Count, left: s.Count, at: at}
		st.due = at.Add(aim - chains[i])
		st.worth = at.Add(lateAims*aim - chains[i])
		st.tasks = make([]*task, s.Count)
		for n := range st.tasks {
			st.tasks[n] = &task{stage: st, idx: n}
		}
		r.stages = append(r.stages, st)
	}
	j.rounds = append(j.rounds, r)
	c.openStages(now, j, r)
	return r
}

// chains returns for each step the time of the longest chain of steps that begins with it, as
// far as is known.
func (c *Core) chains(j *Job) []time.Duration {
	all := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		all[i] += c.speeds.expect(j.Queue, j.Steps[i].Estimate)
		for _, a := range j.Steps[i].After {
			all[a] = max(all[a], all[i])
		}
	}
	return all
}

// openStages lets the steps start whose earlier steps are done.
func (c *Core) openStages(now time.Time, j *job, r *round) {
	for _, s := range r.stages {
		if s.open || s.left == 0 {
			continue
		}
		ready := true
		for _, a := range s.spec.After {
			if r.stages[a].left > 0 {
				ready = false
			}
		}
		if ready {
			s.open, s.opened = true, now
			c.list(s)
		}
	}
}

// list puts a stage among those with tasks to place.
func (c *Core) list(s *stage) {
	if s.listed || !s.open || s.waiting == 0 || s.job.state.Final() {
		return
	}
	s.listed = true
	c.waiting.add(s)
}

// Cancel ends a job and reports whether it is known. A job that has ended keeps its state.
func (c *Core) Cancel(now time.Time, id string) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.Final() {
		c.finish(now, j, StateCancelled)
	}
	c.changes.prioritize(j) // stored once more for whoever waits for it
	return true
}

// finish gives a job its final state; what still runs of it is stopped.
func (c *Core) finish(now time.Time, j *job, s State) {
	j.state = s
	j.ended = now
	c.changes.add(j)
	c.noteEnding(now, j)
	for _, r := range j.rounds {
		for _, st := range r.stages {
			for _, t := range st.tasks {
				if t.run != nil {
					c.stop(t.run)
				}
			}
		}
	}
}

// Forget drops jobs that ended longer than keep ago and returns the ids.
func (c *Core) Forget(now time.Time, keep time.Duration) []string {
	var gone []string
	for id, j := range c.jobs {
		if j.state.Final() && j.shown == j.state && now.Sub(j.ended) > keep && j.live == 0 {
			delete(c.jobs, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// complete finishes a job all of whose tasks are done.
func (c *Core) complete(now time.Time, j *job) {
	if j.state.Final() || len(j.rounds) < max(j.Times, 1) {
		return
	}
	for _, r := range j.rounds {
		for _, s := range r.stages {
			if s.left > 0 {
				return
			}
		}
	}
	c.finish(now, j, StateCompleted)
}

// free parts a task from its run, so that it can be placed again.
func (c *Core) free(r *run) {
	c.detach(r)
	t := r.task
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	if t.done {
		return
	}
	t.stage.waiting++
	c.list(t.stage)
}

// task returns the task of an id, or nil when there is none.
func (c *Core) task(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || id.Round >= len(j.rounds) {
		return nil
	}
	r := j.rounds[id.Round]
	if id.Step >= len(r.stages) || id.Index >= len(r.stages[id.Step].tasks) {
		return nil
	}
	return r.stages[id.Step].tasks[id.Index]
}

// jobOf returns the job of a task by the task's name, or nil.
func (c *Core) jobOf(name string) *job {
	id, err := ParseTask(name)
	if err != nil {
		return nil
	}
	return c.jobs[id.Job]
}

// Jobs returns the ids of all jobs known.
func (c *Core) Jobs() []string {
	ids := make([]string, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	return ids
}

// Unacked reports whether a worker has told ends that aren't stored yet.
func (c *Core) Unacked(id string) bool {
	w := c.workers[id]
	return w != nil && w.heard > w.acked
}

package rack

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Options configures a Core. All fields are required.
type Options struct {
	Rack         string                  // name of the rack
	Zone         string                  // failure domain of the rack
	Epoch        uint64                  // fencing token of this holder of the rack; a later holder has a higher one
	LeaseTTL     time.Duration           // time to live of the lease within which a worker's tasks may run
	MaxConfigAge time.Duration           // greatest age of the last confirmation of the configuration when a task starts
	BucketOf     func(job string) string // returns the bucket that a job belongs to
}

// ZoneStatus is what the configuration says about the rack's failure domain.
type ZoneStatus struct {
	Usable      bool      // tasks may run in the failure domain
	ConfirmedAt time.Time // start of the read that last confirmed the configuration
}

// runState is the state of a run.
type runState string

const (
	stateStarting runState = "starting" // a start was emitted; the worker may or may not have executed it
	stateRunning  runState = "running"
	stateStopping runState = "stopping" // a stop or checkpoint was decided
	stateFinished runState = "finished" // the worker keeps the result until the bucket has recorded the end
	stateFailed   runState = "failed"   // the worker keeps the task until the bucket has recorded the end
	stateStopped  runState = "stopped"  // the worker has stopped the task; its progress is the work saved by checkpoints
)

// run is a placement that was started on a worker of the rack, by this holder or a former one.
type run struct {
	placement       jobs.Placement
	worker          string        // address
	size            wire.Size     // resources that it occupies while it may run
	task            wire.Task     // as sent with a start; only ID and size are known if a former holder started it
	state           runState      // as last reported by the worker or decided here
	progress        time.Duration // work done; in stateStopped the work saved by checkpoints
	commandInFlight bool          // a start or task command has no answer yet
	startUnknown    bool          // no answer came to a start: the worker may have executed it, or it may still arrive
	startDeadline   time.Time     // the worker refuses a start that arrives later
	mayAccept       bool          // the bucket has recorded that this placement finished the task; the worker may publish the result
	mayForget       bool          // the bucket has recorded another end; the worker may forget the task
}

// occupiesResources reports whether the run may occupy resources of its worker.
func (r *run) occupiesResources() bool {
	return r.state == stateStarting || r.state == stateRunning || r.state == stateStopping
}

// wantedTask is a task that a bucket wants to run on the rack.
type wantedTask struct {
	task        jobs.Task
	wantedSince time.Time // when the bucket first asked for this placement
}

// Core makes the decisions for one rack on behalf of one holder. It isn't safe for concurrent use.
type Core struct {
	opts       Options
	acquiredAt time.Time // when this holder got the rack
	tickTime   time.Time // time of the last Tick
	workers    map[string]*worker
	// wanted holds the tasks that each bucket wants to run on the rack. A bucket that hasn't replied to a report
	// yet has no entry.
	wanted         map[string]map[jobs.Placement]wantedTask
	maxPlacementNo map[string]uint64 // highest placement number received, by bucket
	bucketEpochs   map[string]uint64 // epoch of the latest holder that has replied, by bucket
	// possiblyStarted holds wanted placements that a former holder may have started and no worker has reported.
	possiblyStarted map[jobs.Placement]bool
	runs            map[jobs.Placement]*run
	// returned holds the placements that go back to their bucket, with the work saved by checkpoints, until the bucket
	// has recorded the return.
	returned map[jobs.Placement]time.Duration
	// released holds the finished placements whose worker has accepted the result, until the bucket has recorded that.
	released   map[jobs.Placement]bool
	zoneStatus ZoneStatus // as of the last Tick
	actions    []Action   // emitted by the Tick that is under way
}

// expiryMargin is how long after the end of a lease or a start deadline it counts as passed.
const expiryMargin = 500 * time.Millisecond

// New returns the Core of a holder that has just got the rack.
func New(now time.Time, opts Options) *Core {
	return &Core{opts: opts, acquiredAt: now, tickTime: now, workers: map[string]*worker{}, wanted: map[string]map[jobs.Placement]wantedTask{}, maxPlacementNo: map[string]uint64{}, bucketEpochs: map[string]uint64{},
		possiblyStarted: map[jobs.Placement]bool{}, runs: map[jobs.Placement]*run{}, returned: map[jobs.Placement]time.Duration{},
		released: map[jobs.Placement]bool{}}
}

// Zone returns the rack's failure domain.
func (c *Core) Zone() string { return c.opts.Zone }

// SetWorkers sets the addresses of the rack's workers. A worker that is no longer listed stays known while
// it has runs or a fence or renewal of it has no answer, so that one listed again gets no second call meanwhile.
func (c *Core) SetWorkers(addrs []string) {
	for _, a := range addrs {
		if c.workers[a] == nil {
			c.workers[a] = &worker{addr: a}
		}
	}
	for a, w := range c.workers {
		if !slices.Contains(addrs, a) && !w.leaseCallInFlight && !c.hasRuns(a) {
			delete(c.workers, a)
		}
	}
}

// hasRuns reports whether the worker has runs, in any state.
func (c *Core) hasRuns(addr string) bool {
	for _, r := range c.runs {
		if r.worker == addr {
			return true
		}
	}
	return false
}

// formerLeasesExpired reports whether every lease that a former holder granted has expired.
func (c *Core) formerLeasesExpired(now time.Time) bool {
	return now.After(c.acquiredAt.Add(c.opts.LeaseTTL + expiryMargin))
}

// returnPossiblyStarted returns the placements that a former holder may have started and no worker has
// reported. Their runs have certainly ended, but as they may have run, they aren't started again under the same
// number.
func (c *Core) returnPossiblyStarted() {
	for p := range c.possiblyStarted {
		delete(c.possiblyStarted, p)
		c.returnPlacement(p, 0)
	}
}

// Tick returns the commands to send at time now; status is what the configuration says at that time.
func (c *Core) Tick(now time.Time, status ZoneStatus) []Action {
	c.tickTime, c.zoneStatus = now, status
	if c.formerLeasesExpired(now) {
		c.returnPossiblyStarted()
	}
	for _, addr := range slices.Sorted(maps.Keys(c.workers)) {
		c.maintainLease(now, c.workers[addr])
	}
	c.reconcileRuns()
	c.startTasks(now)
	return c.takeActions()
}

// takeActions returns and clears the actions emitted so far.
func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// maintainLease fences a worker or renews its lease, and handles the lease's expiry.
func (c *Core) maintainLease(now time.Time, w *worker) {
	if !w.leaseExpiry.IsZero() && now.After(w.leaseExpiry) {
		c.expireLease(now, w)
	}
	if w.leaseCallInFlight || now.Sub(w.lastLeaseCall) < c.opts.LeaseTTL/6 {
		return
	}
	if w.fenced && now.Sub(w.lastAnswer) > c.opts.LeaseTTL/2 {
		// The worker doesn't answer. Each renewal may reach it nevertheless and so postpones the time from
		// which its tasks have certainly stopped. With further renewals that time would never come, and the
		// tasks of a dead worker would never run elsewhere.
		return
	}
	w.leaseCallInFlight, w.lastLeaseCall = true, now
	if !w.fenced {
		c.actions = append(c.actions, Fence{w.addr, wire.FenceRequest{Epoch: c.opts.Epoch}})
		return
	}
	c.renewLease(now, w)
}

// renewLease emits a renewal of the worker's lease. The worker stops its tasks at the latest when LeaseTTL has
// passed since now by this process's clock.
func (c *Core) renewLease(now time.Time, w *worker) {
	w.leaseExpiry = now.Add(c.opts.LeaseTTL + expiryMargin)
	c.actions = append(c.actions, Renew{w.addr, wire.RenewRequest{Epoch: c.opts.Epoch, Until: w.clockAt(now.Add(c.opts.LeaseTTL))}})
}

// expireLease handles a worker whose lease could not be renewed: its tasks have stopped, and their placements
// are returned with the work saved by checkpoints. Finished runs stay, as the worker holds their results.
// So does a start whose deadline has not passed: the worker would execute it once it is fenced and renewed again.
func (c *Core) expireLease(now time.Time, w *worker) {
	w.fenced = false
	for _, r := range c.sortedRuns() {
		if r.worker == w.addr && (r.occupiesResources() || r.state == stateStopped) && now.After(r.startDeadline.Add(expiryMargin)) {
			c.returnPlacement(r.placement, r.task.ResumeFrom)
			delete(c.runs, r.placement)
		}
	}
}

// sortedRuns returns the runs in order of placement number.
func (c *Core) sortedRuns() []*run {
	runs := slices.Collect(maps.Values(c.runs))
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.placement.No, b.placement.No) })
	return runs
}

func (c *Core) bucketOf(p jobs.Placement) string { return c.opts.BucketOf(p.Job) }

// returnPlacement returns a placement to its bucket, with the work saved by checkpoints.
func (c *Core) returnPlacement(p jobs.Placement, savedWork time.Duration) {
	c.returned[p] = max(savedWork, c.returned[p])
	delete(c.wanted[c.bucketOf(p)], p)
}

// reconcileRuns stops runs that are no longer wanted, evicts runs if the failure domain isn't usable, and makes
// workers forget tasks whose end is recorded.
func (c *Core) reconcileRuns() {
	for _, r := range c.sortedRuns() {
		if r.commandInFlight {
			continue
		}
		switch r.state {
		case stateStarting:
			c.resolveUnknownStart(r)
		case stateRunning, stateStopping:
			c.evictIfNeeded(r)
		case stateFinished:
			if r.mayAccept {
				c.emitTaskCommand(r, wire.VerbAcceptResult)
			} else if r.mayForget {
				c.emitTaskCommand(r, wire.VerbForget)
			}
		case stateFailed:
			if r.mayForget {
				c.emitTaskCommand(r, wire.VerbForget)
			}
		case stateStopped:
			c.returnPlacement(r.placement, r.progress)
			c.emitTaskCommand(r, wire.VerbForget)
		}
	}
	if c.zoneStatus.Usable {
		return
	}
	for _, tasks := range c.wanted {
		for p, w := range tasks {
			if c.runs[p] == nil && !c.possiblyStarted[p] {
				c.returnPlacement(p, w.task.From)
			}
		}
	}
}

// resolveUnknownStart returns the placement of a start of unknown outcome once the worker has answered a renewal or
// fence that was emitted after the start's deadline, which shows that the start was not executed. The time at which an
// answer is handled doesn't show that: the worker may have given it before a delayed start arrived.
func (c *Core) resolveUnknownStart(r *run) {
	w := c.workers[r.worker]
	if r.startUnknown && w != nil && w.answeredCallAt.After(r.startDeadline.Add(expiryMargin)) {
		delete(c.runs, r.placement)
		c.returnPlacement(r.placement, r.task.ResumeFrom)
	}
}

// evictIfNeeded stops a run that is no longer wanted, and checkpoints one that its failure domain may not run.
// The command is repeated until the worker reports the run's end.
func (c *Core) evictIfNeeded(r *run) {
	switch {
	case !c.isWanted(r.placement):
		r.state = stateStopping
		c.emitTaskCommand(r, wire.VerbStop)
	case !c.zoneStatus.Usable || r.state == stateStopping:
		r.state = stateStopping
		c.emitTaskCommand(r, wire.VerbCheckpoint)
	}
}

// isWanted reports whether the placement's bucket wants it on this rack. Until the bucket's first reply all its
// placements count as wanted.
func (c *Core) isWanted(p jobs.Placement) bool {
	tasks, answered := c.wanted[c.bucketOf(p)]
	if !answered {
		return true
	}
	_, ok := tasks[p]
	return ok
}

// emitTaskCommand emits a command about a run, provided that its worker is fenced.
//
// A worker may forget a task only when no start of it can arrive any more: a delayed start would run the task a
// second time, on resources that have been allocated to other tasks since.
func (c *Core) emitTaskCommand(r *run, verb wire.Verb) {
	if w := c.workers[r.worker]; w == nil || !w.fenced {
		return
	}
	forgets := verb == wire.VerbForget || verb == wire.VerbAcceptResult
	if forgets && r.startUnknown && !c.tickTime.After(r.startDeadline.Add(expiryMargin)) {
		return
	}
	r.commandInFlight = true
	c.actions = append(c.actions, TaskCommand{r.worker, r.placement, wire.TaskCommandRequest{Epoch: c.opts.Epoch, TaskID: r.placement.String(), Verb: verb}})
}

// maxPlacementWait is how long a wanted task waits for free resources before its placement is returned.
const maxPlacementWait = 5 * time.Second

// startTasks emits starts of the wanted tasks that have no run, and repeats starts of unknown outcome.
//
// Nothing starts unless the configuration was confirmed within MaxConfigAge. Each start carries the end of that
// period in the worker's time: the check here doesn't suffice if this process is paused between the check and
// the sending.
func (c *Core) startTasks(now time.Time) {
	deadline := c.zoneStatus.ConfirmedAt.Add(c.opts.MaxConfigAge)
	if !c.zoneStatus.Usable || !now.Before(deadline) {
		return
	}
	for _, r := range c.sortedRuns() {
		if r.state == stateStarting && !r.commandInFlight {
			c.emitStart(r, deadline)
		}
	}
	infos := c.workerInfos()
	for _, w := range c.waitingTasks() {
		if info := bestFit(now, infos, w.task.Spec.Size); info != nil {
			info.free = info.free.Minus(w.task.Spec.Size)
			info.runs++
			c.emitStart(c.addRun(info.worker, w.task), deadline)
		} else if now.Sub(w.wantedSince) > maxPlacementWait {
			c.returnPlacement(w.task.Place, w.task.From)
		}
	}
}

// waitingTasks returns the wanted tasks that have no run, in the order in which they are to start.
func (c *Core) waitingTasks() []wantedTask {
	var waiting []wantedTask
	for _, tasks := range c.wanted {
		for p, w := range tasks {
			if c.runs[p] == nil && !c.possiblyStarted[p] {
				waiting = append(waiting, w)
			}
		}
	}
	slices.SortFunc(waiting, func(a, b wantedTask) int {
		return cmp.Or(cmp.Compare(a.task.Spec.Precedence(), b.task.Spec.Precedence()), a.wantedSince.Compare(b.wantedSince),
			cmp.Compare(a.task.Place.Job, b.task.Place.Job), cmp.Compare(a.task.Place.Index, b.task.Place.Index))
	})
	return waiting
}

// addRun adds the run of a task that is to start on the worker.
func (c *Core) addRun(w *worker, t jobs.Task) *run {
	r := &run{placement: t.Place, worker: w.addr, size: t.Spec.Size, state: stateStarting,
		task: wire.Task{ID: t.Place.String(), Size: t.Spec.Size, Duration: t.Spec.Run, ResumeFrom: t.From, LongRunning: t.Spec.Standing}}
	c.runs[t.Place] = r
	return r
}

// emitStart emits a start of the run with a deadline, provided that its worker is fenced.
func (c *Core) emitStart(r *run, deadline time.Time) {
	w := c.workers[r.worker]
	if w == nil || !w.fenced {
		return
	}
	r.commandInFlight, r.startDeadline = true, deadline
	c.actions = append(c.actions, Start{r.worker, r.placement, wire.StartRequest{Epoch: c.opts.Epoch, NotAfter: w.clockAt(deadline), Task: r.task}})
}

// workerInfo is the allocation of one worker's resources.
type workerInfo struct {
	worker *worker
	free   wire.Size // resources that no run occupies
	runs   int       // number of runs, whether they occupy resources or not
}

// workerInfos returns the allocations of the workers in order of address. They are computed from the runs in one
// pass, so that there is no second copy that could become inconsistent with them.
func (c *Core) workerInfos() []workerInfo {
	infos := make([]workerInfo, 0, len(c.workers))
	index := make(map[string]int, len(c.workers))
	for _, addr := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[addr]
		index[addr] = len(infos)
		infos = append(infos, workerInfo{worker: w, free: w.size})
	}
	for _, r := range c.runs {
		i, ok := index[r.worker]
		if !ok {
			continue
		}
		infos[i].runs++
		if r.occupiesResources() {
			infos[i].free = infos[i].free.Minus(r.size)
		}
	}
	return infos
}

// bestFit returns the worker on which a task of size s would leave the least resources free, or nil if no worker
// has room for it.
func bestFit(now time.Time, infos []workerInfo, s wire.Size) *workerInfo {
	var best *workerInfo
	var bestLeft wire.Size
	for i := range infos {
		info := &infos[i]
		if !info.acceptsTasks(now) || !info.free.Covers(s) {
			continue
		}
		if left := info.free.Minus(s); best == nil || leavesLess(left, bestLeft) {
			best, bestLeft = info, left
		}
	}
	return best
}

// acceptsTasks reports whether the worker may get a new task. After a cooldown it gets one task at a time until
// one finishes.
func (info *workerInfo) acceptsTasks(now time.Time) bool {
	w := info.worker
	if !w.fenced || now.Before(w.cooldownUntil) {
		return false
	}
	return w.consecutiveFailures < maxConsecutiveFailures || info.runs == 0
}

// leavesLess reports whether a is less than b, by accelerators, then CPU, then memory.
func leavesLess(a, b wire.Size) bool {
	return cmp.Or(cmp.Compare(a.Accel, b.Accel), cmp.Compare(a.CPU, b.CPU), cmp.Compare(a.Mem, b.Mem)) < 0
}

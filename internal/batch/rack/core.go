package rack

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Options says how a Core is set up; all fields are needed.
type Options struct {
	Rack         string
	Zone         string
	Epoch        uint64        // of this holding
	LeaseTTL     time.Duration // of a worker's tasks
	MaxConfigAge time.Duration // how old the confirmed configuration may be when a task starts
	BucketOf     func(job string) string
}

// ZoneStatus is what the core needs of the configuration at a time.
type ZoneStatus struct {
	Usable      bool      // tasks may run in the rack's failure domain
	ConfirmedAt time.Time // when the read began that last confirmed it
}

// runState is how far a task got here.
type runState string

const (
	stateStarting runState = "starting" // a start was decided; it may have arrived or not
	stateRunning  runState = "running"
	stateStopping runState = "stopping"
	stateFinished runState = "finished" // kept at the worker until it's recorded
	stateFailed   runState = "failed"
	stateStopped  runState = "stopped"
)

// run is a placement that was started here.
type run struct {
	placement       jobs.Placement
	worker          string
	size            wire.Size
	task            wire.Task
	state           runState
	progress        time.Duration
	commandInFlight bool      // a command about it is under way
	startUnknown    bool      // a start had an unknown outcome
	startDeadline   time.Time // until then such a start may still arrive
	mayAccept       bool      // it's recorded that this placement finished the task
	mayForget       bool      // it's recorded otherwise; the worker may forget it
}

// occupiesResources reports whether the run may occupy resources.
func (r *run) occupiesResources() bool {
	return r.state == stateStarting || r.state == stateRunning || r.state == stateStopping
}

type wantedTask struct {
	task        jobs.Task
	wantedSince time.Time
}

// Core decides for one rack under one holding; it isn't safe for concurrent use.
type Core struct {
	opts            Options
	acquiredAt      time.Time
	tickTime        time.Time
	workers         map[string]*worker
	wanted          map[string]map[jobs.Placement]wantedTask // by bucket
	maxPlacementNo  map[string]uint64                        // the highest number of a placement wanted so far, by bucket
	possiblyStarted map[jobs.Placement]bool                  // a former holder may have started it
	runs            map[jobs.Placement]*run
	returned        map[jobs.Placement]time.Duration // given back, until recorded
	released        map[jobs.Placement]bool          // finished and known to count at the worker, until recorded
	zoneStatus      ZoneStatus
	actions         []Action
}

// expiryMargin is how much longer than a lease is waited for its end.
const expiryMargin = 500 * time.Millisecond

// New returns the core of a holding that begins now.
func New(now time.Time, o Options) *Core {
	return &Core{opts: o, acquiredAt: now, tickTime: now, workers: map[string]*worker{}, wanted: map[string]map[jobs.Placement]wantedTask{}, maxPlacementNo: map[string]uint64{},
		possiblyStarted: map[jobs.Placement]bool{}, runs: map[jobs.Placement]*run{}, returned: map[jobs.Placement]time.Duration{},
		released: map[jobs.Placement]bool{}}
}

// Zone returns the rack's failure domain.
func (c *Core) Zone() string { return c.opts.Zone }

// SetWorkers names the rack's workers; one that isn't named any more stays known while
// tasks may run there.
func (c *Core) SetWorkers(addrs []string) {
	for _, a := range addrs {
		if c.workers[a] == nil {
			c.workers[a] = &worker{addr: a}
		}
	}
	for a := range c.workers {
		if !slices.Contains(addrs, a) && !c.hasRuns(a) {
			delete(c.workers, a)
		}
	}
}

func (c *Core) hasRuns(addr string) bool {
	for _, r := range c.runs {
		if r.worker == addr {
			return true
		}
	}
	return false
}

// formerLeasesExpired reports whether every lease that a former holder gave has ended.
func (c *Core) formerLeasesExpired(now time.Time) bool {
	return now.After(c.acquiredAt.Add(c.opts.LeaseTTL + expiryMargin))
}

// returnPossiblyStarted gives back what a former holder may have started and no worker has shown.
// It has certainly ended; but as it may have run, it isn't started under the same number.
func (c *Core) returnPossiblyStarted() {
	for p := range c.possiblyStarted {
		delete(c.possiblyStarted, p)
		c.returnPlacement(p, 0)
	}
}

// Tick returns what is to be done now.
func (c *Core) Tick(now time.Time, conf ZoneStatus) []Action {
	c.tickTime, c.zoneStatus = now, conf
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

func (c *Core) takeActions() []Action {
	out := c.actions
	c.actions = nil
	return out
}

// maintainLease fences or renews a worker, or gives it up when its lease has run out.
func (c *Core) maintainLease(now time.Time, w *worker) {
	if !w.leaseExpiry.IsZero() && now.After(w.leaseExpiry) {
		c.expireLease(now, w)
	}
	if w.leaseCallInFlight || now.Sub(w.lastLeaseCall) < c.opts.LeaseTTL/6 {
		return
	}
	if w.fenced && now.Sub(w.lastAnswer) > c.opts.LeaseTTL/2 {
		// It's silent. Each renewal may have reached it and prolongs the wait for the end
		// of its lease; with renewals going on the wait would never end, and the tasks of
		// a worker that died would never be run elsewhere.
		return
	}
	w.leaseCallInFlight, w.lastLeaseCall = true, now
	if !w.fenced {
		c.actions = append(c.actions, Fence{w.addr, wire.FenceRequest{Epoch: c.opts.Epoch}})
		return
	}
	c.renewLease(now, w)
}

// renewLease extends the worker's lease. Its tasks stop at the latest when, by this
// process's clock, a lease has passed since now.
func (c *Core) renewLease(now time.Time, w *worker) {
	w.leaseExpiry = now.Add(c.opts.LeaseTTL + expiryMargin)
	c.actions = append(c.actions, Renew{w.addr, wire.RenewRequest{Epoch: c.opts.Epoch, Until: w.clockAt(now.Add(c.opts.LeaseTTL))}})
}

// expireLease gives up a worker that couldn't be renewed: its tasks have stopped and go back
// with what their checkpoints keep. Finished ones stay: the worker holds their results.
// So does a start that is still in time: fenced and renewed again, the worker would take it.
func (c *Core) expireLease(now time.Time, w *worker) {
	w.fenced = false
	for _, r := range c.sortedRuns() {
		if r.worker == w.addr && (r.occupiesResources() || r.state == stateStopped) && now.After(r.startDeadline.Add(expiryMargin)) {
			c.returnPlacement(r.placement, r.task.ResumeFrom)
			delete(c.runs, r.placement)
		}
	}
}

func (c *Core) sortedRuns() []*run {
	list := slices.Collect(maps.Values(c.runs))
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.placement.No, b.placement.No) })
	return list
}

func (c *Core) bucketOf(p jobs.Placement) string { return c.opts.BucketOf(p.Job) }

func (c *Core) returnPlacement(p jobs.Placement, kept time.Duration) {
	c.returned[p] = max(kept, c.returned[p])
	delete(c.wanted[c.bucketOf(p)], p)
}

// reconcileRuns stops what is no longer wanted here, what the failure domain may no longer run,
// and lets workers forget what is recorded.
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
	for _, m := range c.wanted {
		for p, w := range m {
			if c.runs[p] == nil && !c.possiblyStarted[p] {
				c.returnPlacement(p, w.task.From)
			}
		}
	}
}

// resolveUnknownStart gives back a start of unknown outcome once the worker has shown, after the last
// moment at which it could have arrived, that it didn't.
func (c *Core) resolveUnknownStart(r *run) {
	w := c.workers[r.worker]
	if r.startUnknown && w != nil && w.clockReadAt.After(r.startDeadline.Add(expiryMargin)) {
		delete(c.runs, r.placement)
		c.returnPlacement(r.placement, r.task.ResumeFrom)
	}
}

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

// isWanted reports whether the placement's bucket wants it here, as far as it has spoken yet.
func (c *Core) isWanted(p jobs.Placement) bool {
	m, spoken := c.wanted[c.bucketOf(p)]
	if !spoken {
		return true
	}
	_, ok := m[p]
	return ok
}

// emitTaskCommand sends a command about a run to its worker.
//
// A worker may forget a task only when no start of it can arrive any more: one that was
// held up on its way would run the task a second time, on resources that the ledger
// has given to others.
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

// maxPlacementWait is how long a task waits for room before it goes back.
const maxPlacementWait = 5 * time.Second

// startTasks starts the wanted tasks that have no run, and repeats starts of unknown outcome.
//
// Nothing starts unless the configuration was confirmed lately. The startTasks carries the
// end of that time on the worker's clock: the check alone doesn't help when this
// process is paused between it and the sending.
func (c *Core) startTasks(now time.Time) {
	end := c.zoneStatus.ConfirmedAt.Add(c.opts.MaxConfigAge)
	if !c.zoneStatus.Usable || !now.Before(end) {
		return
	}
	for _, r := range c.sortedRuns() {
		if r.state == stateStarting && !r.commandInFlight {
			c.emitStart(r, end)
		}
	}
	list := c.workerInfos()
	for _, w := range c.waitingTasks() {
		if a := bestFit(now, list, w.task.Spec.Size); a != nil {
			a.free = a.free.Minus(w.task.Spec.Size)
			a.runs++
			c.emitStart(c.addRun(a.worker, w.task), end)
		} else if now.Sub(w.wantedSince) > maxPlacementWait {
			c.returnPlacement(w.task.Place, w.task.From)
		}
	}
}

// waitingTasks returns the wanted placements that aren't started, in order.
func (c *Core) waitingTasks() []wantedTask {
	var list []wantedTask
	for _, m := range c.wanted {
		for p, w := range m {
			if c.runs[p] == nil && !c.possiblyStarted[p] {
				list = append(list, w)
			}
		}
	}
	slices.SortFunc(list, func(a, b wantedTask) int {
		return cmp.Or(cmp.Compare(a.task.Spec.Precedence(), b.task.Spec.Precedence()), a.wantedSince.Compare(b.wantedSince),
			cmp.Compare(a.task.Place.Job, b.task.Place.Job), cmp.Compare(a.task.Place.Index, b.task.Place.Index))
	})
	return list
}

func (c *Core) addRun(w *worker, t jobs.Task) *run {
	r := &run{placement: t.Place, worker: w.addr, size: t.Spec.Size, state: stateStarting,
		task: wire.Task{ID: t.Place.String(), Size: t.Spec.Size, Duration: t.Spec.Run, ResumeFrom: t.From, LongRunning: t.Spec.Standing}}
	c.runs[t.Place] = r
	return r
}

func (c *Core) emitStart(r *run, end time.Time) {
	w := c.workers[r.worker]
	if w == nil || !w.fenced {
		return
	}
	r.commandInFlight, r.startDeadline = true, end
	c.actions = append(c.actions, Start{r.worker, r.placement, wire.StartRequest{Epoch: c.opts.Epoch, NotAfter: w.clockAt(end), Task: r.task}})
}

// workerInfo is what the ledger says of one worker.
type workerInfo struct {
	worker *worker
	free   wire.Size
	runs   int // tasks known there, whether they occupy resources or not
}

// workerInfos returns the accounts of the workers in order of address. It is worked out from
// the runs in one pass, so that there is no second copy of them to fall out of step.
func (c *Core) workerInfos() []workerInfo {
	list := make([]workerInfo, 0, len(c.workers))
	at := make(map[string]int, len(c.workers))
	for _, addr := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[addr]
		at[addr] = len(list)
		list = append(list, workerInfo{worker: w, free: w.size})
	}
	for _, r := range c.runs {
		i, ok := at[r.worker]
		if !ok {
			continue
		}
		list[i].runs++
		if r.occupiesResources() {
			list[i].free = list[i].free.Minus(r.size)
		}
	}
	return list
}

// bestFit returns the account of the worker where the task leaves least, nil when it
// fits nowhere.
func bestFit(now time.Time, list []workerInfo, s wire.Size) *workerInfo {
	var best *workerInfo
	var rest wire.Size
	for i := range list {
		a := &list[i]
		if !a.acceptsTasks(now) || !a.free.Covers(s) {
			continue
		}
		if f := a.free.Minus(s); best == nil || leavesLess(f, rest) {
			best, rest = a, f
		}
	}
	return best
}

// acceptsTasks reports whether the worker gets new tasks: one at a time after a rest.
func (a *workerInfo) acceptsTasks(now time.Time) bool {
	w := a.worker
	if !w.fenced || now.Before(w.cooldownUntil) {
		return false
	}
	return w.consecutiveFailures < maxConsecutiveFailures || a.runs == 0
}

func leavesLess(a, b wire.Size) bool {
	return cmp.Or(cmp.Compare(a.Accel, b.Accel), cmp.Compare(a.CPU, b.CPU), cmp.Compare(a.Mem, b.Mem)) < 0
}

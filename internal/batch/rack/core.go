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
	Rack   string
	Zone   string
	Ep     uint64        // of this holding
	Lease  time.Duration // of a worker's tasks
	Fresh  time.Duration // how old the confirmed configuration may be when a task starts
	Bucket func(job string) string
}

// Config is what the core needs of the configuration at a time.
type Config struct {
	Usable    bool      // tasks may run in the rack's failure domain
	Confirmed time.Time // when the read began that last confirmed it
}

// state is how far a task got here.
type state string

const (
	stateStarting state = "starting" // a start was decided; it may have arrived or not
	stateRunning  state = "running"
	stateStopping state = "stopping"
	stateFinished state = "finished" // kept at the worker until it's recorded
	stateFailed   state = "failed"
	stateStopped  state = "stopped"
)

// run is a placement that was started here.
type run struct {
	place  jobs.Placement
	worker string
	size   wire.Size
	task   wire.Task
	state  state
	done   time.Duration
	asked  bool      // a command about it is under way
	unsure bool      // a start had an unknown outcome
	bound  time.Time // until then such a start may still arrive
	counts bool      // it's recorded that this placement finished the task
	forget bool      // it's recorded otherwise; the worker may forget it
}

// holds reports whether the run may occupy resources.
func (r *run) holds() bool {
	return r.state == stateStarting || r.state == stateRunning || r.state == stateStopping
}

type want struct {
	task  jobs.Task
	since time.Time
}

// Core decides for one rack under one holding; it isn't safe for concurrent use.
type Core struct {
	o        Options
	began    time.Time
	now      time.Time
	workers  map[string]*worker
	wants    map[string]map[jobs.Placement]want // by bucket
	heard    map[string]uint64                  // the highest number of a placement wanted so far, by bucket
	suspect  map[jobs.Placement]bool            // a former holder may have started it
	runs     map[jobs.Placement]*run
	backs    map[jobs.Placement]time.Duration // given back, until recorded
	released map[jobs.Placement]bool          // finished and known to count at the worker, until recorded
	conf     Config
	out      []Action
}

// margin is how much longer than a lease is waited for its end.
const margin = 500 * time.Millisecond

// New returns the core of a holding that begins now.
func New(now time.Time, o Options) *Core {
	return &Core{o: o, began: now, now: now, workers: map[string]*worker{}, wants: map[string]map[jobs.Placement]want{}, heard: map[string]uint64{},
		suspect: map[jobs.Placement]bool{}, runs: map[jobs.Placement]*run{}, backs: map[jobs.Placement]time.Duration{},
		released: map[jobs.Placement]bool{}}
}

// Zone returns the rack's failure domain.
func (c *Core) Zone() string { return c.o.Zone }

// SetWorkers names the rack's workers; one that isn't named any more stays known while
// tasks may run there.
func (c *Core) SetWorkers(addrs []string) {
	for _, a := range addrs {
		if c.workers[a] == nil {
			c.workers[a] = &worker{addr: a}
		}
	}
	for a := range c.workers {
		if !slices.Contains(addrs, a) && !c.used(a) {
			delete(c.workers, a)
		}
	}
}

func (c *Core) used(addr string) bool {
	for _, r := range c.runs {
		if r.worker == addr {
			return true
		}
	}
	return false
}

// settled reports whether every lease that a former holder gave has ended.
func (c *Core) settled(now time.Time) bool {
	return now.After(c.began.Add(c.o.Lease + margin))
}

// unsuspect gives back what a former holder may have started and no worker has shown.
// It has certainly ended; but as it may have run, it isn't started under the same number.
func (c *Core) unsuspect() {
	for p := range c.suspect {
		delete(c.suspect, p)
		c.giveBack(p, 0)
	}
}

// Tick returns what is to be done now.
func (c *Core) Tick(now time.Time, conf Config) []Action {
	c.now, c.conf = now, conf
	if c.settled(now) {
		c.unsuspect()
	}
	for _, addr := range slices.Sorted(maps.Keys(c.workers)) {
		c.tend(now, c.workers[addr])
	}
	c.drop()
	c.start(now)
	return c.take()
}

func (c *Core) take() []Action {
	out := c.out
	c.out = nil
	return out
}

// tend fences or renews a worker, or gives it up when its lease has run out.
func (c *Core) tend(now time.Time, w *worker) {
	if !w.over.IsZero() && now.After(w.over) {
		c.lapse(now, w)
	}
	if w.busy || now.Sub(w.tried) < c.o.Lease/6 {
		return
	}
	if w.fenced && now.Sub(w.seen) > c.o.Lease/2 {
		// It's silent. Each renewal may have reached it and prolongs the wait for the end
		// of its lease; with renewals going on the wait would never end, and the tasks of
		// a worker that died would never be run elsewhere.
		return
	}
	w.busy, w.tried = true, now
	if !w.fenced {
		c.out = append(c.out, Fence{w.addr, wire.FenceRequest{Epoch: c.o.Ep}})
		return
	}
	c.renew(now, w)
}

// renew extends the worker's lease. Its tasks stop at the latest when, by this
// process's clock, a lease has passed since now.
func (c *Core) renew(now time.Time, w *worker) {
	w.over = now.Add(c.o.Lease + margin)
	c.out = append(c.out, Renew{w.addr, wire.RenewRequest{Epoch: c.o.Ep, Until: w.at(now.Add(c.o.Lease))}})
}

// lapse gives up a worker that couldn't be renewed: its tasks have stopped and go back
// with what their checkpoints keep. Finished ones stay: the worker holds their results.
// So does a start that is still in time: fenced and renewed again, the worker would take it.
func (c *Core) lapse(now time.Time, w *worker) {
	w.fenced = false
	for _, r := range c.sorted() {
		if r.worker == w.addr && (r.holds() || r.state == stateStopped) && now.After(r.bound.Add(margin)) {
			c.giveBack(r.place, r.task.ResumeFrom)
			delete(c.runs, r.place)
		}
	}
}

func (c *Core) sorted() []*run {
	list := slices.Collect(maps.Values(c.runs))
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.place.No, b.place.No) })
	return list
}

func (c *Core) bucket(p jobs.Placement) string { return c.o.Bucket(p.Job) }

func (c *Core) giveBack(p jobs.Placement, kept time.Duration) {
	c.backs[p] = max(kept, c.backs[p])
	delete(c.wants[c.bucket(p)], p)
}

// drop stops what is no longer wanted here, what the failure domain may no longer run,
// and lets workers forget what is recorded.
func (c *Core) drop() {
	for _, r := range c.sorted() {
		if r.asked {
			continue
		}
		switch r.state {
		case stateStarting:
			c.doubt(r)
		case stateRunning, stateStopping:
			c.evict(r)
		case stateFinished:
			if r.counts {
				c.act(r, wire.VerbAcceptResult)
			} else if r.forget {
				c.act(r, wire.VerbForget)
			}
		case stateFailed:
			if r.forget {
				c.act(r, wire.VerbForget)
			}
		case stateStopped:
			c.giveBack(r.place, r.done)
			c.act(r, wire.VerbForget)
		}
	}
	if c.conf.Usable {
		return
	}
	for _, m := range c.wants {
		for p, w := range m {
			if c.runs[p] == nil && !c.suspect[p] {
				c.giveBack(p, w.task.From)
			}
		}
	}
}

// doubt gives back a start of unknown outcome once the worker has shown, after the last
// moment at which it could have arrived, that it didn't.
func (c *Core) doubt(r *run) {
	w := c.workers[r.worker]
	if r.unsure && w != nil && w.heard.After(r.bound.Add(margin)) {
		delete(c.runs, r.place)
		c.giveBack(r.place, r.task.ResumeFrom)
	}
}

func (c *Core) evict(r *run) {
	switch {
	case !c.wanted(r.place):
		r.state = stateStopping
		c.act(r, wire.VerbStop)
	case !c.conf.Usable || r.state == stateStopping:
		r.state = stateStopping
		c.act(r, wire.VerbCheckpoint)
	}
}

// wanted reports whether the placement's bucket wants it here, as far as it has spoken yet.
func (c *Core) wanted(p jobs.Placement) bool {
	m, spoken := c.wants[c.bucket(p)]
	if !spoken {
		return true
	}
	_, ok := m[p]
	return ok
}

// act sends a command about a run to its worker.
//
// A worker may forget a task only when no start of it can arrive any more: one that was
// held up on its way would run the task a second time, on resources that the ledger
// has given to others.
func (c *Core) act(r *run, verb wire.Verb) {
	if w := c.workers[r.worker]; w == nil || !w.fenced {
		return
	}
	forgets := verb == wire.VerbForget || verb == wire.VerbAcceptResult
	if forgets && r.unsure && !c.now.After(r.bound.Add(margin)) {
		return
	}
	r.asked = true
	c.out = append(c.out, Act{r.worker, r.place, wire.TaskCommandRequest{Epoch: c.o.Ep, TaskID: r.place.String(), Verb: verb}})
}

// giveUp is how long a task waits for room before it goes back.
const giveUp = 5 * time.Second

// start starts the wanted tasks that have no run, and repeats starts of unknown outcome.
//
// Nothing starts unless the configuration was confirmed lately. The start carries the
// end of that time on the worker's clock: the check alone doesn't help when this
// process is paused between it and the sending.
func (c *Core) start(now time.Time) {
	end := c.conf.Confirmed.Add(c.o.Fresh)
	if !c.conf.Usable || !now.Before(end) {
		return
	}
	for _, r := range c.sorted() {
		if r.state == stateStarting && !r.asked {
			c.command(r, end)
		}
	}
	list := c.ledger()
	for _, w := range c.waiting() {
		if a := choose(now, list, w.task.Spec.Size); a != nil {
			a.free = a.free.Minus(w.task.Spec.Size)
			a.runs++
			c.command(c.newRun(a.worker, w.task), end)
		} else if now.Sub(w.since) > giveUp {
			c.giveBack(w.task.Place, w.task.From)
		}
	}
}

// waiting returns the wanted placements that aren't started, in order.
func (c *Core) waiting() []want {
	var list []want
	for _, m := range c.wants {
		for p, w := range m {
			if c.runs[p] == nil && !c.suspect[p] {
				list = append(list, w)
			}
		}
	}
	slices.SortFunc(list, func(a, b want) int {
		return cmp.Or(cmp.Compare(a.task.Spec.Precedence(), b.task.Spec.Precedence()), a.since.Compare(b.since),
			cmp.Compare(a.task.Place.Job, b.task.Place.Job), cmp.Compare(a.task.Place.Index, b.task.Place.Index))
	})
	return list
}

func (c *Core) newRun(w *worker, t jobs.Task) *run {
	r := &run{place: t.Place, worker: w.addr, size: t.Spec.Size, state: stateStarting,
		task: wire.Task{ID: t.Place.String(), Size: t.Spec.Size, Duration: t.Spec.Run, ResumeFrom: t.From, LongRunning: t.Spec.Standing}}
	c.runs[t.Place] = r
	return r
}

func (c *Core) command(r *run, end time.Time) {
	w := c.workers[r.worker]
	if w == nil || !w.fenced {
		return
	}
	r.asked, r.bound = true, end
	c.out = append(c.out, Start{r.worker, r.place, wire.StartRequest{Epoch: c.o.Ep, NotAfter: w.at(end), Task: r.task}})
}

// account is what the ledger says of one worker.
type account struct {
	worker *worker
	free   wire.Size
	runs   int // tasks known there, whether they occupy resources or not
}

// ledger returns the accounts of the workers in order of address. It is worked out from
// the runs in one pass, so that there is no second copy of them to fall out of step.
func (c *Core) ledger() []account {
	list := make([]account, 0, len(c.workers))
	at := make(map[string]int, len(c.workers))
	for _, addr := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[addr]
		at[addr] = len(list)
		list = append(list, account{worker: w, free: w.size})
	}
	for _, r := range c.runs {
		i, ok := at[r.worker]
		if !ok {
			continue
		}
		list[i].runs++
		if r.holds() {
			list[i].free = list[i].free.Minus(r.size)
		}
	}
	return list
}

// choose returns the account of the worker where the task leaves least, nil when it
// fits nowhere.
func choose(now time.Time, list []account, s wire.Size) *account {
	var best *account
	var rest wire.Size
	for i := range list {
		a := &list[i]
		if !a.takes(now) || !a.free.Covers(s) {
			continue
		}
		if f := a.free.Minus(s); best == nil || tighter(f, rest) {
			best, rest = a, f
		}
	}
	return best
}

// takes reports whether the worker gets new tasks: one at a time after a rest.
func (a *account) takes(now time.Time) bool {
	w := a.worker
	if !w.fenced || now.Before(w.rests) {
		return false
	}
	return w.poor < poorLimit || a.runs == 0
}

func tighter(a, b wire.Size) bool {
	return cmp.Or(cmp.Compare(a.Accel, b.Accel), cmp.Compare(a.CPU, b.CPU), cmp.Compare(a.Mem, b.Mem)) < 0
}

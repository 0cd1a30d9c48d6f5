package drive

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// WorkerClient speaks to the workers.
type WorkerClient interface {
	// Poll asks a worker for its report; wait is bounded by the poll's own.
	Poll(ctx context.Context, l sched.Poll, fence int64) (sched.Report, sched.Outcome)
	// Order gives an order.
	Order(ctx context.Context, o sched.Order, fence int64) sched.Outcome
}

// Intent is what operators have written.
type Intent struct {
	Config sched.Config
	Known  bool            // there is a configuration
	Out    map[string]bool // failure domains that are taken out
	Upkeep []string        // rounds of upkeep of workers' hosts that operators ask for; none is served
}

// Codec reads what operators and workers have written in the store.
type Codec struct {
	IntentPrefix string
	Intent       func([]store.Entry) (Intent, error)
	RosterPrefix string
	// Member reads a worker's entry in the directory; false says that it names none.
	Member func(store.Entry) (sched.Member, bool)
}

// Options of a Holder.
type Options struct {
	Store   store.Multi
	Workers WorkerClient
	Codec   Codec
	Lease   time.Duration // granted to workers
	Hold    time.Duration // longest lease that workers grant
	Sure    time.Duration // see sched.Options
	Stop    time.Duration // longest time that a worker takes to stop a run
	Keep    time.Duration // for which ended jobs are known
	Log     logr.Logger
	Tenure  *lead.Tenure
	Scope   tally.Scope // nil: nothing is counted
	// PeersSure tells when most of this process's peers last reached the store as little as it
	// did; nil: never.
	PeersSure func() time.Time
}

// Keys in the store.
const (
	keyJob     = "job/"    // a job as it was handed in, below its id
	keyRun     = "run/"    // its progress
	keyTracked = "crew"    // the workers that may hold runs
	keyLearned = "learned" // what has been learned of images
)

// Times of a Holder's own.
const (
	intentEvery = 700 * time.Millisecond // plain reads of what operators wrote, within a second of a cut watch
	rosterEvery = 900 * time.Millisecond // plain reads of the directory; with a slow read, within the age that sched allows it
	rosterPause = 200 * time.Millisecond // between two watches of the directory, where each worker writes every second or so
	planEvery   = 100 * time.Millisecond // plans without an event: lapses, rests and occurrences fall due
	planPause   = 2 * time.Millisecond   // after a plan, so that events that come together share one
	planRest    = 9                      // how many times as long as a plan took the pause after it is at least
	// gatherPause is how long ends wait to be stored with others: some 100 end each second on
	// a busy day, and a call of the store costs as much as a tenth of a second of a task.
	gatherPause  = 20 * time.Millisecond
	loadPause    = 100 * time.Millisecond
	missPause    = 150 * time.Millisecond // after a poll without an answer
	ackWait      = 500 * time.Millisecond // for the ends of a poll to be stored
	forgetEvery  = 10 * time.Second
	learnedEvery = 3 * time.Second // between two records of what has been learned
	// stuckAfter is how long a write may take before hand-ins are refused at once.
	stuckAfter = 600 * time.Millisecond
)

// Holder does a tenure's work.
type Holder struct {
	opt    Options
	log    logr.Logger
	ctx    context.Context
	orders func(verb, outcome string)
	ends   func(verb, outcome string)
	plan   chan struct{}
	commit chan struct{}
	rush   chan struct{} // commit, with a caller waiting
	lag    lag
	wg     sync.WaitGroup

	contacts contacts
	roster   roster // of the directory's watch

	mu      sync.Mutex
	core    *sched.Core // nil until loaded
	intent  bool        // a configuration is there
	polled  map[string]bool
	subs    []*submission
	byID    map[string]*submission
	waiting map[string][]chan struct{} // for a job's next record to be stored
	stored  chan struct{}              // closed with each write
	busy    time.Time                  // since when a write is under way
	crew    []sched.Member             // as recorded
	counted int                        // number of workers, as recorded
	upkeep  map[string]bool            // rounds that were told of in the log
	learned time.Time                  // when what has been learned was last recorded
}

// submission is a job that waits to be stored.
type submission struct {
	job  *sched.Job
	data []byte
	done chan struct{}
	sent bool
}

// Run does the work of a tenure until it is over.
func Run(opt Options, ready func(*Holder)) error {
	h := &Holder{
		opt:     opt,
		log:     opt.Log.WithValues("term", opt.Tenure.Term()),
		ctx:     opt.Tenure.Context(),
		plan:    make(chan struct{}, 1),
		commit:  make(chan struct{}, 1),
		rush:    make(chan struct{}, 1),
		polled:  map[string]bool{},
		byID:    map[string]*submission{},
		waiting: map[string][]chan struct{}{},
		stored:  make(chan struct{}),
		upkeep:  map[string]bool{},
		counted: opt.Tenure.Load(),

		contacts: newContacts(),
		roster:   roster{decode: opt.Codec.Member},
	}
	if h.opt.Scope == nil {
		h.opt.Scope = tally.NoopScope
	}
	h.orders = countBy(h.opt.Scope, "orders")
	h.ends = countBy(h.opt.Scope, "ends")
	began := time.Now()
	h.lag.began = began
	watches, err := h.load(began)
	if err != nil {
		return err
	}
	h.log.Info("took over", "jobs", len(h.core.Jobs()), "workers", len(h.core.Workers()), "took", time.Since(began))
	ready(h)
	for _, f := range watches {
		h.wg.Go(func() { f.run(h.ctx) })
	}
	h.poll()
	h.wg.Go(h.commits)
	h.wg.Go(h.forgets)
	wait.Kick(h.commit)
	h.plans()
	h.wg.Wait()
	return nil
}

// Workers returns how many workers may hold runs, as recorded for the next holder.
func (h *Holder) Workers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counted
}

// Waiting reports whether tasks are held back because a worker that isn't reached may run them.
func (h *Holder) Waiting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Standing(time.Now()).Held > 0
}

// load reads everything from the store, again until it succeeds or the tenure is over.
func (h *Holder) load(began time.Time) ([]*watch, error) {
	for {
		watches, err := h.tryLoad(began)
		if err == nil {
			return watches, nil
		}
		h.log.Info("not loaded yet", "cause", err.Error())
		if !wait.For(h.ctx, loadPause) {
			return nil, errors.Wrap(err, "drive")
		}
	}
}

func (h *Holder) tryLoad(began time.Time) ([]*watch, error) {
	core := sched.New(sched.Options{
		Lease: h.opt.Lease, Hold: h.opt.Hold, Stop: h.opt.Stop, Sure: h.opt.Sure, Term: h.opt.Tenure.Term(),
	}, began)
	crew, err := h.readTracked()
	if err != nil {
		return nil, err
	}
	if err := h.readJobs(core, began); err != nil {
		return nil, err
	}
	if err := h.readLearned(core); err != nil {
		return nil, err
	}
	core.Inherit(began, crew)
	h.mu.Lock()
	h.core = core
	h.crew = crew
	h.mu.Unlock()
	watches := []*watch{
		{store: h.opt.Store, prefix: h.opt.Codec.IntentPrefix, plain: intentEvery, apply: h.applyIntent, read: h.readIntent},
		{store: h.opt.Store, prefix: h.opt.Codec.RosterPrefix, plain: rosterEvery, pause: rosterPause, apply: h.applyRoster, read: h.readRoster},
	}
	for _, f := range watches {
		if err := f.load(h.ctx); err != nil {
			return nil, err
		}
	}
	return watches, nil
}

func (h *Holder) readTracked() ([]sched.Member, error) {
	e, err := h.opt.Store.Get(h.ctx, keyTracked)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var crew []sched.Member
	err = json.Unmarshal(e.Value, &crew)
	return crew, errors.Wrap(err, "drive: crew")
}

func (h *Holder) readLearned(core *sched.Core) error {
	e, err := h.opt.Store.Get(h.ctx, keyLearned)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := core.Relearn(e.Value); err != nil {
		h.log.Error(err, "learning anew")
	}
	return nil
}

// readJobs restores every job. The progress is read first: a job that ends in between is
// then still there or known to have ended, and none does, as the tenure's claim has ended
// the former holder's writes.
func (h *Holder) readJobs(core *sched.Core, now time.Time) error {
	runs, err := h.opt.Store.Range(h.ctx, keyRun)
	if err != nil {
		return err
	}
	jobs, err := h.opt.Store.Range(h.ctx, keyJob)
	if err != nil {
		return err
	}
	progress := make(map[string][]byte, len(runs.Entries))
	for _, e := range runs.Entries {
		progress[e.Key[len(keyRun):]] = e.Value
	}
	for _, e := range jobs.Entries {
		id := e.Key[len(keyJob):]
		spec := &sched.Job{}
		if err := json.Unmarshal(e.Value, spec); err != nil {
			return errors.Wrapf(err, "drive: job %s", id)
		}
		if err := core.Restore(now, id, spec, progress[id]); err != nil {
			return err
		}
		delete(progress, id)
	}
	for id, data := range progress {
		if err := core.Restore(now, id, nil, data); err != nil {
			return err
		}
	}
	return nil
}

func (h *Holder) applyIntent(_ time.Time, entries []store.Entry) {
	in, err := h.opt.Codec.Intent(entries)
	if err != nil {
		h.log.Error(err, "configuration not understood")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.core.Config().Version; in.Known && in.Config.Version > old {
		h.log.Info("configuration", "from", old, "to", in.Config.Version, "queues", len(in.Config.Queues))
	}
	if in.Known {
		h.intent = true
		h.core.Configure(in.Config)
	}
	h.core.Out(in.Out)
	for _, u := range in.Upkeep {
		if !h.upkeep[u] {
			h.upkeep[u] = true
			h.log.Info("refused", "upkeep", u, "cause", "upkeep of workers' hosts isn't served")
		}
	}
	h.event()
}

func (h *Holder) applyRoster(at time.Time, entries []store.Entry) {
	members := h.roster.members(entries)
	h.mu.Lock()
	h.core.Roster(at, members)
	h.mu.Unlock()
	h.poll()
	h.event()
	wait.Kick(h.commit)
}

func (h *Holder) readIntent(began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.ReadIntent(began)
}

func (h *Holder) readRoster(began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.ReadRoster(began)
}

// countBy returns a counter by verb and outcome.
func countBy(scope tally.Scope, name string) func(verb, outcome string) {
	var counters sync.Map // of [2]string to tally.Counter: a scope takes long to find one by its tags
	return func(verb, outcome string) {
		key := [2]string{verb, outcome}
		c, ok := counters.Load(key)
		if !ok {
			c, _ = counters.LoadOrStore(key, scope.Tagged(map[string]string{"verb": verb, "outcome": outcome}).Counter(name))
		}
		c.(tally.Counter).Inc(1)
	}
}

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
	Poll(ctx context.Context, l sched.PollRequest, fence int64) (sched.Report, sched.Outcome)
	// SendOrder gives an order.
	SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome
}

// Intent is what operators have written.
type Intent struct {
	Config              sched.Config
	HasConfig           bool            // there is a configuration
	EvacuatedZones      map[string]bool // failure domains that are taken out
	MaintenanceRequests []string        // rounds of upkeep of workers' hosts that operators ask for; none is served
}

// Codec reads what operators and workers have written in the store.
type Codec struct {
	IntentPrefix    string
	DecodeIntent    func([]store.Entry) (Intent, error)
	DirectoryPrefix string
	// DecodeMember reads a worker's entry in the directory; false says that it names none.
	DecodeMember func(store.Entry) (sched.Member, bool)
}

// Options of a Holder.
type Options struct {
	Store          store.Multi
	Workers        WorkerClient
	Codec          Codec
	WorkerLease    time.Duration // granted to workers
	MaxWorkerLease time.Duration // longest lease that workers grant
	MaxUnconfirmed time.Duration // see sched.Options
	MaxStopTime    time.Duration // longest time that a worker takes to stop a run
	JobRetention   time.Duration // for which ended jobs are known
	Log            logr.Logger
	Tenure         *lead.Tenure
	Scope          tally.Scope // nil: nothing is counted
	// PeersConfirmedAt tells when most of this process's peers last reached the store as little as it
	// did; nil: never.
	PeersConfirmedAt func() time.Time
}

// Keys in the store.
const (
	jobPrefix         = "job/"    // a job as it was handed in, below its id
	progressPrefix    = "run/"    // its progress
	keyTrackedWorkers = "crew"    // the workers that may hold runs
	keyLearnedModel   = "learned" // what has been learned of images
)

// Times of a Holder's own.
const (
	intentReadInterval    = 700 * time.Millisecond // plain reads of what operators wrote, within a second of a cut watch
	directoryReadInterval = 900 * time.Millisecond // plain reads of the directory; with a slow read, within the age that sched allows it
	directoryWatchPause   = 200 * time.Millisecond // between two watches of the directory, where each worker writes every second or so
	planInterval          = 100 * time.Millisecond // plans without an event: lapses, rests and occurrences fall due
	minPlanPause          = 2 * time.Millisecond   // after a plan, so that events that come together share one
	planPauseFactor       = 9                      // how many times as long as a plan took the pause after it is at least
	// commitDelay is how long ends wait to be stored with others: some 100 end each second on
	// a busy day, and a call of the store costs as much as a tenth of a second of a task.
	commitDelay          = 20 * time.Millisecond
	loadRetryDelay       = 100 * time.Millisecond
	pollRetryDelay       = 150 * time.Millisecond // after a poll without an answer
	maxStoreWait         = 500 * time.Millisecond // for the ends of a poll to be stored
	forgetInterval       = 10 * time.Second
	learnedModelInterval = 3 * time.Second // between two records of what has been learned
	// stalledWriteAfter is how long a write may take before hand-ins are refused at once.
	stalledWriteAfter = 600 * time.Millisecond
)

// Holder does a tenure's work.
type Holder struct {
	opt          Options
	log          logr.Logger
	ctx          context.Context
	countOrder   func(verb, outcome string)
	countEnd     func(verb, outcome string)
	planWake     chan struct{}
	commitWake   chan struct{}
	urgentCommit chan struct{} // commit, with a caller waiting
	planLag      planLag
	wg           sync.WaitGroup

	pollLimiter pollLimiter
	directory   directoryDecoder // of the directory's watch

	mu                   sync.Mutex
	core                 *sched.Core // nil until loaded
	hasConfig            bool        // a configuration is there
	polling              map[string]bool
	submissions          []*submission
	submissionsByID      map[string]*submission
	recordWaiters        map[string][]chan struct{} // for a job's next record to be stored
	commitDone           chan struct{}              // closed with each write
	writeStarted         time.Time                  // since when a write is under way
	trackedWorkers       []sched.Member             // as recorded
	trackedCount         int                        // number of workers, as recorded
	loggedMaintenance    map[string]bool            // rounds that were told of in the log
	learnedModelStoredAt time.Time                  // when what has been learned was last recorded
}

// submission is a job that waits to be stored.
type submission struct {
	job     *sched.Job
	data    []byte
	done    chan struct{}
	writing bool
}

// Run does the work of a tenure until it is over.
func Run(opt Options, ready func(*Holder)) error {
	h := &Holder{
		opt:               opt,
		log:               opt.Log.WithValues("term", opt.Tenure.Term()),
		ctx:               opt.Tenure.Context(),
		planWake:          make(chan struct{}, 1),
		commitWake:        make(chan struct{}, 1),
		urgentCommit:      make(chan struct{}, 1),
		polling:           map[string]bool{},
		submissionsByID:   map[string]*submission{},
		recordWaiters:     map[string][]chan struct{}{},
		commitDone:        make(chan struct{}),
		loggedMaintenance: map[string]bool{},
		trackedCount:      opt.Tenure.Load(),

		pollLimiter: newPollLimiter(),
		directory:   directoryDecoder{decode: opt.Codec.DecodeMember},
	}
	if h.opt.Scope == nil {
		h.opt.Scope = tally.NoopScope
	}
	h.countOrder = newOutcomeCounter(h.opt.Scope, "orders")
	h.countEnd = newOutcomeCounter(h.opt.Scope, "ends")
	began := time.Now()
	h.planLag.started = began
	watches, err := h.loadState(began)
	if err != nil {
		return err
	}
	h.log.Info("took over", "jobs", len(h.core.JobIDs()), "workers", len(h.core.Workers()), "took", time.Since(began))
	ready(h)
	for _, f := range watches {
		h.wg.Go(func() { f.run(h.ctx) })
	}
	h.startPolling()
	h.wg.Go(h.commitLoop)
	h.wg.Go(h.forgetLoop)
	wait.Kick(h.commitWake)
	h.planLoop()
	h.wg.Wait()
	return nil
}

// TrackedWorkerCount returns how many workers may hold runs, as recorded for the next holder.
func (h *Holder) TrackedWorkerCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.trackedCount
}

// HasWithheldTasks reports whether tasks are held back because a worker that isn't reached may run them.
func (h *Holder) HasWithheldTasks() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Stats(time.Now()).WithheldTasks > 0
}

// loadState reads everything from the store, again until it succeeds or the tenure is over.
func (h *Holder) loadState(began time.Time) ([]*prefixWatch, error) {
	for {
		watches, err := h.tryLoadState(began)
		if err == nil {
			return watches, nil
		}
		h.log.Info("not loaded yet", "cause", err.Error())
		if !wait.For(h.ctx, loadRetryDelay) {
			return nil, errors.Wrap(err, "drive")
		}
	}
}

func (h *Holder) tryLoadState(began time.Time) ([]*prefixWatch, error) {
	core := sched.New(sched.Options{
		WorkerLease: h.opt.WorkerLease, MaxWorkerLease: h.opt.MaxWorkerLease, MaxStopTime: h.opt.MaxStopTime, MaxUnconfirmed: h.opt.MaxUnconfirmed, Term: h.opt.Tenure.Term(),
	}, began)
	crew, err := h.readTrackedWorkers()
	if err != nil {
		return nil, err
	}
	if err := h.readJobs(core, began); err != nil {
		return nil, err
	}
	if err := h.readLearnedModel(core); err != nil {
		return nil, err
	}
	core.InheritWorkers(began, crew)
	h.mu.Lock()
	h.core = core
	h.trackedWorkers = crew
	h.mu.Unlock()
	watches := []*prefixWatch{
		{store: h.opt.Store, prefix: h.opt.Codec.IntentPrefix, readInterval: intentReadInterval, onChange: h.applyIntent, onConfirm: h.noteIntentRead},
		{store: h.opt.Store, prefix: h.opt.Codec.DirectoryPrefix, readInterval: directoryReadInterval, pause: directoryWatchPause, onChange: h.applyDirectory, onConfirm: h.noteDirectoryRead},
	}
	for _, f := range watches {
		if err := f.readAll(h.ctx); err != nil {
			return nil, err
		}
	}
	return watches, nil
}

func (h *Holder) readTrackedWorkers() ([]sched.Member, error) {
	e, err := h.opt.Store.Get(h.ctx, keyTrackedWorkers)
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

func (h *Holder) readLearnedModel(core *sched.Core) error {
	e, err := h.opt.Store.Get(h.ctx, keyLearnedModel)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := core.RestoreModel(e.Value); err != nil {
		h.log.Error(err, "learning anew")
	}
	return nil
}

// readJobs restores every job. The progress is read first: a job that ends in between is
// then still there or known to have ended, and none does, as the tenure's claim has ended
// the former holder's writes.
func (h *Holder) readJobs(core *sched.Core, now time.Time) error {
	runs, err := h.opt.Store.Range(h.ctx, progressPrefix)
	if err != nil {
		return err
	}
	jobs, err := h.opt.Store.Range(h.ctx, jobPrefix)
	if err != nil {
		return err
	}
	progress := make(map[string][]byte, len(runs.Entries))
	for _, e := range runs.Entries {
		progress[e.Key[len(progressPrefix):]] = e.Value
	}
	for _, e := range jobs.Entries {
		id := e.Key[len(jobPrefix):]
		spec := &sched.Job{}
		if err := json.Unmarshal(e.Value, spec); err != nil {
			return errors.Wrapf(err, "drive: job %s", id)
		}
		if err := core.RestoreJob(now, id, spec, progress[id]); err != nil {
			return err
		}
		delete(progress, id)
	}
	for id, data := range progress {
		if err := core.RestoreJob(now, id, nil, data); err != nil {
			return err
		}
	}
	return nil
}

func (h *Holder) applyIntent(_ time.Time, entries []store.Entry) {
	in, err := h.opt.Codec.DecodeIntent(entries)
	if err != nil {
		h.log.Error(err, "configuration not understood")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.core.Config().Version; in.HasConfig && in.Config.Version > old {
		h.log.Info("configuration", "from", old, "to", in.Config.Version, "queues", len(in.Config.Queues))
	}
	if in.HasConfig {
		h.hasConfig = true
		h.core.SetConfig(in.Config)
	}
	h.core.SetEvacuatedZones(in.EvacuatedZones)
	for _, u := range in.MaintenanceRequests {
		if !h.loggedMaintenance[u] {
			h.loggedMaintenance[u] = true
			h.log.Info("refused", "upkeep", u, "cause", "upkeep of workers' hosts isn't served")
		}
	}
	h.requestPlan()
}

func (h *Holder) applyDirectory(at time.Time, entries []store.Entry) {
	members := h.directory.decodeAll(entries)
	h.mu.Lock()
	h.core.UpdateDirectory(at, members)
	h.mu.Unlock()
	h.startPolling()
	h.requestPlan()
	wait.Kick(h.commitWake)
}

func (h *Holder) noteIntentRead(began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.NoteIntentRead(began)
}

func (h *Holder) noteDirectoryRead(began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.NoteDirectoryRead(began)
}

// newOutcomeCounter returns a counter by verb and outcome.
func newOutcomeCounter(scope tally.Scope, name string) func(verb, outcome string) {
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

package drive

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// WorkerClient makes calls to the workers. The fence of a call is the fencing token; see sched.Core.Fence.
type WorkerClient interface {
	// Poll asks a worker for its report. The request says how long to wait for the answer.
	Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome)
	// SendOrder sends an order to its worker and returns the outcome.
	SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome
}

// LaneRouter is a WorkerClient that makes its calls over agents.
type LaneRouter interface {
	// Lanes returns a function that names the agent for a worker's calls, or returns an empty string if they are made
	// directly, and a version that changes with its results.
	Lanes() (version uint64, laneOf func(worker string) string)
}

// Intent is what operators have written in the store.
type Intent struct {
	Config              sched.Config    // valid if HasConfig
	HasConfig           bool            // operators have written a configuration
	EvacuatedZones      map[string]bool // failure domains that operators have taken out
	MaintenanceRequests []string        // requested maintenance of workers' hosts; it isn't supported, so each request is logged as refused
}

// Codec decodes what operators and workers have written in the store.
type Codec struct {
	IntentPrefix    string                              // of the operators' keys
	DecodeIntent    func([]store.Entry) (Intent, error) // decodes all entries below IntentPrefix
	DirectoryPrefix string                              // of the directory's keys
	// DecodeMember decodes a worker's entry in the directory, of which each worker has one. It returns false for an
	// entry that names no worker.
	DecodeMember func(store.Entry) (sched.Member, bool)
}

// RelayReader reads from the store over another process, which sends what it has read compressed. A read is as fresh as one
// that begins with the call.
type RelayReader interface {
	// ReadChanged reads the entries below prefix that follow key, and that of key itself if its revision isn't rev, as the
	// first one; it reports whether it isn't. An empty key precedes all.
	ReadChanged(ctx context.Context, prefix, key string, rev uint64) (listing store.Listing, changed bool, err error)
}

// Options configures a Holder.
type Options struct {
	Store          store.TxnStore // holds the jobs, their progress, the intent and the directory
	Workers        WorkerClient   // reaches the workers
	Codec          Codec          // decodes the intent and the directory
	WorkerLease    time.Duration  // granted to workers
	MaxWorkerLease time.Duration  // longest lease that workers grant
	MaxUnconfirmed time.Duration  // how long tasks are started and leases granted after a confirmation
	MaxStopTime    time.Duration  // longest time that a worker takes to stop a run
	JobRetention   time.Duration  // how long ended jobs stay known
	Log            logr.Logger
	Tenure         *lead.Tenure // this process's time as the holder
	Scope          tally.Scope  // for metrics; nil: none
	// MemoryLimit is the memory in bytes at which this process is ended; 0: not known. ReadMemory returns the memory
	// that it uses; nil: the memory isn't watched.
	MemoryLimit uint64
	ReadMemory  func() MemoryUsage
	// Relay reads large values, as this process's link is too narrow for them; nil: they are read directly.
	Relay RelayReader
	// PeersConfirmedAt returns when most peers of this process last confirmed that they reach the store
	// no better than it does. If it is nil, peers never confirm the holder.
	PeersConfirmedAt func() time.Time
}

// Keys in the store.
const (
	jobPrefix         = "job/"    // followed by a job's id: the job as submitted
	progressPrefix    = "run/"    // followed by a job's id: its progress
	cancelledPrefix   = "void/"   // followed by an id: its cancel found no job
	keyTrackedWorkers = "crew"    // the workers that may hold runs
	keyLearnedModel   = "learned" // what has been learned about images
)

// Intervals, delays and limits of a Holder.
const (
	// intentReadInterval is the interval of full reads of the intent. A change is read within a second even if the
	// watch is cut off.
	intentReadInterval = 700 * time.Millisecond
	// directoryReadInterval is the interval of full reads of the directory. Even with a slow read the copy stays
	// within the age that sched allows.
	directoryReadInterval = 900 * time.Millisecond
	directoryWatchPause   = 200 * time.Millisecond // between two watches of the directory, to which each worker writes about once a second
	planInterval          = 100 * time.Millisecond // between plans without an event: leases expire, cooldowns end and occurrences fall due
	minPlanPause          = 2 * time.Millisecond   // least pause after a plan, so that events close together share one plan
	// planPauseFactor is the least pause after a plan, in multiples of the time that the plan took. With 9, planning
	// takes a tenth of the time at most.
	planPauseFactor = 9
	// limitedPauseFactor is the same after a plan that the start limiter ended: most of its time went into starts that have to
	// be made anyway, and others wait for the next plan.
	limitedPauseFactor = 2
	// maxStopDelay is the longest rest of the pause for which stops and throttles wait.
	maxStopDelay = 20 * time.Millisecond
	// maxPlanPause bounds the pause, as the time that a plan took includes the time for which it waited for the processor.
	maxPlanPause = 500 * time.Millisecond
	// commitDelay is how long ended runs wait to be stored with others. Under high load some 100 runs end
	// each second, and a call to the store costs as much as a tenth of a second of a task.
	commitDelay          = 20 * time.Millisecond
	pollRetryDelay       = 150 * time.Millisecond // after a poll without an answer
	forgetInterval       = 10 * time.Second       // between removals of jobs past their retention
	learnedModelInterval = 3 * time.Second        // between two writes of the learned model
	// stalledWriteAfter is the duration of a write from which on submissions are refused at once.
	stalledWriteAfter = 600 * time.Millisecond
)

// Holder carries out the decisions of the scheduling core during one tenure of this process as the holder.
type Holder struct {
	opt          Options
	log          logr.Logger
	ctx          context.Context            // ends with the tenure
	countOrder   func(verb, outcome string) // counts an order
	countEnd     func(verb, outcome string) // counts the end of a run
	planWake     chan struct{}              // wakes planLoop
	commitWake   chan struct{}              // wakes commitLoop, which may wait for more changes
	urgentCommit chan struct{}              // wakes commitLoop for a waiting caller, without delay
	cancelWake   chan struct{}              // wakes storeCancelledIDs
	planLag      planLag
	wg           sync.WaitGroup

	runLog      *runLog
	pollLimiter pollLimiter
	directory   directoryDecoder // used by the directory's watch only

	loaded chan struct{} // closed when the state is loaded

	mu                   sync.Mutex                 // guards the fields below
	core                 *sched.Core                // nil until the tracked workers are loaded
	hasConfig            bool                       // the core has a configuration
	polling              map[string]bool            // ids of the workers that have a polling goroutine
	polls                map[string]*workerPoll     // the newest poll of each worker, by id
	submissions          []*submission              // not part of a write yet, oldest first
	submissionsByID      map[string]*submission     // neither stored nor withdrawn, by job id
	cancelledIDs         cancelledIDs               // of late submissions
	unstoredCancels      []*cancelledID             // of these, those to be stored
	recordWaiters        map[string][]chan struct{} // closed when the job's next record is stored, by job id
	ackWaiters           map[string]chan struct{}   // closed when the worker's next poll may acknowledge its ends, by worker id
	writeStarted         time.Time                  // start of the write in flight; zero: none
	trackedWorkers       []sched.Member             // as last stored
	trackedCount         int                        // number of tracked workers, as last stored
	trackedVersion       uint64                     // of the core's list of tracked workers when it was last collected; 0: never
	loggedMaintenance    map[string]bool            // maintenance requests that were logged as refused
	learnedModelStoredAt time.Time                  // when the learned model was last collected for a write
	admission            admission                  // decides whether new jobs are accepted
	undecodedJobs        map[string]error           // jobs in the store that can't be decoded, by id
}

// Run does the work of a tenure until the tenure is over. It calls ready once the state is loaded, and
// returns an error if the tenure ends before.
func Run(opt Options, ready func(*Holder)) error {
	h := &Holder{
		opt:               opt,
		log:               opt.Log.WithValues("term", opt.Tenure.Term()),
		ctx:               opt.Tenure.Context(),
		planWake:          make(chan struct{}, 1),
		commitWake:        make(chan struct{}, 1),
		urgentCommit:      make(chan struct{}, 1),
		cancelWake:        make(chan struct{}, 1),
		polling:           map[string]bool{},
		polls:             map[string]*workerPoll{},
		submissionsByID:   map[string]*submission{},
		recordWaiters:     map[string][]chan struct{}{},
		ackWaiters:        map[string]chan struct{}{},
		loggedMaintenance: map[string]bool{},
		trackedCount:      opt.Tenure.Load(),

		loaded:      make(chan struct{}),
		pollLimiter: newPollLimiter(),
	}
	h.directory = directoryDecoder{decode: h.decodeMember, leftOut: h.logLeftOut}
	if h.opt.Scope == nil {
		h.opt.Scope = tally.NoopScope
	}
	h.runLog = newRunLog(h.log)
	h.admission = newAdmission(h.opt)
	h.countOrder = newOutcomeCounter(h.opt.Scope, "orders")
	h.countEnd = newOutcomeCounter(h.opt.Scope, "ends")
	start := time.Now()
	h.planLag.started = start
	watches, err := h.loadState(start)
	if err != nil {
		h.wg.Wait()
		return err
	}
	h.log.Info("took over", "jobs", len(h.core.JobIDs()), "workers", len(h.core.Workers()), "took", time.Since(start))
	ready(h)
	for _, w := range watches {
		h.wg.Go(func() { w.run(h.ctx) })
	}
	h.pollWorkers()
	h.wg.Go(h.commitLoop)
	h.wg.Go(h.forgetLoop)
	h.wg.Go(h.storeCancelledIDs)
	h.wg.Go(h.confirmAfterFormerLeases)
	wait.Wake(h.commitWake)
	h.planLoop()
	h.wg.Wait()
	h.runLog.flush(time.Now(), true)
	return nil
}

// TrackedWorkerCount returns how many workers may hold runs, as stored for the next holder.
func (h *Holder) TrackedWorkerCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.trackedCount
}

// StartDemand returns how many starts are asked for.
func (h *Holder) StartDemand() sched.StartDemand {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.StartDemand(time.Now())
}

// HasWithheldTasks reports whether tasks are withheld because a worker out of contact may still run them.
func (h *Holder) HasWithheldTasks() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Stats(time.Now()).WithheldTasks > 0
}

// applyIntent passes the operators' intent to the core.
func (h *Holder) applyIntent(_ time.Time, entries []store.Entry) {
	intent, err := h.opt.Codec.DecodeIntent(entries)
	if err != nil {
		h.log.Error(err, "operators' intent not decoded; the previous one stays in force")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.core.Config().Version; intent.HasConfig && intent.Config.Version > old {
		h.log.Info("configuration", "from", old, "to", intent.Config.Version, "queues", len(intent.Config.Queues))
	}
	if intent.HasConfig {
		h.hasConfig = true
		h.core.SetConfig(intent.Config)
	}
	h.core.SetEvacuatedZones(intent.EvacuatedZones)
	for _, request := range intent.MaintenanceRequests {
		if !h.loggedMaintenance[request] {
			h.loggedMaintenance[request] = true
			h.log.Info("refused", "upkeep", request, "cause", "upkeep of workers' hosts isn't served")
		}
	}
	h.requestPlan()
}

// applyDirectory passes the workers listed in the directory to the core and polls new ones.
func (h *Holder) applyDirectory(at time.Time, entries []store.Entry) {
	members := h.directory.decodeAll(entries)
	h.mu.Lock()
	h.core.UpdateDirectory(at, members)
	for _, m := range members {
		h.interruptPoll(m.ID)
	}
	h.mu.Unlock()
	h.pollWorkers()
	h.requestPlan()
	wait.Wake(h.commitWake)
}

// updateDirectory passes changes of the directory to the core and polls new workers.
func (h *Holder) updateDirectory(at time.Time, changed []store.Entry, deleted []string) {
	members, removed := h.directory.decodeChanges(changed, deleted)
	h.mu.Lock()
	h.core.UpdateMembers(at, members, removed)
	for _, m := range members {
		h.interruptPoll(m.ID)
	}
	h.startPolling(members)
	h.mu.Unlock()
	h.requestPlan()
	wait.Wake(h.commitWake)
}

// noteIntentRead tells the core that its copy of the intent is no older than a read that began at start.
func (h *Holder) noteIntentRead(start time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.NoteIntentRead(start)
}

// noteDirectoryRead tells the core that its copy of the directory is no older than a read that began at start.
func (h *Holder) noteDirectoryRead(start time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.NoteDirectoryRead(start)
}

// newOutcomeCounter returns a function that counts events by verb and outcome.
func newOutcomeCounter(scope tally.Scope, name string) func(verb, outcome string) {
	var counters sync.Map // of [2]string{verb, outcome} to tally.Counter: a scope is slow in finding a counter by its tags
	return func(verb, outcome string) {
		key := [2]string{verb, outcome}
		c, ok := counters.Load(key)
		if !ok {
			c, _ = counters.LoadOrStore(key, scope.Tagged(map[string]string{"verb": verb, "outcome": outcome}).Counter(name))
		}
		c.(tally.Counter).Inc(1)
	}
}

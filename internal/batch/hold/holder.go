package hold

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/ctrl/shard"
	"bramleysail.example/bramleysail/internal/ctrl/sheet"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/plat/hosts"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// The names of the assignment tables.
const (
	BucketTable = "buckets" // which process holds each bucket of jobs
	RackTable   = "racks"   // which process holds each rack of workers
)

var (
	// ErrOutcomeUnknown means that the holder of the job's bucket didn't confirm the call: it
	// can't be reached or hasn't read the record yet. The submission or cancellation may still
	// take effect; repeating it is safe.
	ErrOutcomeUnknown = errors.New("hold: bucket not reached; the outcome is unknown, repeat the call")
	// ErrNotEncoded means that a submission or cancellation can't be encoded for the store. Nothing was changed.
	ErrNotEncoded = errors.New("hold: the change can't be encoded for the store; nothing was changed")
)

// Options are the settings of a Holder. All fields are required.
type Options struct {
	Store        store.Store
	Group        *member.Group        // this process and its peers
	Assigner     *shard.Assigner      // reads and plans the tables that assign buckets and racks
	Links        *link.Set            // connections to peers
	Config       func() sheet.Config  // the configuration in force
	ConfigAge    func() time.Duration // time since the configuration was last confirmed
	Hosts        func() []hosts.Host  // the host list
	BucketCount  int                  // number of buckets
	LeaseTTL     time.Duration        // lease of a worker; its tasks stop when it expires
	PollInterval time.Duration        // between two polls of the workers; Run does all its work at this interval
	MaxConfigAge time.Duration        // greatest age of the configuration's last confirmation when a task starts
	CallTimeout  time.Duration        // of one call to a peer or a worker
	Log          logr.Logger
	Scope        tally.Scope
}

// Holder runs the buckets and racks that this process holds. The lock guards the maps.
type Holder struct {
	opts         Options
	workerClient *workerClient

	mu       sync.Mutex
	buckets  map[string]*heldBucket // by name
	racks    map[string]*heldRack   // by name
	claiming map[string]bool        // claims under way, by table and item
	syncing  map[string]bool        // processes with a call of syncWith under way, by id
	wg       sync.WaitGroup         // the goroutines that Run waits for
}

// New returns a Holder that holds nothing yet.
func New(o Options) *Holder {
	return &Holder{opts: o, workerClient: newWorkerClient(o.CallTimeout), buckets: map[string]*heldBucket{},
		racks: map[string]*heldRack{}, claiming: map[string]bool{}, syncing: map[string]bool{}}
}

// BucketName returns the name of the n-th bucket.
func BucketName(n int) string { return fmt.Sprintf("b%03d", n) }

// BucketOf returns the name of the bucket that a job belongs to. It never changes for a job.
func (h *Holder) BucketOf(job string) string {
	f := fnv.New32a()
	_, _ = f.Write([]byte(job))
	return BucketName(int(f.Sum32() % uint32(h.opts.BucketCount)))
}

// Items returns all buckets and racks that processes may hold, by table.
func (h *Holder) Items() map[string][]shard.Item {
	out := map[string][]shard.Item{}
	for i := range h.opts.BucketCount {
		out[BucketTable] = append(out[BucketTable], shard.Item{Name: BucketName(i)})
	}
	for rack, zone := range h.rackZones() {
		out[RackTable] = append(out[RackTable], shard.Item{Name: rack, Zone: zone})
	}
	return out
}

// rackZones returns the failure domain of each rack on the host list.
func (h *Holder) rackZones() map[string]string {
	zones := map[string]string{}
	for _, w := range h.opts.Hosts() {
		if w.Kind == hosts.KindWorker {
			zones[w.Rack] = w.Zone
		}
	}
	return zones
}

// Run claims and runs the buckets and racks that are assigned to this process, every PollInterval until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	t := time.NewTicker(h.opts.PollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			h.wg.Wait()
			h.workerClient.close()
			return
		case <-t.C:
			h.reconcile(ctx)
			h.tickRacks(ctx)
			h.syncRacks(ctx)
		}
	}
}

// reconcile drops the buckets and racks that are no longer assigned to this process, and claims
// those that are newly assigned.
func (h *Holder) reconcile(ctx context.Context) {
	buckets, racks := h.opts.Assigner.OwnAssignments(BucketTable), h.opts.Assigner.OwnAssignments(RackTable)
	if !h.opts.Assigner.Authorized() {
		return // the assignments may be out of date, so nothing is started or stopped
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, b := range h.buckets {
		if r, ok := buckets[name]; !ok || r.Epoch != b.epoch {
			b.close()
			delete(h.buckets, name)
		}
	}
	for name, r := range h.racks {
		if assignment, ok := racks[name]; !ok || assignment.Epoch != r.epoch {
			delete(h.racks, name)
		}
	}
	for name, assignment := range buckets {
		if h.buckets[name] == nil {
			h.startClaim(ctx, BucketTable, name, assignment, h.loadBucket)
		}
	}
	zones := h.rackZones()
	for name, assignment := range racks {
		// A rack that isn't on the host list yet is not claimed: it stays with its former holder.
		if zone, ok := zones[name]; ok && h.racks[name] == nil {
			h.startClaim(ctx, RackTable, name, assignment, func(_ context.Context, name string, assignment shard.Assignment) {
				h.addRack(name, zone, assignment)
			})
		}
	}
}

// startClaim claims an item in the background, unless a claim is under way, and calls start once
// it is claimed. The lock is held.
func (h *Holder) startClaim(ctx context.Context, table, name string, assignment shard.Assignment, start func(context.Context, string, shard.Assignment)) {
	key := table + "/" + name
	if h.claiming[key] {
		return
	}
	h.claiming[key] = true
	h.wg.Go(func() {
		defer func() {
			h.mu.Lock()
			delete(h.claiming, key)
			h.mu.Unlock()
		}()
		if h.claimItem(ctx, table, name, assignment) {
			start(ctx, name, assignment)
		}
	})
}

// YieldArgs asks a process to stop acting on an item that is assigned to the caller.
type YieldArgs struct {
	Table string
	Item  string // name of the bucket or rack
	Ep    uint64 // epoch of the caller's holding
}

// claimItem makes sure that no other process acts on an item any more, and returns false if
// it couldn't. Every other member has to confirm that it has stopped. A process that isn't a
// member needs no call: its lease has expired, and it has stopped by its own clock. Calling
// the former holder alone wouldn't be enough: when an item is reassigned twice in quick
// succession, that process may never have taken it over, while the holder before it still
// acts on it.
func (h *Holder) claimItem(ctx context.Context, table, name string, assignment shard.Assignment) bool {
	if assignment.FormerHolder == "" {
		return true
	}
	self := h.opts.Group.Self().ID
	for _, m := range h.opts.Group.View().Members() {
		if m.ID == self {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
		yielded, err := link.Call[YieldArgs, bool](callCtx, h.opts.Links.Get(m.Addr), "Peer.Yield", YieldArgs{table, name, assignment.Epoch})
		cancel()
		if err != nil || !yielded {
			return false
		}
	}
	return true
}

// HandleYield handles the RPC Peer.Yield: it stops acting on an item that another process claims with a newer epoch.
func (h *Holder) HandleYield(in YieldArgs) bool {
	h.opts.Assigner.YieldItem(in.Table, in.Item, in.Ep)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch in.Table {
	case BucketTable:
		if b := h.buckets[in.Item]; b != nil && b.epoch < in.Ep {
			b.close()
			delete(h.buckets, in.Item)
		}
	case RackTable:
		if r := h.racks[in.Item]; r != nil && r.epoch < in.Ep {
			delete(h.racks, in.Item)
		}
	}
	return true
}

// CountHeld returns the number of racks and buckets that this process holds.
func (h *Holder) CountHeld() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.racks) + len(h.buckets)
}

// HeldNames returns the sorted names of the racks and of the buckets that this process holds.
func (h *Holder) HeldNames() (racks, buckets []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.racks)), slices.Sorted(maps.Keys(h.buckets))
}

// getBucket returns a bucket that this process holds, or nil.
func (h *Holder) getBucket(name string) *heldBucket {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.buckets[name]
}

// kindAllowed reports whether the configuration declares a kind of job for a failure domain.
func kindAllowed(c sheet.Config, kind, zone string) bool {
	j, ok := c.Sheet().FindJobKind(kind)
	return ok && slices.Contains(j.Zones, zone)
}

// bucketHolder returns the member that a bucket is assigned to.
func (h *Holder) bucketHolder(bucket string) (member.Member, bool) {
	return h.opts.Group.View().Get(h.opts.Assigner.HolderOf(BucketTable, bucket))
}

// SubmitArgs is a submission or a cancellation that is sent to the holder of a job's bucket.
type SubmitArgs struct {
	Spec   jobs.Spec // only its ID is used for a cancellation
	Cancel bool      // cancel the job instead of submitting it
}

// SubmitReply is the reply to SubmitArgs.
type SubmitReply struct {
	Job  jobs.Job // as the store holds it, with CodeOK
	Code Code
	Text string // the error, with any other code
}

// Code is the stable name of the outcome of a submission or cancellation.
type Code string

// The outcomes of a submission or cancellation.
const (
	CodeOK             Code = "ok"
	CodeInvalid        Code = "invalid"         // the spec is invalid
	CodeIDTaken        Code = "id-taken"        // a different job has the id
	CodeNotFound       Code = "not-found"       // no job has the id
	CodeBucketFull     Code = "full"            // no room in the bucket's record
	CodeNotEncoded     Code = "not-encoded"     // the change can't be encoded; nothing was changed
	CodeOutcomeUnknown Code = "outcome-unknown" // not confirmed; it may still take effect
)

// Submit sends a submission or a cancellation to the holder of the job's bucket and waits
// until the store holds its effect. With CodeOutcomeUnknown it may or may not take effect;
// repeating the call is safe.
func (h *Holder) Submit(ctx context.Context, in SubmitArgs) SubmitReply {
	if !in.Cancel {
		if err := h.validate(in.Spec); err != nil {
			return SubmitReply{Code: CodeInvalid, Text: err.Error()}
		}
	}
	t := time.NewTicker(commitInterval)
	defer t.Stop()
	for {
		reply := h.submitOnce(ctx, in)
		if reply.Code != CodeOutcomeUnknown {
			return reply
		}
		// The bucket is being reassigned or its holder is unreachable. The call is idempotent, so
		// it is repeated.
		select {
		case <-ctx.Done():
			return reply
		case <-t.C:
		}
	}
}

// submitOnce makes one attempt to send a submission or a cancellation to the bucket's holder.
func (h *Holder) submitOnce(ctx context.Context, in SubmitArgs) SubmitReply {
	name := h.BucketOf(in.Spec.ID)
	if h.getBucket(name) != nil {
		return h.SubmitLocal(ctx, in)
	}
	m, ok := h.bucketHolder(name)
	if !ok || m.ID == h.opts.Group.Self().ID {
		return SubmitReply{Code: CodeOutcomeUnknown, Text: ErrOutcomeUnknown.Error()}
	}
	reply, err := link.Call[SubmitArgs, SubmitReply](ctx, h.opts.Links.Get(m.Addr), "Peer.Submit", in)
	if err != nil {
		return SubmitReply{Code: CodeOutcomeUnknown, Text: ErrOutcomeUnknown.Error()}
	}
	return reply
}

// validate returns an error for a spec that is invalid or whose kind isn't declared.
func (h *Holder) validate(s jobs.Spec) error {
	if err := s.Validate(); err != nil {
		return err
	}
	if _, ok := h.opts.Config().Sheet().FindJobKind(s.Kind); !ok {
		return errors.Wrap(jobs.ErrInvalidSpec, fmt.Sprintf("kind: %q is not declared in the sheet in force", s.Kind))
	}
	return nil
}

// SubmitLocal handles a submission or a cancellation for a bucket that this process holds.
func (h *Holder) SubmitLocal(ctx context.Context, in SubmitArgs) SubmitReply {
	b := h.getBucket(h.BucketOf(in.Spec.ID))
	if b == nil {
		return SubmitReply{Code: CodeOutcomeUnknown, Text: ErrOutcomeUnknown.Error()}
	}
	return b.submit(ctx, in)
}

// ReadJob reads a job from the store, whichever process holds its bucket.
func (h *Holder) ReadJob(ctx context.Context, id string) SubmitReply {
	entry, err := h.opts.Store.Get(ctx, bucketKeyPrefix+h.BucketOf(id))
	if errors.Is(err, store.ErrNotFound) {
		return SubmitReply{Code: CodeNotFound, Text: jobs.ErrNotFound.Error()}
	}
	if err != nil {
		return SubmitReply{Code: CodeOutcomeUnknown, Text: err.Error()}
	}
	record, err := decodeBucket(entry.Value)
	if err != nil {
		return SubmitReply{Code: CodeOutcomeUnknown, Text: err.Error()}
	}
	j := record.Jobs[id]
	if j == nil {
		return SubmitReply{Code: CodeNotFound, Text: jobs.ErrNotFound.Error()}
	}
	return SubmitReply{Job: *j, Code: CodeOK}
}

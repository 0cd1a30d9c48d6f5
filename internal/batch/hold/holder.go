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

// The tables of what is held.
const (
	BucketTable = "buckets"
	RackTable   = "racks"
)

var (
	// ErrOutcomeUnknown says that whoever holds the job's bucket can't be reached or hasn't the
	// record yet. The submission or cancellation may yet take effect; repeating it is safe.
	ErrOutcomeUnknown = errors.New("hold: bucket not reached; the outcome is unknown, repeat the call")
)

// Options says how a Holder is set up; all fields are needed.
type Options struct {
	Store        store.Store
	Group        *member.Group
	Keeper       *shard.Assigner
	Links        *link.Set
	Config       func() sheet.Config
	ConfigAge    func() time.Duration // of the last confirmation of the configuration
	Hosts        func() []hosts.Host
	BucketCount  int
	LeaseTTL     time.Duration // of workers' tasks
	PollInterval time.Duration // between two rounds
	MaxConfigAge time.Duration
	CallTimeout  time.Duration // of one call to a peer or a worker
	Log          logr.Logger
	Scope        tally.Scope
}

// Holder runs what the process holds; New makes one and Run keeps it going.
type Holder struct {
	opts         Options
	workerClient *workerClient

	mu       sync.Mutex
	buckets  map[string]*heldBucket
	racks    map[string]*heldRack
	claiming map[string]bool // under way, by table and item
	syncing  map[string]bool // reports under way, by process
	wg       sync.WaitGroup
}

// New returns a holder of nothing.
func New(o Options) *Holder {
	return &Holder{opts: o, workerClient: newWorkerClient(o.CallTimeout), buckets: map[string]*heldBucket{},
		racks: map[string]*heldRack{}, claiming: map[string]bool{}, syncing: map[string]bool{}}
}

// BucketName returns the name of the n-th bucket.
func BucketName(n int) string { return fmt.Sprintf("b%03d", n) }

// BucketOf returns the bucket that a job belongs to, for good.
func (h *Holder) BucketOf(job string) string {
	f := fnv.New32a()
	_, _ = f.Write([]byte(job))
	return BucketName(int(f.Sum32() % uint32(h.opts.BucketCount)))
}

// Items returns what there is to be held.
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

func (h *Holder) rackZones() map[string]string {
	zones := map[string]string{}
	for _, w := range h.opts.Hosts() {
		if w.Kind == hosts.KindWorker {
			zones[w.Rack] = w.Zone
		}
	}
	return zones
}

// Run works until ctx ends.
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

// reconcile brings what is run here in line with the tables.
func (h *Holder) reconcile(ctx context.Context) {
	buckets, racks := h.opts.Keeper.OwnAssignments(BucketTable), h.opts.Keeper.OwnAssignments(RackTable)
	if !h.opts.Keeper.Authorized() {
		return // nothing is begun or ended while it isn't certain what is held
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
		if row, ok := racks[name]; !ok || row.Epoch != r.epoch {
			delete(h.racks, name)
		}
	}
	for name, row := range buckets {
		if h.buckets[name] == nil {
			h.startClaim(ctx, BucketTable, name, row, h.loadBucket)
		}
	}
	zones := h.rackZones()
	for name, row := range racks {
		// A rack that the host list doesn't name yet stays with its former holder.
		if zone, ok := zones[name]; ok && h.racks[name] == nil {
			h.startClaim(ctx, RackTable, name, row, func(_ context.Context, name string, row shard.Assignment) {
				h.addRack(name, zone, row)
			})
		}
	}
}

// startClaim takes an item over in the background; the lock is held.
func (h *Holder) startClaim(ctx context.Context, table, name string, row shard.Assignment, take func(context.Context, string, shard.Assignment)) {
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
		if h.claimItem(ctx, table, name, row) {
			take(ctx, name, row)
		}
	})
}

// YieldArgs asks a former holder to act no more on an item.
type YieldArgs struct {
	Table string
	Item  string
	Ep    uint64
}

// claimItem makes sure that no other process acts on the item any more: members say so
// themselves; the lease of one that isn't a member has lapsed, and it has stopped by
// its own clock. All are asked, not only the holder before: when an item moves on
// quickly, that one may never have taken it over, and the one before it is still at it.
func (h *Holder) claimItem(ctx context.Context, table, name string, row shard.Assignment) bool {
	if row.FormerHolder == "" {
		return true
	}
	self := h.opts.Group.Self().ID
	for _, m := range h.opts.Group.View().Members() {
		if m.ID == self {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
		done, err := link.Call[YieldArgs, bool](cctx, h.opts.Links.Get(m.Addr), "Peer.Yield", YieldArgs{table, name, row.Epoch})
		cancel()
		if err != nil || !done {
			return false
		}
	}
	return true
}

// HandleYield answers a claim.
func (h *Holder) HandleYield(in YieldArgs) bool {
	h.opts.Keeper.YieldItem(in.Table, in.Item, in.Ep)
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

// CountHeld returns how many racks and buckets are held here.
func (h *Holder) CountHeld() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.racks) + len(h.buckets)
}

// HeldNames returns the racks and the buckets that are held here, in order.
func (h *Holder) HeldNames() (racks, buckets []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.racks)), slices.Sorted(maps.Keys(h.buckets))
}

func (h *Holder) getBucket(name string) *heldBucket {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.buckets[name]
}

// kindAllowed reports whether a kind of job may use a failure domain.
func kindAllowed(c sheet.Config, kind, zone string) bool {
	j, ok := c.Sheet().FindJobKind(kind)
	return ok && slices.Contains(j.Zones, zone)
}

// bucketHolder returns the member that holds a bucket.
func (h *Holder) bucketHolder(bucket string) (member.Member, bool) {
	return h.opts.Group.View().Get(h.opts.Keeper.HolderOf(BucketTable, bucket))
}

// SubmitArgs carries a job to its bucket's holder, or with Cancel set its id.
type SubmitArgs struct {
	Spec   jobs.Spec
	Cancel bool
}

// SubmitReply is its answer: the job as the store holds it, or why not.
type SubmitReply struct {
	Job  jobs.Job
	Code Code
	Text string
}

// Code is the stable name of the outcome of a submission or cancellation.
type Code string

// The outcomes.
const (
	CodeOK             Code = "ok"
	CodeInvalid        Code = "invalid"
	CodeIDTaken        Code = "id-taken"
	CodeNotFound       Code = "not-found"
	CodeBucketFull     Code = "full"
	CodeOutcomeUnknown Code = "outcome-unknown"
)

// Submit brings a job, or its cancellation, to where it belongs and waits until the
// store holds it. With CodeAway it may or may not come to be held; repeating is safe.
func (h *Holder) Submit(ctx context.Context, in SubmitArgs) SubmitReply {
	if !in.Cancel {
		if err := h.validate(in.Spec); err != nil {
			return SubmitReply{Code: CodeInvalid, Text: err.Error()}
		}
	}
	t := time.NewTicker(commitInterval)
	defer t.Stop()
	for {
		rep := h.submitOnce(ctx, in)
		if rep.Code != CodeOutcomeUnknown {
			return rep
		}
		// The bucket is changing hands or its holder is away; the call is idempotent.
		select {
		case <-ctx.Done():
			return rep
		case <-t.C:
		}
	}
}

// submitOnce brings a job to its bucket's holder once.
func (h *Holder) submitOnce(ctx context.Context, in SubmitArgs) SubmitReply {
	name := h.BucketOf(in.Spec.ID)
	if h.getBucket(name) != nil {
		return h.SubmitLocal(ctx, in)
	}
	m, ok := h.bucketHolder(name)
	if !ok || m.ID == h.opts.Group.Self().ID {
		return SubmitReply{Code: CodeOutcomeUnknown, Text: ErrOutcomeUnknown.Error()}
	}
	rep, err := link.Call[SubmitArgs, SubmitReply](ctx, h.opts.Links.Get(m.Addr), "Peer.Submit", in)
	if err != nil {
		return SubmitReply{Code: CodeOutcomeUnknown, Text: ErrOutcomeUnknown.Error()}
	}
	return rep
}

// validate refuses what can't be run whatever happens.
func (h *Holder) validate(s jobs.Spec) error {
	if err := s.Validate(); err != nil {
		return err
	}
	if _, ok := h.opts.Config().Sheet().FindJobKind(s.Kind); !ok {
		return errors.Wrap(jobs.ErrInvalidSpec, fmt.Sprintf("kind: %q is not declared in the sheet in force", s.Kind))
	}
	return nil
}

// SubmitLocal takes in a job, or its cancellation, for a bucket held here.
func (h *Holder) SubmitLocal(ctx context.Context, in SubmitArgs) SubmitReply {
	b := h.getBucket(h.BucketOf(in.Spec.ID))
	if b == nil {
		return SubmitReply{Code: CodeOutcomeUnknown, Text: ErrOutcomeUnknown.Error()}
	}
	return b.submit(ctx, in)
}

// ReadJob returns a job as the store holds it.
func (h *Holder) ReadJob(ctx context.Context, id string) SubmitReply {
	e, err := h.opts.Store.Get(ctx, bucketKeyPrefix+h.BucketOf(id))
	if errors.Is(err, store.ErrNotFound) {
		return SubmitReply{Code: CodeNotFound, Text: jobs.ErrNotFound.Error()}
	}
	if err != nil {
		return SubmitReply{Code: CodeOutcomeUnknown, Text: err.Error()}
	}
	rec, err := decodeBucket(e.Value)
	if err != nil {
		return SubmitReply{Code: CodeOutcomeUnknown, Text: err.Error()}
	}
	j := rec.Jobs[id]
	if j == nil {
		return SubmitReply{Code: CodeNotFound, Text: jobs.ErrNotFound.Error()}
	}
	return SubmitReply{Job: *j, Code: CodeOK}
}

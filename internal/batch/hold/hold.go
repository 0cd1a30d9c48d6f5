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
	// ErrAway says that whoever holds the job's bucket can't be reached or hasn't the
	// record yet. The submission or cancellation may yet take effect; repeating it is safe.
	ErrAway = errors.New("hold: bucket not reached; the outcome is unknown, repeat the call")
)

// Options says how a Holder is set up; all fields are needed.
type Options struct {
	Store   store.Store
	Group   *member.Group
	Keeper  *shard.Keeper
	Links   *link.Set
	Config  func() sheet.Config
	Age     func() time.Duration // of the last confirmation of the configuration
	Hosts   func() []hosts.Host
	Buckets int
	Lease   time.Duration // of workers' tasks
	Poll    time.Duration // between two rounds
	Fresh   time.Duration
	Timeout time.Duration // of one call to a peer or a worker
	Log     logr.Logger
	Scope   tally.Scope
}

// Holder runs what the process holds; New makes one and Run keeps it going.
type Holder struct {
	o       Options
	workers *workers

	mu      sync.Mutex
	buckets map[string]*bucket
	racks   map[string]*rackHolding
	claims  map[string]bool // under way, by table and item
	calls   map[string]bool // reports under way, by process
	wg      sync.WaitGroup
}

// New returns a holder of nothing.
func New(o Options) *Holder {
	return &Holder{o: o, workers: newWorkers(o.Timeout), buckets: map[string]*bucket{},
		racks: map[string]*rackHolding{}, claims: map[string]bool{}, calls: map[string]bool{}}
}

// BucketName returns the name of the n-th bucket.
func BucketName(n int) string { return fmt.Sprintf("b%03d", n) }

// Bucket returns the bucket that a job belongs to, for good.
func (h *Holder) Bucket(job string) string {
	f := fnv.New32a()
	_, _ = f.Write([]byte(job))
	return BucketName(int(f.Sum32() % uint32(h.o.Buckets)))
}

// Items returns what there is to be held.
func (h *Holder) Items() map[string][]shard.Item {
	out := map[string][]shard.Item{}
	for i := range h.o.Buckets {
		out[BucketTable] = append(out[BucketTable], shard.Item{Name: BucketName(i)})
	}
	for rack, zone := range h.rackZones() {
		out[RackTable] = append(out[RackTable], shard.Item{Name: rack, Zone: zone})
	}
	return out
}

func (h *Holder) rackZones() map[string]string {
	zones := map[string]string{}
	for _, w := range h.o.Hosts() {
		if w.Kind == hosts.KindWorker {
			zones[w.Rack] = w.Zone
		}
	}
	return zones
}

// Run works until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	t := time.NewTicker(h.o.Poll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			h.wg.Wait()
			h.workers.close()
			return
		case <-t.C:
			h.follow(ctx)
			h.tend(ctx)
			h.round(ctx)
		}
	}
}

// follow brings what is run here in line with the tables.
func (h *Holder) follow(ctx context.Context) {
	buckets, racks := h.o.Keeper.Mine(BucketTable), h.o.Keeper.Mine(RackTable)
	if !h.o.Keeper.Sure() {
		return // nothing is begun or ended while it isn't certain what is held
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, b := range h.buckets {
		if r, ok := buckets[name]; !ok || r.Ep != b.ep {
			b.end()
			delete(h.buckets, name)
		}
	}
	for name, r := range h.racks {
		if row, ok := racks[name]; !ok || row.Ep != r.ep {
			delete(h.racks, name)
		}
	}
	for name, row := range buckets {
		if h.buckets[name] == nil {
			h.begin(ctx, BucketTable, name, row, h.takeBucket)
		}
	}
	zones := h.rackZones()
	for name, row := range racks {
		// A rack that the host list doesn't name yet stays with its former holder.
		if zone, ok := zones[name]; ok && h.racks[name] == nil {
			h.begin(ctx, RackTable, name, row, func(_ context.Context, name string, row shard.Row) {
				h.takeRack(name, zone, row)
			})
		}
	}
}

// begin takes an item over in the background; the lock is held.
func (h *Holder) begin(ctx context.Context, table, name string, row shard.Row, take func(context.Context, string, shard.Row)) {
	key := table + "/" + name
	if h.claims[key] {
		return
	}
	h.claims[key] = true
	h.wg.Go(func() {
		defer func() {
			h.mu.Lock()
			delete(h.claims, key)
			h.mu.Unlock()
		}()
		if h.claim(ctx, table, name, row) {
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

// claim makes sure that no other process acts on the item any more: members say so
// themselves; the lease of one that isn't a member has lapsed, and it has stopped by
// its own clock. All are asked, not only the holder before: when an item moves on
// quickly, that one may never have taken it over, and the one before it is still at it.
func (h *Holder) claim(ctx context.Context, table, name string, row shard.Row) bool {
	if row.Was == "" {
		return true
	}
	self := h.o.Group.Self().ID
	for _, m := range h.o.Group.View().Members() {
		if m.ID == self {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, h.o.Timeout)
		done, err := link.Call[YieldArgs, bool](cctx, h.o.Links.Get(m.Addr), "Peer.Yield", YieldArgs{table, name, row.Ep})
		cancel()
		if err != nil || !done {
			return false
		}
	}
	return true
}

// Yield answers a claim.
func (h *Holder) Yield(in YieldArgs) bool {
	h.o.Keeper.Yield(in.Table, in.Item, in.Ep)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch in.Table {
	case BucketTable:
		if b := h.buckets[in.Item]; b != nil && b.ep < in.Ep {
			b.end()
			delete(h.buckets, in.Item)
		}
	case RackTable:
		if r := h.racks[in.Item]; r != nil && r.ep < in.Ep {
			delete(h.racks, in.Item)
		}
	}
	return true
}

// Held returns how many racks and buckets are held here.
func (h *Holder) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.racks) + len(h.buckets)
}

// Names returns the racks and the buckets that are held here, in order.
func (h *Holder) Names() (racks, buckets []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.racks)), slices.Sorted(maps.Keys(h.buckets))
}

func (h *Holder) getBucket(name string) *bucket {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.buckets[name]
}

// allowed reports whether a kind of job may use a failure domain.
func allowed(c sheet.Config, kind, zone string) bool {
	j, ok := c.Sheet().Kind(kind)
	return ok && slices.Contains(j.Zones, zone)
}

// holder returns the member that holds a bucket.
func (h *Holder) holder(bucket string) (member.Member, bool) {
	return h.o.Group.View().Get(h.o.Keeper.Holder(BucketTable, bucket))
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
	CodeOK      Code = "ok"
	CodeInvalid Code = "invalid"
	CodeExists  Code = "id-taken"
	CodeAbsent  Code = "not-found"
	CodeFull    Code = "full"
	CodeAway    Code = "outcome-unknown"
)

// Submit brings a job, or its cancellation, to where it belongs and waits until the
// store holds it. With CodeAway it may or may not come to be held; repeating is safe.
func (h *Holder) Submit(ctx context.Context, in SubmitArgs) SubmitReply {
	if !in.Cancel {
		if err := h.check(in.Spec); err != nil {
			return SubmitReply{Code: CodeInvalid, Text: err.Error()}
		}
	}
	t := time.NewTicker(commitEvery)
	defer t.Stop()
	for {
		rep := h.pass(ctx, in)
		if rep.Code != CodeAway {
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

// pass brings a job to its bucket's holder once.
func (h *Holder) pass(ctx context.Context, in SubmitArgs) SubmitReply {
	name := h.Bucket(in.Spec.ID)
	if h.getBucket(name) != nil {
		return h.Accept(ctx, in)
	}
	m, ok := h.holder(name)
	if !ok || m.ID == h.o.Group.Self().ID {
		return SubmitReply{Code: CodeAway, Text: ErrAway.Error()}
	}
	rep, err := link.Call[SubmitArgs, SubmitReply](ctx, h.o.Links.Get(m.Addr), "Peer.Submit", in)
	if err != nil {
		return SubmitReply{Code: CodeAway, Text: ErrAway.Error()}
	}
	return rep
}

// check refuses what can't be run whatever happens.
func (h *Holder) check(s jobs.Spec) error {
	if err := s.Check(); err != nil {
		return err
	}
	if _, ok := h.o.Config().Sheet().Kind(s.Kind); !ok {
		return errors.Wrap(jobs.ErrSpec, fmt.Sprintf("kind: %q is not declared in the sheet in force", s.Kind))
	}
	return nil
}

// Accept takes in a job, or its cancellation, for a bucket held here.
func (h *Holder) Accept(ctx context.Context, in SubmitArgs) SubmitReply {
	b := h.getBucket(h.Bucket(in.Spec.ID))
	if b == nil {
		return SubmitReply{Code: CodeAway, Text: ErrAway.Error()}
	}
	return b.submit(ctx, in)
}

// Show returns a job as the store holds it.
func (h *Holder) Show(ctx context.Context, id string) SubmitReply {
	e, err := h.o.Store.Get(ctx, bucketPrefix+h.Bucket(id))
	if errors.Is(err, store.ErrNotFound) {
		return SubmitReply{Code: CodeAbsent, Text: jobs.ErrAbsent.Error()}
	}
	if err != nil {
		return SubmitReply{Code: CodeAway, Text: err.Error()}
	}
	rec, err := decodeBucket(e.Value)
	if err != nil {
		return SubmitReply{Code: CodeAway, Text: err.Error()}
	}
	j := rec.Jobs[id]
	if j == nil {
		return SubmitReply{Code: CodeAbsent, Text: jobs.ErrAbsent.Error()}
	}
	return SubmitReply{Job: *j, Code: CodeOK}
}

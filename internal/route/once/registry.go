package once

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/peer/member"
)

// ErrHomeUnavailable says that the request was not begun: its home can't be reached or can't
// vouch for it yet. It has not run; it may be tried again later.
var ErrHomeUnavailable = errors.New("once: home not reached")

// BeginArgs asks a home to enter a request.
type BeginArgs struct {
	Epoch uint64 // of the sender's view
	ID    string
	Print uint64
	By    string
}

// BeginReply is a home's answer. Ready is false when the two views differ or the home
// has yet to learn what others know.
type BeginReply struct {
	Ready   bool
	Verdict Verdict
	Record  Record
}

// FinishArgs tells a home how a request ended; with Drop set that it was never sent.
type FinishArgs struct {
	Record Record
	Drop   bool
}

// PullArgs asks for the records whose home or witness the asker is in the view of that epoch.
type PullArgs struct {
	Epoch uint64
	By    string
}

// PullReply holds them; Ready is false while the giver's view is older. Blank is how
// long ago the giver's memory became incomplete, 0 when it's whole; Away are the members that know what is missing.
type PullReply struct {
	Ready bool
	Blank time.Duration
	Away  []string
	Rows  []Record
}

// Registry runs one process's part of the ids' homes. Each request is entered in the
// table of the process that sends it and in that of its home, the first member in
// the id's order; where these are the same process, the second is its witness. So
// what one lost process knew, another knows as well, and a process that becomes the
// home of an id learns it from the others before it answers.
type Registry struct {
	table      *Table
	group      *member.Group
	links      *link.Set
	log        logr.Logger
	rpcTimeout time.Duration // of one call

	mu          sync.Mutex
	syncedEpoch uint64 // epoch for which everything is known
	lost        lostMembers
	synced      bool
}

// NewRegistry returns the homes' part of a process.
func NewRegistry(t *Table, g *member.Group, l *link.Set, limit time.Duration, log logr.Logger) *Registry {
	return &Registry{table: t, group: g, links: l, rpcTimeout: limit, log: log}
}

const (
	retryInterval = 20 * time.Millisecond
	// maxBeginAttempts bounds how often a begin is repeated while views or homes settle.
	maxBeginAttempts = 50
)

// Begin enters the request here and at its home. Only Fresh with a nil error allows
// it to be sent.
func (h *Registry) Begin(ctx context.Context, id string, print uint64) (Verdict, Record, error) {
	self := h.group.Self().ID
	v, r := h.table.Begin(time.Now(), id, print, self, false, h.isMember)
	if v != VerdictNew {
		return v, r, nil
	}
	v, r, err := h.beginRemote(ctx, id, print, self)
	if err != nil || v != VerdictNew {
		h.table.DropUnsent(id, self)
	}
	if err != nil {
		go h.sendDrop(id, self)
	}
	return v, r, err
}

// beginRemote begins the request at the home, or at the witness when this process is the home.
func (h *Registry) beginRemote(ctx context.Context, id string, print uint64, self string) (Verdict, Record, error) {
	for range maxBeginAttempts {
		if !h.group.Authorized() {
			// When the store comes back, one process renews first and the others can't
			// be sure until they have, too, a moment later.
			if err := waitRetry(ctx); err != nil {
				return "", Record{}, err
			}
			continue
		}
		view := h.group.View()
		home, ok := view.HomeOf(id)
		if ok && home.ID == self {
			if !h.isSynced(view.Epoch()) {
				if err := waitRetry(ctx); err != nil {
					return "", Record{}, err
				}
				continue
			}
			home, ok = view.HomeOf(id, self)
		}
		if !ok {
			return VerdictNew, Record{}, nil // alone: nobody else could be asked about it either
		}
		rep, err := h.callBegin(ctx, home, BeginArgs{view.Epoch(), id, print, self})
		switch {
		case err != nil:
			return "", Record{}, errors.Wrap(ErrHomeUnavailable, err.Error())
		case rep.Ready:
			return rep.Verdict, rep.Record, nil
		}
		if err := waitRetry(ctx); err != nil {
			return "", Record{}, err
		}
	}
	return "", Record{}, errors.Wrap(ErrHomeUnavailable, "views or this process's membership did not settle")
}

func (h *Registry) callBegin(ctx context.Context, m member.Member, in BeginArgs) (BeginReply, error) {
	cctx, cancel := context.WithTimeout(ctx, h.rpcTimeout)
	defer cancel()
	return link.Call[BeginArgs, BeginReply](cctx, h.links.Get(m.Addr), "Peer.Begin", in)
}

func waitRetry(ctx context.Context) error {
	if !wait.For(ctx, retryInterval) {
		return errors.Wrap(ErrHomeUnavailable, ctx.Err().Error())
	}
	return nil
}

func (h *Registry) isMember(id string) bool {
	_, ok := h.group.View().Get(id)
	return ok
}

// HandleBegin answers a peer's Begin.
//
// It guards against two homes for one id: during a change of members two processes
// may each think they are the home. Equal views have one home, and a home answers in
// a view only after every member of it has moved to that view and passed on its records.
func (h *Registry) HandleBegin(in BeginArgs) BeginReply {
	view := h.group.View()
	var rep BeginReply
	if in.Epoch != view.Epoch() || !h.group.Authorized() {
		return rep
	}
	if home, _ := view.HomeOf(in.ID); home.ID == h.group.Self().ID && !h.isSynced(view.Epoch()) {
		return rep
	}
	rep.Ready = true
	rep.Verdict, rep.Record = h.table.Begin(time.Now(), in.ID, in.Print, in.By, true, h.isMember)
	return rep
}

// Finish notes how a request that was begun here ended, here and at its home.
func (h *Registry) Finish(r Record) {
	r.By = h.group.Self().ID
	h.table.Finish(time.Now(), r)
	h.sendFinish(FinishArgs{Record: r})
}

// DropUnsent notes that a request that was begun here was certainly not sent.
func (h *Registry) DropUnsent(id string) {
	self := h.group.Self().ID
	h.table.DropUnsent(id, self)
	h.sendDrop(id, self)
}

func (h *Registry) sendDrop(id, by string) {
	h.sendFinish(FinishArgs{Record: Record{ID: id, By: by}, Drop: true})
}

// sendFinish passes the word to the home and the witness, a few times if it is lost. A home
// that never hears it answers repeats with "running" and, once this process is gone,
// with "unknown": both true.
func (h *Registry) sendFinish(in FinishArgs) {
	self := h.group.Self().ID
	view := h.group.View()
	home, ok := view.HomeOf(in.Record.ID)
	if ok && home.ID == self {
		home, ok = view.HomeOf(in.Record.ID, self)
	}
	if !ok {
		return
	}
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), h.rpcTimeout)
		_, err := link.Call[FinishArgs, bool](ctx, h.links.Get(home.Addr), "Peer.Finish", in)
		cancel()
		if err == nil {
			return
		}
	}
}

// HandleFinish takes in a peer's word on how a request ended.
func (h *Registry) HandleFinish(in FinishArgs) {
	if in.Drop {
		h.table.DropUnsent(in.Record.ID, in.Record.By)
		return
	}
	h.table.Finish(time.Now(), in.Record)
}

// HandlePull answers a peer's Pull with the records whose home or witness it is.
//
// The witness's copy guards against deaths one after the other: when the process that
// sent a request dies, its home alone knows of it, and a repeat after the home's death
// would run it again.
func (h *Registry) HandlePull(in PullArgs) PullReply {
	view := h.group.View()
	if view.Epoch() < in.Epoch {
		return PullReply{}
	}
	h.mu.Lock()
	away := h.lost.absentIDs()
	h.mu.Unlock()
	return PullReply{Ready: true, Blank: h.table.IncompleteSince(time.Now()), Away: away, Rows: h.table.Select(func(id string) bool {
		home, ok := view.HomeOf(id)
		if ok && home.ID != in.By {
			home, ok = view.HomeOf(id, home.ID)
		}
		return ok && home.ID == in.By
	})}
}

func (h *Registry) isSynced(epoch uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.synced && h.syncedEpoch == epoch
}

// SyncView learns what the other members of a new view know, until a newer view comes
// or ctx ends. It returns at once for a view that has nobody else in it.
func (h *Registry) SyncView(ctx context.Context, view member.View) {
	self := h.group.Self().ID
	todo := map[string]member.Member{}
	for _, m := range view.Members() {
		if m.ID != self {
			todo[m.ID] = m
		}
	}
	for len(todo) > 0 && ctx.Err() == nil && h.group.View().Epoch() == view.Epoch() {
		for id, m := range todo {
			if h.pullRecords(ctx, m, view.Epoch()) {
				delete(todo, id)
			}
		}
		if len(todo) > 0 && waitRetry(ctx) != nil {
			return
		}
	}
	if len(todo) == 0 {
		h.markSynced(view)
	}
}

func (h *Registry) pullRecords(ctx context.Context, m member.Member, epoch uint64) bool {
	cctx, cancel := context.WithTimeout(ctx, 4*h.rpcTimeout)
	defer cancel()
	rep, err := link.Call[PullArgs, PullReply](cctx, h.links.Get(m.Addr), "Peer.Pull", PullArgs{epoch, h.group.Self().ID})
	if err != nil || !rep.Ready {
		return false
	}
	now := time.Now()
	h.table.Merge(now, rep.Rows)
	if rep.Blank > 0 {
		h.mu.Lock()
		h.lost.addReported(rep.Away)
		h.mu.Unlock()
		h.table.MarkIncomplete(now.Add(-rep.Blank))
	}
	return true
}

// markSynced notes that everything is known for the view, or that too many members were
// lost since the last one for that to be true. A process's first view has no last one:
// what was lost before it came is known to those that were there.
func (h *Registry) markSynced(view member.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if view.Epoch() < h.syncedEpoch {
		return // a newer view has settled meanwhile
	}
	var members []string
	for _, m := range view.Members() {
		members = append(members, m.ID)
	}
	lost, whole := h.lost.update(members)
	if lost > 1 {
		h.table.MarkIncomplete(time.Now())
		h.log.Info("request ids may be forgotten", "lost", lost, "epoch", view.Epoch())
	}
	if whole && h.table.MarkComplete() {
		h.log.Info("request ids are known again", "epoch", view.Epoch())
	}
	if h.table.IncompleteSince(time.Now()) == 0 {
		h.lost.reset()
	}
	h.syncedEpoch, h.synced = view.Epoch(), true
}

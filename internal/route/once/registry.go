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

// ErrHomeUnavailable means that the request was not begun, because the home of its id can't be
// reached or can't decide on the id yet. The request has not run and may be retried later.
var ErrHomeUnavailable = errors.New("once: home not reached")

// BeginArgs asks the home of a request id, or its backup, to register the request.
type BeginArgs struct {
	Epoch uint64 // epoch of the sender's view
	ID    string // id of the request
	Print uint64 // fingerprint of the request's content
	By    string // member id of the sender, the entry process that sends the request to targets
}

// BeginReply is the reply to BeginArgs.
type BeginReply struct {
	Ready   bool    // false when the two views differ, the receiver isn't authorized, or the home isn't synced
	Verdict Verdict // set when Ready
	Record  Record  // what was known of the request before, if anything
}

// FinishArgs reports to the home of a request id, or its backup, how the request ended.
type FinishArgs struct {
	Record Record // the final record; only ID and By are set when Drop is
	Drop   bool   // the request was never sent: forget its id
}

// PullArgs asks for the records of the ids whose home or backup the asking process is.
type PullArgs struct {
	Epoch uint64 // epoch of the view that determines homes and backups
	By    string // member id of the asking process
}

// PullReply is the reply to PullArgs.
type PullReply struct {
	Ready bool          // false while the view of the replying process is older than the one asked for
	Blank time.Duration // how long ago its records became incomplete, 0 when they are complete
	Away  []string      // absent members that have the missing records; none when not all of them are known
	Rows  []Record      // the records
}

// Registry is one process's part of the replicated registry of request ids.
//
// Each request is recorded by the process that sends it and by the home of its id, which
// member.View.HomeOf determines. If these are the same process, the backup has the other copy:
// the member that would be the home if the home were left out. So each record survives the
// loss of one process, and a process that becomes the home of an id pulls the records of the
// other members before it answers.
type Registry struct {
	table      *Table        // the records known to this process
	group      *member.Group // the membership, whose view determines homes and backups
	links      *link.Set     // connections to the other members
	log        logr.Logger
	rpcTimeout time.Duration // bounds one call to a member

	mu          sync.Mutex  // guards the fields below
	syncedEpoch uint64      // epoch of the latest view whose members' records are all merged here
	lost        lostMembers // members that were lost with records that may be missing
	synced      bool        // whether any view has been synced
}

// NewRegistry returns a registry that keeps its records in t and bounds each call to a
// member by rpcTimeout.
func NewRegistry(t *Table, g *member.Group, l *link.Set, rpcTimeout time.Duration, log logr.Logger) *Registry {
	return &Registry{table: t, group: g, links: l, rpcTimeout: rpcTimeout, log: log}
}

const (
	// retryInterval is the time between two attempts to begin a request or to pull records.
	retryInterval = 20 * time.Millisecond
	// maxBeginAttempts bounds how often a begin is repeated while views or homes change.
	maxBeginAttempts = 50
)

// Begin registers the request here and at the home of its id. The request may be sent only
// if the verdict is VerdictNew and the error is nil.
func (reg *Registry) Begin(ctx context.Context, id string, fingerprint uint64) (Verdict, Record, error) {
	self := reg.group.Self().ID
	v, r := reg.table.Begin(time.Now(), id, fingerprint, self, false, reg.isMember)
	if v != VerdictNew {
		if r.State == StateBegun && r.By != self && !reg.isHome(id) {
			v, r = reg.askHome(ctx, id, fingerprint, v, r)
		}
		return v, r, nil
	}
	v, r, err := reg.beginRemote(ctx, id, fingerprint, self)
	if err != nil || v != VerdictNew {
		reg.table.DropUnsent(id, self)
	}
	if err != nil {
		go reg.sendDrop(id, self)
	}
	return v, r, err
}

// isHome reports whether this process is the home of an id.
func (reg *Registry) isHome(id string) bool {
	home, ok := reg.group.View().HomeOf(id)
	return ok && home.ID == reg.group.Self().ID
}

// askHome returns what the home knows of a request that this process knows as begun by another, or the verdict v and the
// record r of this process if the home knows less. This process may have pulled the record while the request was being run:
// its outcome is reported to the home only.
func (reg *Registry) askHome(ctx context.Context, id string, fingerprint uint64, v Verdict, r Record) (Verdict, Record) {
	self := reg.group.Self().ID
	homeVerdict, homeRecord, err := reg.beginRemote(ctx, id, fingerprint, self)
	switch {
	case err != nil:
		go reg.sendDrop(id, self)
		return v, r
	case homeVerdict == VerdictNew:
		reg.sendDrop(id, self)
		return v, r
	case homeVerdict == VerdictDone:
		reg.table.Finish(time.Now(), homeRecord)
	}
	return homeVerdict, homeRecord
}

// beginRemote registers the request at the home, or at the backup when this process is the home.
func (reg *Registry) beginRemote(ctx context.Context, id string, fingerprint uint64, self string) (Verdict, Record, error) {
	for range maxBeginAttempts {
		if !reg.group.Authorized() {
			// When the store answers again after an outage, one process renews its membership
			// first. The others aren't authorized until they have renewed theirs, a moment later.
			if err := waitRetry(ctx); err != nil {
				return "", Record{}, err
			}
			continue
		}
		view := reg.group.View()
		home, ok := view.HomeOf(id)
		if ok && home.ID == self {
			if !reg.isSynced(view.Epoch()) {
				if err := waitRetry(ctx); err != nil {
					return "", Record{}, err
				}
				continue
			}
			home, ok = view.HomeOf(id, self)
		}
		if !ok {
			return VerdictNew, Record{}, nil // this process is the only member, so no other has a record
		}
		rep, err := reg.callBegin(ctx, home, BeginArgs{view.Epoch(), id, fingerprint, self})
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

// callBegin calls Peer.Begin at a member.
func (reg *Registry) callBegin(ctx context.Context, m member.Member, in BeginArgs) (BeginReply, error) {
	cctx, cancel := context.WithTimeout(ctx, reg.rpcTimeout)
	defer cancel()
	return link.Call[BeginArgs, BeginReply](cctx, reg.links.Get(m.Addr), "Peer.Begin", in)
}

// waitRetry waits for the retry interval, or fails when ctx ends before.
func waitRetry(ctx context.Context) error {
	if !wait.For(ctx, retryInterval) {
		return errors.Wrap(ErrHomeUnavailable, ctx.Err().Error())
	}
	return nil
}

// isMember reports whether a process is in the current view.
func (reg *Registry) isMember(id string) bool {
	_, ok := reg.group.View().Get(id)
	return ok
}

// HandleBegin answers the RPC Peer.Begin.
//
// It guards against two homes of one id, as two processes may both take themselves for the
// home while the members change. Processes with equal views agree on the home, and a home
// answers in a view only after every other member of it has moved to that view and passed
// on its records.
func (reg *Registry) HandleBegin(in BeginArgs) BeginReply {
	view := reg.group.View()
	var rep BeginReply
	if in.Epoch != view.Epoch() || !reg.group.Authorized() {
		return rep
	}
	if home, _ := view.HomeOf(in.ID); home.ID == reg.group.Self().ID && !reg.isSynced(view.Epoch()) {
		return rep
	}
	rep.Ready = true
	rep.Verdict, rep.Record = reg.table.Begin(time.Now(), in.ID, in.Print, in.By, true, reg.isMember)
	return rep
}

// Finish records how a request that was begun here ended, here and at the home of its id.
func (reg *Registry) Finish(r Record) {
	r.By = reg.group.Self().ID
	reg.table.Finish(time.Now(), r)
	reg.sendFinish(FinishArgs{Record: r})
}

// DropUnsent forgets a request that was begun here and was certainly not sent, here and at
// the home of its id.
func (reg *Registry) DropUnsent(id string) {
	self := reg.group.Self().ID
	reg.table.DropUnsent(id, self)
	reg.sendDrop(id, self)
}

// sendDrop reports to the home that a request was not sent.
func (reg *Registry) sendDrop(id, by string) {
	reg.sendFinish(FinishArgs{Record: Record{ID: id, By: by}, Drop: true})
}

// sendFinish reports the end of a request to the home, or to the backup when this process is
// the home, and repeats the call when it fails. A home that never gets the report answers
// repeats with VerdictRunning and, once this process is gone, with VerdictUnknown; both are
// correct.
func (reg *Registry) sendFinish(in FinishArgs) {
	self := reg.group.Self().ID
	view := reg.group.View()
	home, ok := view.HomeOf(in.Record.ID)
	if ok && home.ID == self {
		home, ok = view.HomeOf(in.Record.ID, self)
	}
	if !ok {
		return
	}
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), reg.rpcTimeout)
		_, err := link.Call[FinishArgs, bool](ctx, reg.links.Get(home.Addr), "Peer.Finish", in)
		cancel()
		if err == nil {
			return
		}
	}
}

// HandleFinish answers the RPC Peer.Finish: it records how a request of another process
// ended, or forgets one that was not sent.
func (reg *Registry) HandleFinish(in FinishArgs) {
	if in.Drop {
		reg.table.DropUnsent(in.Record.ID, in.Record.By)
		return
	}
	reg.table.Finish(time.Now(), in.Record)
}

// HandlePull answers the RPC Peer.Pull with the records of the ids whose home or backup the
// asking process is.
//
// The backup's copy guards against losses one after the other: when the process that sent a
// request is lost, only the home has its record, and a repeat after the loss of the home
// would run the request again.
func (reg *Registry) HandlePull(in PullArgs) PullReply {
	view := reg.group.View()
	if view.Epoch() < in.Epoch {
		return PullReply{}
	}
	reg.mu.Lock()
	away := reg.lost.absentIDs()
	reg.mu.Unlock()
	return PullReply{Ready: true, Blank: reg.table.IncompleteSince(time.Now()), Away: away, Rows: reg.table.Select(func(id string) bool {
		home, ok := view.HomeOf(id)
		if ok && home.ID != in.By {
			home, ok = view.HomeOf(id, home.ID)
		}
		return ok && home.ID == in.By
	})}
}

// isSynced reports whether the records of all members of the epoch's view are merged here.
func (reg *Registry) isSynced(epoch uint64) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.synced && reg.syncedEpoch == epoch
}

// SyncView pulls the records of all other members of a new view and merges them. It repeats
// failed pulls until a newer view comes or ctx ends, and returns at once for a view without
// other members.
func (reg *Registry) SyncView(ctx context.Context, view member.View) {
	self := reg.group.Self().ID
	pending := map[string]member.Member{}
	for _, m := range view.Members() {
		if m.ID != self {
			pending[m.ID] = m
		}
	}
	for len(pending) > 0 && ctx.Err() == nil && reg.group.View().Epoch() == view.Epoch() {
		for id, m := range pending {
			if reg.pullRecords(ctx, m, view.Epoch()) {
				delete(pending, id)
			}
		}
		if len(pending) > 0 && waitRetry(ctx) != nil {
			return
		}
	}
	if len(pending) == 0 {
		reg.markSynced(view)
	}
}

// pullRecords merges the records of one member and reports whether it was ready to send them.
func (reg *Registry) pullRecords(ctx context.Context, m member.Member, epoch uint64) bool {
	cctx, cancel := context.WithTimeout(ctx, 4*reg.rpcTimeout)
	defer cancel()
	rep, err := link.Call[PullArgs, PullReply](cctx, reg.links.Get(m.Addr), "Peer.Pull", PullArgs{epoch, reg.group.Self().ID})
	if err != nil || !rep.Ready {
		return false
	}
	now := time.Now()
	reg.table.Merge(now, rep.Rows)
	if rep.Blank > 0 {
		reg.mu.Lock()
		reg.lost.addReported(rep.Away)
		reg.mu.Unlock()
		reg.table.MarkIncomplete(now.Add(-rep.Blank))
	}
	return true
}

// markSynced notes that the records of all members of the view are merged, and marks the
// table as incomplete when too many members were lost since the view synced before. No member
// counts as lost in the first view of a process: the others report the losses before it.
func (reg *Registry) markSynced(view member.View) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if view.Epoch() < reg.syncedEpoch {
		return // a newer view has been synced meanwhile
	}
	var members []string
	for _, m := range view.Members() {
		members = append(members, m.ID)
	}
	lost, complete := reg.lost.update(members)
	if lost > 1 {
		reg.table.MarkIncomplete(time.Now())
		reg.log.Info("request ids may be forgotten", "lost", lost, "epoch", view.Epoch())
	}
	if complete && reg.table.MarkComplete() {
		reg.log.Info("records of request ids are complete again", "epoch", view.Epoch())
	}
	if reg.table.IncompleteSince(time.Now()) == 0 {
		reg.lost.reset()
	}
	reg.syncedEpoch, reg.synced = view.Epoch(), true
}

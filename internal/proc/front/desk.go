package front

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/peer/link"
)

// Desk answers callers' requests through whoever holds.
type Desk struct {
	log   logr.Logger
	lead  *lead.Lead
	links link.Set
	name  string

	mu      sync.Mutex
	holder  *drive.Holder // this process's own, while it holds
	version int64         // newest configuration that an answer was based on
}

// answerLimit bounds a request that came without a deadline.
const answerLimit = 3 * time.Second

// Handle answers a request from here or, if another process holds, from there.
func (d *Desk) Handle(ctx context.Context, a drive.Ask) drive.Reply {
	rep := d.pass(ctx, a)
	if d.older(rep.Version) {
		// A former holder that doesn't know it has been replaced would take a configuration back.
		rep = drive.Refuse("answer of a former holder", drive.AfterChange)
		if a.Verb != drive.VerbState {
			rep.Result = drive.ResultUnknown
		}
	}
	return rep
}

func (d *Desk) older(version int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version == 0 || version >= d.version {
		d.version = max(version, d.version)
		return false
	}
	return true
}

func (d *Desk) pass(ctx context.Context, a drive.Ask) drive.Reply {
	if h := d.own(); h != nil {
		return h.Handle(ctx, a)
	}
	holder, _ := d.lead.Holder()
	if holder.Name == "" || holder.Name == d.name {
		return drive.Refuse("no holder", drive.AfterChange)
	}
	rep, err := link.Call[drive.Ask, drive.Reply](ctx, d.links.To(holder.Addr), "Peer.Handle", a)
	switch {
	case err == nil:
		return rep
	case errors.Is(err, link.ErrDown):
		return drive.Refuse("holder not reached", drive.AfterChange)
	}
	d.log.Info("no answer from holder", "holder", holder.Name, "cause", err.Error())
	if a.Verb == drive.VerbState {
		return drive.Refuse("holder doesn't answer", drive.AfterChange)
	}
	return drive.Reply{Result: drive.ResultUnknown, Why: "holder doesn't answer"}
}

func (d *Desk) own() *drive.Holder {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder
}

func (d *Desk) setOwn(h *drive.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder = h
}

// Ready reports whether this process can have requests answered.
func (d *Desk) Ready() bool {
	if d.own() != nil {
		return true
	}
	h, _ := d.lead.Holder()
	return h.Name != "" && h.Name != d.name
}

// Peer is what entry processes ask of each other, over net/rpc.
type Peer struct {
	d *Desk
	p *peers
}

// Handle answers a request that another entry process took.
func (p *Peer) Handle(a drive.Ask, rep *drive.Reply) error {
	h := p.d.own()
	if h == nil {
		*rep = drive.Refuse("no longer the holder", drive.AfterChange)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	*rep = h.Handle(ctx, a)
	return nil
}

// Alive tells whether this process holds; the argument isn't used.
func (p *Peer) Alive(_ int, yes *bool) error {
	*yes = p.d.own() != nil
	return nil
}

// Follow tells the holder that the process with a peer interface at addr follows it.
func (p *Peer) Follow(addr string, _ *int) error {
	p.p.note(addr, time.Now())
	return nil
}

// Outlook is what a process tells the holder when this doesn't reach the store.
type Outlook struct {
	Failing bool  // the store doesn't answer here either
	Term    int64 // of the newest holder known
}

// Outlook tells how the store looks from here; the argument isn't used.
func (p *Peer) Outlook(_ int, out *Outlook) error {
	h, _ := p.d.lead.Holder()
	*out = Outlook{p.d.lead.Failing(), h.Term}
	return nil
}

package drive_test

import (
	"context"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

const (
	// callLimit is how long a call may wait for a turn before its caller gives it up.
	callLimit = 600 * time.Millisecond
	// maxQueued bounds the turns that wait, in the time that they take.
	maxQueued = 2 * time.Second
	// maxBurst is what a processor that was idle does at once, as one with a quota does: a weak
	// host is as fast as any until there is much to do.
	maxBurst = 100 * time.Millisecond
)

// processor is that of a host: each call takes a turn there on its way out and one on its
// way back, first come, first served. A caller that gives up doesn't get its turn's time back.
type processor struct {
	mu     sync.Mutex
	turn   time.Duration // 0: takes no time
	idleAt time.Time     // when all turns so far are over
}

// setTurn sets how long a turn takes from now on.
func (p *processor) setTurn(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn = d
}

// take waits for a turn; false says that the caller has given up.
func (p *processor) take(ctx context.Context) bool {
	p.mu.Lock()
	if p.turn == 0 {
		p.mu.Unlock()
		return ctx.Err() == nil
	}
	now := time.Now()
	if from := now.Add(-maxBurst); p.idleAt.Before(from) {
		p.idleAt = from
	}
	queue := p.idleAt.Add(p.turn).Sub(now)
	if queue <= maxQueued {
		p.idleAt = p.idleAt.Add(p.turn)
	}
	p.mu.Unlock()
	return wait.For(ctx, min(queue, callLimit)) && queue <= callLimit
}

// slowWorkers is a crew as a host reaches it whose processor is busy.
type slowWorkers struct {
	drive.WorkerClient
	cpu *processor
}

func (c *slowWorkers) Poll(ctx context.Context, l sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	if !c.cpu.take(ctx) {
		return sched.Report{}, sched.OutcomeUnknown
	}
	rep, out := c.WorkerClient.Poll(ctx, l, fence)
	if !c.cpu.take(ctx) {
		return sched.Report{}, sched.OutcomeUnknown
	}
	return rep, out
}

func (c *slowWorkers) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if !c.cpu.take(ctx) {
		return sched.OutcomeUnknown
	}
	out := c.WorkerClient.SendOrder(ctx, o, fence)
	if !c.cpu.take(ctx) {
		return sched.OutcomeUnknown
	}
	return out
}

// slowStore is a store as a host reaches it whose processor is busy.
type slowStore struct {
	store.Multi
	cpu *processor
}

// withTurns has a call take its turns.
func withTurns[T any](ctx context.Context, cpu *processor, call func() (T, error)) (T, error) {
	var none T
	if !cpu.take(ctx) {
		return none, store.ErrUnknown
	}
	got, err := call()
	if !cpu.take(ctx) {
		return none, store.ErrUnknown
	}
	return got, err
}

func (s *slowStore) Get(ctx context.Context, key string) (store.Entry, error) {
	return withTurns(ctx, s.cpu, func() (store.Entry, error) { return s.Multi.Get(ctx, key) })
}

func (s *slowStore) Range(ctx context.Context, prefix string) (store.Page, error) {
	return withTurns(ctx, s.cpu, func() (store.Page, error) { return s.Multi.Range(ctx, prefix) })
}

func (s *slowStore) Watch(ctx context.Context, prefix string, after uint64, limit time.Duration) ([]store.Change, uint64, error) {
	next := after
	changes, err := withTurns(ctx, s.cpu, func() (changes []store.Change, err error) {
		changes, next, err = s.Multi.Watch(ctx, prefix, after, limit)
		return changes, err
	})
	if err != nil {
		return nil, after, err
	}
	return changes, next, nil
}

func (s *slowStore) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	return withTurns(ctx, s.cpu, func() (uint64, error) { return s.Multi.Commit(ctx, t) })
}

func (s *slowStore) Open(ctx context.Context, ttl time.Duration) (string, error) {
	return withTurns(ctx, s.cpu, func() (string, error) { return s.Multi.Open(ctx, ttl) })
}

func (s *slowStore) Renew(ctx context.Context, lease string) error {
	_, err := withTurns(ctx, s.cpu, func() (struct{}, error) { return struct{}{}, s.Multi.Renew(ctx, lease) })
	return err
}

func (s *slowStore) Close(ctx context.Context, lease string) error {
	_, err := withTurns(ctx, s.cpu, func() (struct{}, error) { return struct{}{}, s.Multi.Close(ctx, lease) })
	return err
}

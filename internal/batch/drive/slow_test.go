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
	// queueMost bounds the turns that wait, in the time that they take.
	queueMost = 2 * time.Second
	// savedMost is what a processor that was idle does at once, as one with a quota does: a weak
	// host is as fast as any until there is much to do.
	savedMost = 100 * time.Millisecond
)

// processor is that of a host: each call takes a turn there on its way out and one on its
// way back, first come, first served. A caller that gives up doesn't get its turn's time back.
type processor struct {
	mu   sync.Mutex
	turn time.Duration // 0: takes no time
	free time.Time     // when all turns so far are over
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
	if from := now.Add(-savedMost); p.free.Before(from) {
		p.free = from
	}
	queue := p.free.Add(p.turn).Sub(now)
	if queue <= queueMost {
		p.free = p.free.Add(p.turn)
	}
	p.mu.Unlock()
	return wait.For(ctx, min(queue, callLimit)) && queue <= callLimit
}

// slowCrew is a crew as a host reaches it whose processor is busy.
type slowCrew struct {
	drive.WorkerClient
	cpu *processor
}

func (c *slowCrew) Poll(ctx context.Context, l sched.Poll, fence int64) (sched.Report, sched.Outcome) {
	if !c.cpu.take(ctx) {
		return sched.Report{}, sched.OutcomeUnknown
	}
	rep, out := c.WorkerClient.Poll(ctx, l, fence)
	if !c.cpu.take(ctx) {
		return sched.Report{}, sched.OutcomeUnknown
	}
	return rep, out
}

func (c *slowCrew) Order(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if !c.cpu.take(ctx) {
		return sched.OutcomeUnknown
	}
	out := c.WorkerClient.Order(ctx, o, fence)
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

// through has a call take its turns.
func through[T any](ctx context.Context, cpu *processor, call func() (T, error)) (T, error) {
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
	return through(ctx, s.cpu, func() (store.Entry, error) { return s.Multi.Get(ctx, key) })
}

func (s *slowStore) Range(ctx context.Context, prefix string) (store.Page, error) {
	return through(ctx, s.cpu, func() (store.Page, error) { return s.Multi.Range(ctx, prefix) })
}

func (s *slowStore) Watch(ctx context.Context, prefix string, after uint64, limit time.Duration) ([]store.Change, uint64, error) {
	next := after
	changes, err := through(ctx, s.cpu, func() (changes []store.Change, err error) {
		changes, next, err = s.Multi.Watch(ctx, prefix, after, limit)
		return changes, err
	})
	if err != nil {
		return nil, after, err
	}
	return changes, next, nil
}

func (s *slowStore) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	return through(ctx, s.cpu, func() (uint64, error) { return s.Multi.Commit(ctx, t) })
}

func (s *slowStore) Open(ctx context.Context, ttl time.Duration) (string, error) {
	return through(ctx, s.cpu, func() (string, error) { return s.Multi.Open(ctx, ttl) })
}

func (s *slowStore) Renew(ctx context.Context, lease string) error {
	_, err := through(ctx, s.cpu, func() (struct{}, error) { return struct{}{}, s.Multi.Renew(ctx, lease) })
	return err
}

func (s *slowStore) Close(ctx context.Context, lease string) error {
	_, err := through(ctx, s.cpu, func() (struct{}, error) { return struct{}{}, s.Multi.Close(ctx, lease) })
	return err
}

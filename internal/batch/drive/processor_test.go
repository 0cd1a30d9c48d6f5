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
	// callLimit is how long a call may wait for a processor turn before its caller gives up.
	callLimit = 600 * time.Millisecond
	// maxQueued bounds the queue of waiting turns, by the time that they take.
	maxQueued = 2 * time.Second
	// maxBurst is the work that a processor does at once after being idle, like one with a CPU quota: a weak host
	// is as fast as any other until the load is high.
	maxBurst = 100 * time.Millisecond
)

// processor models the processor of a host. Each call takes a turn before it is sent and one when its answer
// arrives, first come, first served. The turn of a caller that gives up is used nevertheless.
type processor struct {
	mu     sync.Mutex
	turn   time.Duration // how long a turn takes; 0: no time
	idleAt time.Time     // when all accepted turns are over
}

// setTurn sets how long a turn takes from now on.
func (p *processor) setTurn(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn = d
}

// take takes a turn, and returns false if the caller gives up before its end.
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

// slowWorkers is a client of the workers on a host whose processor takes turns for each call.
type slowWorkers struct {
	drive.WorkerClient
	cpu *processor
}

// Poll implements drive.WorkerClient.
func (w *slowWorkers) Poll(ctx context.Context, req sched.PollRequest, fence int64) (sched.Report, sched.Outcome) {
	if !w.cpu.take(ctx) {
		return sched.Report{}, sched.OutcomeUnknown
	}
	report, outcome := w.WorkerClient.Poll(ctx, req, fence)
	if !w.cpu.take(ctx) {
		return sched.Report{}, sched.OutcomeUnknown
	}
	return report, outcome
}

// SendOrder implements drive.WorkerClient.
func (w *slowWorkers) SendOrder(ctx context.Context, o sched.Order, fence int64) sched.Outcome {
	if !w.cpu.take(ctx) {
		return sched.OutcomeUnknown
	}
	outcome := w.WorkerClient.SendOrder(ctx, o, fence)
	if !w.cpu.take(ctx) {
		return sched.OutcomeUnknown
	}
	return outcome
}

// slowStore is a client of the store on a host whose processor takes turns for each call.
type slowStore struct {
	store.TxnStore
	cpu *processor
}

// withTurns makes a call with a processor turn before and after it.
func withTurns[T any](ctx context.Context, cpu *processor, call func() (T, error)) (T, error) {
	var zero T
	if !cpu.take(ctx) {
		return zero, store.ErrOutcomeUnknown
	}
	result, err := call()
	if !cpu.take(ctx) {
		return zero, store.ErrOutcomeUnknown
	}
	return result, err
}

// Get implements store.TxnStore.
func (s *slowStore) Get(ctx context.Context, key string) (store.Entry, error) {
	return withTurns(ctx, s.cpu, func() (store.Entry, error) { return s.TxnStore.Get(ctx, key) })
}

// Range implements store.TxnStore.
func (s *slowStore) Range(ctx context.Context, prefix string) (store.Listing, error) {
	return withTurns(ctx, s.cpu, func() (store.Listing, error) { return s.TxnStore.Range(ctx, prefix) })
}

// Watch implements store.TxnStore.
func (s *slowStore) Watch(ctx context.Context, prefix string, after uint64, limit time.Duration) ([]store.Change, uint64, error) {
	next := after
	changes, err := withTurns(ctx, s.cpu, func() (changes []store.Change, err error) {
		changes, next, err = s.TxnStore.Watch(ctx, prefix, after, limit)
		return changes, err
	})
	if err != nil {
		return nil, after, err
	}
	return changes, next, nil
}

// Commit implements store.TxnStore.
func (s *slowStore) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	return withTurns(ctx, s.cpu, func() (uint64, error) { return s.TxnStore.Commit(ctx, t) })
}

// OpenLease implements store.TxnStore.
func (s *slowStore) OpenLease(ctx context.Context, ttl time.Duration) (string, error) {
	return withTurns(ctx, s.cpu, func() (string, error) { return s.TxnStore.OpenLease(ctx, ttl) })
}

// RenewLease implements store.TxnStore.
func (s *slowStore) RenewLease(ctx context.Context, lease string) error {
	_, err := withTurns(ctx, s.cpu, func() (struct{}, error) { return struct{}{}, s.TxnStore.RenewLease(ctx, lease) })
	return err
}

// CloseLease implements store.TxnStore.
func (s *slowStore) CloseLease(ctx context.Context, lease string) error {
	_, err := withTurns(ctx, s.cpu, func() (struct{}, error) { return struct{}{}, s.TxnStore.CloseLease(ctx, lease) })
	return err
}

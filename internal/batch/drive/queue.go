package drive

import (
	"context"
	"sync"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

const (
	// mostOrders bounds the orders under way in all: some times those that a host with most of a core gets
	// answers to within the time of a look, and few enough for a host with a tenth.
	mostOrders = 64
	// mostToWorker bounds those to one worker: as many connections for orders are kept open to each.
	mostToWorker = 4
)

// queue gives orders, a bounded number at a time, those to one worker in the order in which they came.
//
// Against a new holder with a thousand tasks to start: with all orders under way at once its processor needs longer
// for them than it waits for an answer. Most starts then count as lost, are stopped and come again;
// looks go unanswered too, and leases lapse. Workers meanwhile refuse connections over
// their cap. Orders that wait here cost neither, and whether they still stand is asked as they leave.
// A worker that doesn't answer holds up its own few orders only.
type queue struct {
	ctx   context.Context
	spawn func(func())
	give  func(sched.Order)
	slots chan struct{} // one is held for each order under way

	mu    sync.Mutex
	lines map[string]*line // by worker
}

// line is what waits for one worker.
type line struct {
	orders []sched.Order
	givers int // goroutines that give them
}

// newQueue returns a queue whose orders are given by give in goroutines of spawn. When ctx ends, all that wait are given at
// once: give has to see to it that they don't leave.
func newQueue(ctx context.Context, spawn func(func()), give func(sched.Order)) *queue {
	return &queue{ctx: ctx, spawn: spawn, give: give, slots: make(chan struct{}, mostOrders), lines: map[string]*line{}}
}

// put adds orders.
func (q *queue) put(orders []sched.Order) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, o := range orders {
		id := o.Life.ID
		l := q.lines[id]
		if l == nil {
			l = &line{}
			q.lines[id] = l
		}
		l.orders = append(l.orders, o)
		if l.givers < mostToWorker {
			l.givers++
			q.spawn(func() { q.serve(id, l) })
		}
	}
}

// serve gives a line's orders until none is left.
func (q *queue) serve(id string, l *line) {
	for {
		held := q.acquire()
		o, ok := q.next(id, l)
		if ok {
			q.give(o)
		}
		if held {
			<-q.slots
		}
		if !ok {
			return
		}
	}
}

// acquire waits for a slot and reports whether it has one; without, the tenure is over.
func (q *queue) acquire() bool {
	select {
	case q.slots <- struct{}{}:
		return true
	case <-q.ctx.Done():
		return false
	}
}

// next takes the first order of a line; without one, the caller no longer counts among its givers.
//
// It is taken with a slot in hand, so that a run's stop doesn't leave before its start.
func (q *queue) next(id string, l *line) (sched.Order, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(l.orders) == 0 {
		if l.givers--; l.givers == 0 {
			delete(q.lines, id)
		}
		return sched.Order{}, false
	}
	o := l.orders[0]
	l.orders = l.orders[1:]
	return o, true
}

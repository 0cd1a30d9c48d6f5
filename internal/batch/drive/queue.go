package drive

import (
	"context"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

const (
	// mostOrders bounds the orders in all that have left within slotMost and aren't answered: some times
	// those that a host with most of a core gets answers to within the time of a look, and few enough for a
	// host with a tenth.
	mostOrders = 64
	// slotMost is after how long an order that isn't answered counts no more: it takes no processor any more, and
	// while many workers leave orders unanswered those to all others would wait for it.
	slotMost = 300 * time.Millisecond
	// mostToWorker bounds those to one worker: as many connections for orders are kept open to each. One that
	// has left its newest order unanswered gets them one by one.
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
	give  func(sched.Order) bool
	slots chan struct{} // one is held for each order under way, for slotMost at the most

	mu    sync.Mutex
	lines map[string]*line // by worker
}

// line is what waits for one worker.
type line struct {
	orders []sched.Order
	givers int  // goroutines that give them
	sound  bool // its newest order was answered
}

// most returns how many orders may be under way to the worker.
func (l *line) most() int {
	if l.sound {
		return mostToWorker
	}
	return 1
}

// newQueue returns a queue whose orders are given by give in goroutines of spawn; give reports whether an order was
// answered. When ctx ends, all that wait are given at once: give has to see to it that they don't leave.
func newQueue(ctx context.Context, spawn func(func()), give func(sched.Order) bool) *queue {
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
		q.staff(id, l)
	}
}

// staff has a line's orders given by as many goroutines as may.
func (q *queue) staff(id string, l *line) {
	for l.givers < min(l.most(), len(l.orders)) {
		l.givers++
		q.spawn(func() { q.serve(id, l) })
	}
}

// serve gives a line's orders until none is left.
func (q *queue) serve(id string, l *line) {
	for {
		release := q.acquire()
		o, ok := q.next(id, l)
		if !ok {
			release()
			return
		}
		late := time.AfterFunc(slotMost, release)
		answered := q.give(o)
		late.Stop()
		release()
		q.note(id, l, answered)
	}
}

// note notes whether a line's worker has answered its newest order.
func (q *queue) note(id string, l *line, answered bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l.sound = answered
	q.staff(id, l)
}

// acquire waits for a slot and returns what gives it back, once. Without one, the tenure is over.
func (q *queue) acquire() func() {
	select {
	case q.slots <- struct{}{}:
		return sync.OnceFunc(func() { <-q.slots })
	case <-q.ctx.Done():
		return func() {}
	}
}

// next takes the first order of a line; without one, the caller no longer counts among its givers.
//
// It is taken with a slot in hand, so that a run's stop doesn't leave before its start.
func (q *queue) next(id string, l *line) (sched.Order, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(l.orders) == 0 || l.givers > l.most() {
		if l.givers--; l.givers == 0 && l.sound {
			delete(q.lines, id)
		}
		return sched.Order{}, false
	}
	o := l.orders[0]
	l.orders = l.orders[1:]
	return o, true
}

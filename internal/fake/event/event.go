package event

import (
	"container/heap"
	"time"
)

// Queue runs events in order of time, and events of the same time in the order in which they
// were scheduled. The zero value starts at the zero time.
type Queue struct {
	now    time.Time // the virtual time
	events eventHeap // pending events
	seq    int       // number of events scheduled so far
}

// New returns a queue whose virtual time starts at now.
func New(now time.Time) Queue {
	return Queue{now: now}
}

// Now returns the virtual time.
func (q *Queue) Now() time.Time { return q.now }

// Seq returns the number of events scheduled so far.
func (q *Queue) Seq() int { return q.seq }

// AfterFunc schedules f to run when d of virtual time has passed.
func (q *Queue) AfterFunc(d time.Duration, f func()) {
	q.seq++
	heap.Push(&q.events, event{q.now.Add(d), q.seq, f})
}

// RunNext runs the next event unless it is later than until, and reports whether it ran one.
func (q *Queue) RunNext(until time.Time) bool {
	if len(q.events) == 0 || q.events[0].at.After(until) {
		return false
	}
	e := heap.Pop(&q.events).(event)
	q.now = e.at
	e.run()
	return true
}

// RunUntil runs all events up to a time and sets the virtual time to it.
func (q *Queue) RunUntil(until time.Time) {
	for q.RunNext(until) {
	}
	q.now = until
}

// event is a scheduled function.
type event struct {
	at  time.Time
	seq int // number of the event, which orders events of the same time
	run func()
}

// eventHeap implements heap.Interface, ordered by time and number.
type eventHeap []event

func (l eventHeap) Len() int { return len(l) }
func (l eventHeap) Less(i, j int) bool {
	return l[i].at.Before(l[j].at) || l[i].at.Equal(l[j].at) && l[i].seq < l[j].seq
}
func (l eventHeap) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *eventHeap) Push(x any)   { *l = append(*l, x.(event)) }
func (l *eventHeap) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

package event

import (
	"container/heap"
	"time"
)

// Queue runs events in order of time, and of arrival where the times are equal; the
// zero value begins at the zero time.
type Queue struct {
	now    time.Time
	events eventHeap
	seq    int
}

// New returns a queue that begins at the time.
func New(now time.Time) Queue {
	return Queue{now: now}
}

// Now returns the virtual time.
func (q *Queue) Now() time.Time { return q.now }

// Seq returns a number that grows with each event.
func (q *Queue) Seq() int { return q.seq }

// AfterFunc lets do happen after d.
func (q *Queue) AfterFunc(d time.Duration, do func()) {
	q.seq++
	heap.Push(&q.events, event{q.now.Add(d), q.seq, do})
}

// RunNext lets the next event happen unless it is later than until, and reports whether it did.
func (q *Queue) RunNext(until time.Time) bool {
	if len(q.events) == 0 || q.events[0].at.After(until) {
		return false
	}
	e := heap.Pop(&q.events).(event)
	q.now = e.at
	e.run()
	return true
}

// RunUntil lets everything up to a time happen.
func (q *Queue) RunUntil(until time.Time) {
	for q.RunNext(until) {
	}
	q.now = until
}

type event struct {
	at  time.Time
	seq int
	run func()
}

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

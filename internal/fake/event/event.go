package event

import (
	"container/heap"
	"time"
)

// Queue runs events in order of time, and of arrival where the times are equal; the
// zero value begins at the zero time.
type Queue struct {
	now  time.Time
	list list
	seq  int
}

// New returns a queue that begins at the time.
func New(now time.Time) Queue {
	return Queue{now: now}
}

// Now returns the virtual time.
func (q *Queue) Now() time.Time { return q.now }

// Seq returns a number that grows with each event.
func (q *Queue) Seq() int { return q.seq }

// After lets do happen after d.
func (q *Queue) After(d time.Duration, do func()) {
	q.seq++
	heap.Push(&q.list, item{q.now.Add(d), q.seq, do})
}

// Step lets the next event happen unless it is later than until, and reports whether it did.
func (q *Queue) Step(until time.Time) bool {
	if len(q.list) == 0 || q.list[0].at.After(until) {
		return false
	}
	e := heap.Pop(&q.list).(item)
	q.now = e.at
	e.do()
	return true
}

// Run lets everything up to a time happen.
func (q *Queue) Run(until time.Time) {
	for q.Step(until) {
	}
	q.now = until
}

type item struct {
	at  time.Time
	seq int
	do  func()
}

type list []item

func (l list) Len() int { return len(l) }
func (l list) Less(i, j int) bool {
	return l[i].at.Before(l[j].at) || l[i].at.Equal(l[j].at) && l[i].seq < l[j].seq
}
func (l list) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *list) Push(x any)   { *l = append(*l, x.(item)) }
func (l *list) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

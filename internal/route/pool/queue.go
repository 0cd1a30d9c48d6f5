package pool

import (
	"maps"
	"slices"
	"time"
)

// Priority is a request's priority.
type Priority string

// The priorities; the zero value counts as normal.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

func (p Priority) level() int {
	switch p {
	case PriorityUrgent:
		return 0
	case PriorityLow:
		return 2
	}
	return 1
}

const numLevels = 3

// Call is one request that wants a slot.
type Call struct {
	ID          uint64
	Team        string
	Priority    Priority
	Arrived     time.Time // when it reached this process
	Deadline    time.Time // when its caller stops waiting
	AvoidTarget string    // target of an earlier try, not used again while another is free
}

// queue holds calls by priority, within it in fair turns among teams, within a
// team in order of arrival. Fairness is by start-time fair queueing: a team's
// virtual time grows by one for each of its calls that is taken.
type queue struct {
	levels [numLevels]priorityLevel
	size   int
}

type priorityLevel struct {
	teams       map[string]*teamQueue
	virtualTime float64
}

type teamQueue struct {
	team        string
	virtualTime float64
	calls       []Call
}

func (q *queue) push(c Call) {
	l := &q.levels[c.Priority.level()]
	if l.teams == nil {
		l.teams = map[string]*teamQueue{}
	}
	t := l.teams[c.Team]
	if t == nil {
		t = &teamQueue{team: c.Team, virtualTime: l.virtualTime}
		l.teams[c.Team] = t
	}
	t.calls = append(t.calls, c)
	q.size++
}

// nextTeam returns the line whose turn it is, or nil.
func (q *queue) nextTeam() (*priorityLevel, *teamQueue) {
	for i := range q.levels {
		l := &q.levels[i]
		var best *teamQueue
		for _, t := range l.teams {
			if best == nil || t.virtualTime < best.virtualTime || t.virtualTime == best.virtualTime && t.team < best.team {
				best = t
			}
		}
		if best != nil {
			return l, best
		}
	}
	return nil, nil
}

func (q *queue) peek() (Call, bool) {
	_, t := q.nextTeam()
	if t == nil {
		return Call{}, false
	}
	return t.calls[0], true
}

func (q *queue) pop() (Call, bool) {
	l, t := q.nextTeam()
	if t == nil {
		return Call{}, false
	}
	c := t.calls[0]
	t.calls = t.calls[1:]
	l.virtualTime = t.virtualTime
	t.virtualTime++
	q.size--
	l.removeIfEmpty(t)
	return c, true
}

func (l *priorityLevel) removeIfEmpty(t *teamQueue) {
	if len(t.calls) == 0 {
		delete(l.teams, t.team)
	}
}

// oldestArrival returns when the longest waiting call came; zero when there is none.
func (q *queue) oldestArrival() time.Time {
	var at time.Time
	for i := range q.levels {
		for _, t := range q.levels[i].teams {
			if came := t.calls[0].Arrived; at.IsZero() || came.Before(at) {
				at = came
			}
		}
	}
	return at
}

// remove takes out the call with the id, wherever it stands.
func (q *queue) remove(id uint64) {
	q.removeMatching(func(c Call) bool { return c.ID == id })
}

// removeMatching takes out the calls for which f holds, in order of priority and team.
func (q *queue) removeMatching(f func(Call) bool) []Call {
	var got []Call
	for i := range q.levels {
		l := &q.levels[i]
		for _, team := range slices.Sorted(maps.Keys(l.teams)) {
			t := l.teams[team]
			t.calls = slices.DeleteFunc(t.calls, func(c Call) bool {
				if !f(c) {
					return false
				}
				got = append(got, c)
				return true
			})
			l.removeIfEmpty(t)
		}
	}
	q.size -= len(got)
	return got
}

// countAhead counts the calls that are served before a new one of that priority and team.
func (q *queue) countAhead(p Priority, team string) int {
	n := 0
	for i := 0; i < p.level(); i++ {
		for _, t := range q.levels[i].teams {
			n += len(t.calls)
		}
	}
	l := &q.levels[p.level()]
	mine := 0
	if t := l.teams[team]; t != nil {
		mine = len(t.calls)
	}
	for _, t := range l.teams {
		if t.team == team {
			n += mine
			continue
		}
		n += min(len(t.calls), mine+1)
	}
	return n
}

// popLast takes out the call that is served popLast: the newest of the longest line of the lowest priority.
func (q *queue) popLast() (Call, bool) {
	for i := len(q.levels) - 1; i >= 0; i-- {
		l := &q.levels[i]
		var worst *teamQueue
		for _, t := range l.teams {
			if worst == nil || len(t.calls) > len(worst.calls) ||
				len(t.calls) == len(worst.calls) && t.team > worst.team {
				worst = t
			}
		}
		if worst == nil {
			continue
		}
		c := worst.calls[len(worst.calls)-1]
		worst.calls = worst.calls[:len(worst.calls)-1]
		q.size--
		l.removeIfEmpty(worst)
		return c, true
	}
	return Call{}, false
}

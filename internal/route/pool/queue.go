package pool

import (
	"maps"
	"slices"
	"time"
)

// Priority is the priority of a call.
type Priority string

// The priorities. Any other value counts as normal.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// level returns the index of the priority's level in a queue; the most urgent is 0.
func (p Priority) level() int {
	switch p {
	case PriorityUrgent:
		return 0
	case PriorityLow:
		return 2
	}
	return 1
}

// numLevels is the number of priority levels of a queue.
const numLevels = 3

// Call is a caller's request that needs a slot.
type Call struct {
	ID          uint64 // unique in this process
	Team        string // team that the caller belongs to
	Priority    Priority
	Arrived     time.Time // when the call reached this process
	Deadline    time.Time // when the caller stops waiting
	AvoidTarget string    // target of an earlier attempt, used again only if no other has a free slot
}

// queue holds the calls that wait for a slot. Calls are served by priority, within a
// priority in fair turns among teams, and within a team in order of arrival. The turns
// follow start-time fair queueing: the virtual time of a team grows by one with each of
// its calls that is served, and the team with the least virtual time is next.
type queue struct {
	levels [numLevels]priorityLevel // the most urgent first
	size   int                      // number of calls in all levels
}

// priorityLevel holds the waiting calls of one priority.
type priorityLevel struct {
	teams       map[string]*teamQueue // teams with waiting calls, by name
	virtualTime float64               // of the call served last
}

// teamQueue holds the waiting calls of one team at one priority.
type teamQueue struct {
	team        string
	virtualTime float64 // of the team's next call
	calls       []Call  // in order of arrival, never empty
}

// push adds a call. A team without waiting calls starts at the virtual time of its level.
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

// nextTeam returns the team queue whose turn it is with its level, or nil.
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

// peek returns the call to be served next and whether there is one.
func (q *queue) peek() (Call, bool) {
	_, t := q.nextTeam()
	if t == nil {
		return Call{}, false
	}
	return t.calls[0], true
}

// pop removes the call to be served next, and returns it and whether there was one.
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

// removeIfEmpty removes the team queue from the level if it has no calls.
func (l *priorityLevel) removeIfEmpty(t *teamQueue) {
	if len(t.calls) == 0 {
		delete(l.teams, t.team)
	}
}

// oldestArrival returns the arrival time of the longest waiting call, or the zero time.
func (q *queue) oldestArrival() time.Time {
	var oldest time.Time
	for i := range q.levels {
		for _, t := range q.levels[i].teams {
			if arrived := t.calls[0].Arrived; oldest.IsZero() || arrived.Before(oldest) {
				oldest = arrived
			}
		}
	}
	return oldest
}

// remove removes the call with the id, if there is one.
func (q *queue) remove(id uint64) {
	q.removeMatching(func(c Call) bool { return c.ID == id })
}

// removeMatching removes the calls for which match is true, and returns them in order of
// priority and team.
func (q *queue) removeMatching(match func(Call) bool) []Call {
	var removed []Call
	for i := range q.levels {
		l := &q.levels[i]
		for _, team := range slices.Sorted(maps.Keys(l.teams)) {
			t := l.teams[team]
			t.calls = slices.DeleteFunc(t.calls, func(c Call) bool {
				if !match(c) {
					return false
				}
				removed = append(removed, c)
				return true
			})
			l.removeIfEmpty(t)
		}
	}
	q.size -= len(removed)
	return removed
}

// countAhead returns how many of the waiting calls would be served before a new call of the
// priority and team.
func (q *queue) countAhead(p Priority, team string) int {
	n := 0
	for i := 0; i < p.level(); i++ {
		for _, t := range q.levels[i].teams {
			n += len(t.calls)
		}
	}
	l := &q.levels[p.level()]
	ownCalls := 0
	if t := l.teams[team]; t != nil {
		ownCalls = len(t.calls)
	}
	for _, t := range l.teams {
		if t.team == team {
			n += ownCalls
			continue
		}
		n += min(len(t.calls), ownCalls+1)
	}
	return n
}

// popLast removes the call that would be served last, the newest call of the longest team
// queue at the lowest priority, and returns it and whether there was one.
func (q *queue) popLast() (Call, bool) {
	for i := len(q.levels) - 1; i >= 0; i-- {
		l := &q.levels[i]
		var longest *teamQueue
		for _, t := range l.teams {
			if longest == nil || len(t.calls) > len(longest.calls) ||
				len(t.calls) == len(longest.calls) && t.team > longest.team {
				longest = t
			}
		}
		if longest == nil {
			continue
		}
		c := longest.calls[len(longest.calls)-1]
		longest.calls = longest.calls[:len(longest.calls)-1]
		q.size--
		l.removeIfEmpty(longest)
		return c, true
	}
	return Call{}, false
}

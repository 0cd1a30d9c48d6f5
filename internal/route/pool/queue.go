package pool

import (
	"maps"
	"slices"
	"time"
)

// Prio is a request's priority.
type Prio string

// The priorities; the zero value counts as normal.
const (
	PrioUrgent Prio = "urgent"
	PrioNormal Prio = "normal"
	PrioLow    Prio = "low"
)

func (p Prio) rank() int {
	switch p {
	case PrioUrgent:
		return 0
	case PrioLow:
		return 2
	}
	return 1
}

const ranks = 3

// Call is one request that wants a slot.
type Call struct {
	ID    uint64
	Team  string
	Prio  Prio
	Came  time.Time // when it reached this process
	Until time.Time // when its caller stops waiting
	Avoid string    // target of an earlier try, not used again while another is free
}

// queue holds calls by priority, within it in fair turns among teams, within a
// team in order of arrival. Fairness is by start-time fair queueing: a team's
// virtual time grows by one for each of its calls that is taken.
type queue struct {
	levels [ranks]level
	size   int
}

type level struct {
	teams map[string]*line
	vt    float64
}

type line struct {
	team  string
	vt    float64
	calls []Call
}

func (q *queue) push(c Call) {
	l := &q.levels[c.Prio.rank()]
	if l.teams == nil {
		l.teams = map[string]*line{}
	}
	t := l.teams[c.Team]
	if t == nil {
		t = &line{team: c.Team, vt: l.vt}
		l.teams[c.Team] = t
	}
	t.calls = append(t.calls, c)
	q.size++
}

// head returns the line whose turn it is, or nil.
func (q *queue) head() (*level, *line) {
	for i := range q.levels {
		l := &q.levels[i]
		var best *line
		for _, t := range l.teams {
			if best == nil || t.vt < best.vt || t.vt == best.vt && t.team < best.team {
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
	_, t := q.head()
	if t == nil {
		return Call{}, false
	}
	return t.calls[0], true
}

func (q *queue) pop() (Call, bool) {
	l, t := q.head()
	if t == nil {
		return Call{}, false
	}
	c := t.calls[0]
	t.calls = t.calls[1:]
	l.vt = t.vt
	t.vt++
	q.size--
	l.tidy(t)
	return c, true
}

func (l *level) tidy(t *line) {
	if len(t.calls) == 0 {
		delete(l.teams, t.team)
	}
}

// oldest returns when the longest waiting call came; zero when there is none.
func (q *queue) oldest() time.Time {
	var at time.Time
	for i := range q.levels {
		for _, t := range q.levels[i].teams {
			if came := t.calls[0].Came; at.IsZero() || came.Before(at) {
				at = came
			}
		}
	}
	return at
}

// remove takes out the call with the id, wherever it stands.
func (q *queue) remove(id uint64) {
	q.pick(func(c Call) bool { return c.ID == id })
}

// pick takes out the calls for which f holds, in order of priority and team.
func (q *queue) pick(f func(Call) bool) []Call {
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
			l.tidy(t)
		}
	}
	q.size -= len(got)
	return got
}

// ahead counts the calls that are served before a new one of that priority and team.
func (q *queue) ahead(p Prio, team string) int {
	n := 0
	for i := 0; i < p.rank(); i++ {
		for _, t := range q.levels[i].teams {
			n += len(t.calls)
		}
	}
	l := &q.levels[p.rank()]
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

// last takes out the call that is served last: the newest of the longest line of the lowest priority.
func (q *queue) last() (Call, bool) {
	for i := len(q.levels) - 1; i >= 0; i-- {
		l := &q.levels[i]
		var worst *line
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
		l.tidy(worst)
		return c, true
	}
	return Call{}, false
}

package report

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/proc/story"
)

// ErrNone says that there is nothing to report on.
var ErrNone = errors.New("report: no line about a job")

// lateAims is how many times its aim a job may take for its end to be worth something to its caller.
const lateAims = 3

// Queue is what became of a queue's jobs.
type Queue struct {
	Name    string            `json:"name"`
	Jobs    int               `json:"jobs"`
	OnTime  int               `json:"ontime"`
	Late    int               `json:"late"`    // up to three times the aim
	TooLate int               `json:"toolate"` // later than that
	Failed  int               `json:"failed"`
	Ended   int               `json:"cancelled"`
	Open    int               `json:"open"`    // not ended in these logs
	Refused int               `json:"refused"` // and never accepted
	Seconds map[Phase]float64 `json:"seconds"`
	Causes  map[Phase]int     `json:"causes"` // of the jobs that weren't on time, by what took most beside the work itself
}

// Wait is why steps found no place for long.
type Wait struct {
	Cause string `json:"cause"` // what held back most of the workers
	Steps int    `json:"steps"`
}

// Second is what all jobs' time went to within a second.
type Second struct {
	At      int               `json:"at"` // since the span's begin
	Seconds map[Phase]float64 `json:"seconds"`
}

// Report is where the time of all jobs of a span went.
type Report struct {
	From     time.Time      `json:"from"`
	Length   time.Duration  `json:"length"`
	Queues   []*Queue       `json:"queues"`
	Waits    []Wait         `json:"waits"`
	Refusals map[string]int `json:"refusals"` // by reason
	Changes  int            `json:"changes"`  // of holder
	Timeline []Second       `json:"timeline"`
}

// Of returns the report of the jobs that were first seen within a span of logs, counted from the first line; a
// zero to has it last until the end. ErrNone says that there are none.
func Of(lines []story.Line, from, to time.Duration) (*Report, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b story.Line) int { return a.At.Compare(b.At) })
	if len(lines) == 0 {
		return nil, ErrNone
	}
	began, end := lines[0].At, lines[len(lines)-1].At
	jobs := gather(lines)
	r := &Report{From: began.Add(from), Refusals: map[string]int{}, Queues: []*Queue{}, Waits: []Wait{}}
	if to > 0 {
		end = earliest(end, began.Add(to))
	}
	r.Length = end.Sub(r.From)
	for id, j := range jobs {
		if j.first.Before(r.From) || j.first.After(end) {
			delete(jobs, id)
		}
	}
	if len(jobs) == 0 || r.Length < 0 {
		return nil, errors.Wrapf(ErrNone, "from %s to %s", from, end.Sub(began))
	}
	gaps := holderless(lines)
	r.Changes = len(gaps)
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		r.add(jobs[id], gaps)
	}
	r.wait(lines, jobs)
	slices.SortFunc(r.Queues, func(a, b *Queue) int { return strings.Compare(a.Name, b.Name) })
	return r, nil
}

// gather returns the jobs that lines are about, by id.
func gather(lines []story.Line) map[string]*job {
	jobs := map[string]*job{}
	for i := range lines {
		l := &lines[i]
		id := l.Job()
		if id == "" || l.Field("task") != "" && strings.Count(l.Field("task"), ".") != 3 {
			continue
		}
		j := jobs[id]
		if j == nil {
			j = &job{id: id, first: l.At}
			jobs[id] = j
		}
		j.take(l)
	}
	// A job of which only questions were asked says nothing of where time went.
	maps.DeleteFunc(jobs, func(_ string, j *job) bool {
		return j.taken.IsZero() && j.refused.IsZero() && len(j.steps) == 0 && j.ended.IsZero()
	})
	return jobs
}

// holderless returns the times in which nobody held: from a holder's last line of its term until the next
// one has taken over.
func holderless(lines []story.Line) []span {
	var gaps []span
	last := map[string]time.Time{} // by term
	term := ""
	for i := range lines {
		l := &lines[i]
		t := l.Field("term")
		if l.Msg == "took over" && t != term {
			if at, ok := last[term]; ok {
				gaps = append(gaps, span{at, l.At})
			}
			term = t
		}
		if t != "" && t == term && l.Msg != "no longer the holder" {
			last[t] = l.At
		}
	}
	return gaps
}

func (r *Report) add(j *job, gaps []span) {
	name := cmp.Or(j.queue, "?")
	i := slices.IndexFunc(r.Queues, func(q *Queue) bool { return q.Name == name })
	if i < 0 {
		i = len(r.Queues)
		r.Queues = append(r.Queues, &Queue{Name: name, Seconds: map[Phase]float64{}, Causes: map[Phase]int{}})
	}
	q := r.Queues[i]
	q.Jobs++
	segments := j.segments()
	for _, g := range gaps {
		segments = g.without(segments)
	}
	spent := map[Phase]float64{}
	for _, s := range segments {
		spent[s.phase] += s.to.Sub(s.from).Seconds()
		r.spread(s)
	}
	for p, x := range spent {
		q.Seconds[p] += x
	}
	if q.count(j) {
		q.Causes[most(spent)]++
	}
}

// count counts a job by how it ended and reports whether it ended late.
func (q *Queue) count(j *job) bool {
	took := j.ended.Sub(j.first)
	switch {
	case j.state == "failed":
		q.Failed++
	case j.state == "cancelled":
		q.Ended++
	case j.taken.IsZero() && len(j.steps) == 0:
		q.Refused++
	case j.ended.IsZero():
		q.Open++
		return !j.lasting
	case took <= j.aim:
		q.OnTime++
	case took <= lateAims*j.aim:
		q.Late++
		return true
	default:
		q.TooLate++
		return true
	}
	return false
}

// most returns the phase that took most, beside the work itself.
func most(spent map[Phase]float64) Phase {
	best := PhaseRun
	for _, p := range phases {
		if p != PhaseRun && spent[p] > 0 && (best == PhaseRun || spent[p] > spent[best]) {
			best = p
		}
	}
	return best
}

// spread adds a segment to the seconds in which it lies.
func (r *Report) spread(s segment) {
	for at := s.from; at.Before(s.to); {
		i := int(max(0, at.Sub(r.From)) / time.Second)
		next := earliest(s.to, latest(r.From.Add(time.Duration(i+1)*time.Second), at.Add(time.Nanosecond)))
		for len(r.Timeline) <= i {
			r.Timeline = append(r.Timeline, Second{At: len(r.Timeline), Seconds: map[Phase]float64{}})
		}
		r.Timeline[i].Seconds[s.phase] += next.Sub(at).Seconds()
		at = next
	}
}

// wait counts why steps found no place for long, and why hand-ins were refused.
func (r *Report) wait(lines []story.Line, jobs map[string]*job) {
	causes := map[string]int{}
	type step struct{ job, step string }
	told := map[step]bool{}
	for i := range lines {
		l := &lines[i]
		switch {
		case jobs[l.Job()] == nil:
		case l.Msg == "waits":
			if k := (step{l.Job(), l.Field("step")}); !told[k] {
				told[k] = true
				causes[cause(l)]++
			}
		case l.Msg == "answer" && l.Field("result") == "refused":
			r.Refusals[l.Field("why")]++
		}
	}
	for _, c := range slices.Sorted(maps.Keys(causes)) {
		r.Waits = append(r.Waits, Wait{c, causes[c]})
	}
	slices.SortStableFunc(r.Waits, func(a, b Wait) int { return b.Steps - a.Steps })
}

// cause returns what held back most of the workers by a line about a step that waits.
func cause(l *story.Line) string {
	best, n := "unknown", 0
	for _, c := range []string{"full", "harm", "shut", "closed"} {
		if k := l.Int(c); k > n {
			best, n = c, k
		}
	}
	return best
}

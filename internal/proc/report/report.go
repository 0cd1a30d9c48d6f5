package report

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/proc/joblog"
)

// ErrNoData says that there is nothing to report on.
var ErrNoData = errors.New("report: no line about a job")

// usefulDeadlineFactor is how many times its aim a job may take for its end to be worth something to its caller.
const usefulDeadlineFactor = 3

// QueueStats is what became of a queue's jobs.
type QueueStats struct {
	Name         string            `json:"name"`
	Jobs         int               `json:"jobs"`
	OnTime       int               `json:"ontime"`
	LateUseful   int               `json:"late"`    // up to three times the aim
	LateUseless  int               `json:"toolate"` // later than that
	Failed       int               `json:"failed"`
	Cancelled    int               `json:"cancelled"`
	Unfinished   int               `json:"open"`    // not ended in these logs
	Refused      int               `json:"refused"` // and never accepted
	PhaseSeconds map[Phase]float64 `json:"seconds"`
	DelayCauses  map[Phase]int     `json:"causes"` // of the jobs that weren't on time, by what took most beside the work itself
}

// UnplacedCause is why steps found no place for long.
type UnplacedCause struct {
	Cause string `json:"cause"` // what held back most of the workers
	Steps int    `json:"steps"`
}

// TimelineEntry is what all jobs' time went to within a second.
type TimelineEntry struct {
	Second       int               `json:"at"` // since the span's begin
	PhaseSeconds map[Phase]float64 `json:"seconds"`
}

// Report is where the time of all jobs of a span went.
type Report struct {
	Start          time.Time       `json:"from"`
	Length         time.Duration   `json:"length"`
	Queues         []*QueueStats   `json:"queues"`
	UnplacedCauses []UnplacedCause `json:"waits"`
	Refusals       map[string]int  `json:"refusals"` // by reason
	HolderChanges  int             `json:"changes"`  // of holder
	Timeline       []TimelineEntry `json:"timeline"`
}

// New returns the report of the jobs that were first seen within a span of logs, counted from the first line; a
// zero to has it last until the end. ErrNone says that there are none.
func New(lines []joblog.Line, from, to time.Duration) (*Report, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b joblog.Line) int { return a.Time.Compare(b.Time) })
	if len(lines) == 0 {
		return nil, ErrNoData
	}
	began, end := lines[0].Time, lines[len(lines)-1].Time
	jobs := collectJobs(lines)
	r := &Report{Start: began.Add(from), Refusals: map[string]int{}, Queues: []*QueueStats{}, UnplacedCauses: []UnplacedCause{}}
	if to > 0 {
		end = earliest(end, began.Add(to))
	}
	r.Length = end.Sub(r.Start)
	for id, j := range jobs {
		if j.firstSeen.Before(r.Start) || j.firstSeen.After(end) {
			delete(jobs, id)
		}
	}
	if len(jobs) == 0 || r.Length < 0 {
		return nil, errors.Wrapf(ErrNoData, "from %s to %s", from, end.Sub(began))
	}
	gaps := findHolderGaps(lines)
	r.HolderChanges = len(gaps)
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		r.addJob(jobs[id], gaps)
	}
	r.countUnplacedAndRefused(lines, jobs)
	slices.SortFunc(r.Queues, func(a, b *QueueStats) int { return strings.Compare(a.Name, b.Name) })
	return r, nil
}

// collectJobs returns the jobs that lines are about, by id.
func collectJobs(lines []joblog.Line) map[string]*job {
	jobs := map[string]*job{}
	for i := range lines {
		l := &lines[i]
		id := l.JobID()
		if id == "" || l.Field("task") != "" && strings.Count(l.Field("task"), ".") != 3 {
			continue
		}
		j := jobs[id]
		if j == nil {
			j = &job{id: id, firstSeen: l.Time}
			jobs[id] = j
		}
		j.addLine(l)
	}
	// A job of which only questions were asked says nothing of where time went.
	maps.DeleteFunc(jobs, func(_ string, j *job) bool {
		return j.acceptedAt.IsZero() && j.refusedAt.IsZero() && len(j.steps) == 0 && j.endedAt.IsZero()
	})
	return jobs
}

// findHolderGaps returns the times in which nobody held: from a holder's last line of its term until the next
// one has taken over.
func findHolderGaps(lines []joblog.Line) []holderGap {
	var gaps []holderGap
	last := map[string]time.Time{} // by term
	term := ""
	for i := range lines {
		l := &lines[i]
		t := l.Field("term")
		if l.Msg == "took over" && t != term {
			if at, ok := last[term]; ok {
				gaps = append(gaps, holderGap{at, l.Time})
			}
			term = t
		}
		if t != "" && t == term && l.Msg != "no longer the holder" {
			last[t] = l.Time
		}
	}
	return gaps
}

func (r *Report) addJob(j *job, gaps []holderGap) {
	name := cmp.Or(j.queue, "?")
	i := slices.IndexFunc(r.Queues, func(q *QueueStats) bool { return q.Name == name })
	if i < 0 {
		i = len(r.Queues)
		r.Queues = append(r.Queues, &QueueStats{Name: name, PhaseSeconds: map[Phase]float64{}, DelayCauses: map[Phase]int{}})
	}
	q := r.Queues[i]
	q.Jobs++
	segments := j.segments()
	for _, g := range gaps {
		segments = g.relabel(segments)
	}
	spent := map[Phase]float64{}
	for _, s := range segments {
		spent[s.phase] += s.to.Sub(s.from).Seconds()
		r.addToTimeline(s)
	}
	for p, x := range spent {
		q.PhaseSeconds[p] += x
	}
	if q.countJob(j) {
		q.DelayCauses[longestDelay(spent)]++
	}
}

// countJob counts a job by how it ended and reports whether it ended late.
func (q *QueueStats) countJob(j *job) bool {
	took := j.endedAt.Sub(j.firstSeen)
	switch {
	case j.state == "failed":
		q.Failed++
	case j.state == "cancelled":
		q.Cancelled++
	case j.acceptedAt.IsZero() && len(j.steps) == 0:
		q.Refused++
	case j.endedAt.IsZero():
		q.Unfinished++
		return !j.longRunning
	case took <= j.relativeDeadline:
		q.OnTime++
	case took <= usefulDeadlineFactor*j.relativeDeadline:
		q.LateUseful++
		return true
	default:
		q.LateUseless++
		return true
	}
	return false
}

// longestDelay returns the phase that took longestDelay, beside the work itself.
func longestDelay(spent map[Phase]float64) Phase {
	best := PhaseRun
	for _, p := range phases {
		if p != PhaseRun && spent[p] > 0 && (best == PhaseRun || spent[p] > spent[best]) {
			best = p
		}
	}
	return best
}

// addToTimeline adds a segment to the seconds in which it lies.
func (r *Report) addToTimeline(s segment) {
	for at := s.from; at.Before(s.to); {
		i := int(max(0, at.Sub(r.Start)) / time.Second)
		next := earliest(s.to, latest(r.Start.Add(time.Duration(i+1)*time.Second), at.Add(time.Nanosecond)))
		for len(r.Timeline) <= i {
			r.Timeline = append(r.Timeline, TimelineEntry{Second: len(r.Timeline), PhaseSeconds: map[Phase]float64{}})
		}
		r.Timeline[i].PhaseSeconds[s.phase] += next.Sub(at).Seconds()
		at = next
	}
}

// countUnplacedAndRefused counts why steps found no place for long, and why hand-ins were refused.
func (r *Report) countUnplacedAndRefused(lines []joblog.Line, jobs map[string]*job) {
	causes := map[string]int{}
	type step struct{ job, step string }
	told := map[step]bool{}
	for i := range lines {
		l := &lines[i]
		switch {
		case jobs[l.JobID()] == nil:
		case l.Msg == "waits":
			if k := (step{l.JobID(), l.Field("step")}); !told[k] {
				told[k] = true
				causes[mainUnplacedCause(l)]++
			}
		case l.Msg == "answer" && l.Field("result") == "refused":
			r.Refusals[l.Field("why")]++
		}
	}
	for _, c := range slices.Sorted(maps.Keys(causes)) {
		r.UnplacedCauses = append(r.UnplacedCauses, UnplacedCause{c, causes[c]})
	}
	slices.SortStableFunc(r.UnplacedCauses, func(a, b UnplacedCause) int { return b.Steps - a.Steps })
}

// mainUnplacedCause returns what held back most of the workers by a line about a step that waits.
func mainUnplacedCause(l *joblog.Line) string {
	best, n := "unknown", 0
	for _, c := range []string{"full", "harm", "shut", "closed"} {
		if k := l.Int(c); k > n {
			best, n = c, k
		}
	}
	return best
}

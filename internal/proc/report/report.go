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

// ErrNoData is returned if the logs contain too little about jobs for a report or a plot.
var ErrNoData = errors.New("report: not enough job data in the logs")

// usefulDeadlineFactor times its relative deadline is how long a late job may take and still be useful to its caller.
const usefulDeadlineFactor = 3

// QueueStats is what happened to the jobs of a queue. Each job is counted in one of OnTime to Refused.
type QueueStats struct {
	Name         string            `json:"name"`      // queue, "?" for jobs whose queue is not in the logs
	Jobs         int               `json:"jobs"`      // number of jobs
	OnTime       int               `json:"ontime"`    // jobs that ended within the relative deadline
	LateUseful   int               `json:"late"`      // late but useful: within usefulDeadlineFactor times the relative deadline
	LateUseless  int               `json:"toolate"`   // too late to be useful
	Failed       int               `json:"failed"`    // jobs that failed
	Cancelled    int               `json:"cancelled"` // jobs that were cancelled
	Unfinished   int               `json:"open"`      // not ended in these logs
	Refused      int               `json:"refused"`   // refused and never accepted in these logs
	PhaseSeconds map[Phase]float64 `json:"seconds"`   // sum over the jobs of the seconds in each phase
	DelayCauses  map[Phase]int     `json:"causes"`    // number of jobs not on time, by the phase other than PhaseRun that took longest
}

// UnplacedCause is the number of steps that were unplaced for long because of one cause.
type UnplacedCause struct {
	Cause string `json:"cause"` // log key of the cause that ruled out the most workers, or "unknown"
	Steps int    `json:"steps"` // number of steps
}

// TimelineEntry is the time that all jobs together spent in each phase within one second.
type TimelineEntry struct {
	Second       int               `json:"at"`      // number of the second, counted from 0 at the start of the span
	PhaseSeconds map[Phase]float64 `json:"seconds"` // sum over the jobs of the seconds in each phase
}

// Report says for all jobs of a time span in which phases they spent their time and what delayed them.
type Report struct {
	Start          time.Time       `json:"from"`     // start of the span
	Length         time.Duration   `json:"length"`   // length of the span
	Queues         []*QueueStats   `json:"queues"`   // by name
	UnplacedCauses []UnplacedCause `json:"waits"`    // causes of unplaced steps, most frequent first
	Refusals       map[string]int  `json:"refusals"` // number of refused requests by reason
	HolderChanges  int             `json:"changes"`  // number of changes of the holder in all of the logs
	Timeline       []TimelineEntry `json:"timeline"` // second by second from Start
}

// New builds the report of the jobs that were first seen within a span of the logs. The span lasts from the offset from
// to the offset to, both counted from the first line; if to is zero, the span lasts until the last line. New returns
// ErrNoData if no job was first seen within the span.
func New(lines []joblog.Line, from, to time.Duration) (*Report, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b joblog.Line) int { return a.Time.Compare(b.Time) })
	if len(lines) == 0 {
		return nil, ErrNoData
	}
	logStart, end := lines[0].Time, lines[len(lines)-1].Time
	jobs := collectJobs(lines)
	r := &Report{Start: logStart.Add(from), Refusals: map[string]int{}, Queues: []*QueueStats{}, UnplacedCauses: []UnplacedCause{}}
	if to > 0 {
		end = earliest(end, logStart.Add(to))
	}
	r.Length = end.Sub(r.Start)
	for id, j := range jobs {
		if j.firstSeen.Before(r.Start) || j.firstSeen.After(end) {
			delete(jobs, id)
		}
	}
	if len(jobs) == 0 || r.Length < 0 {
		return nil, errors.Wrapf(ErrNoData, "from %s to %s", from, end.Sub(logStart))
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

// collectJobs returns the jobs that the lines are about, by id.
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
	// A job whose state was merely queried has spent no known time in any phase.
	maps.DeleteFunc(jobs, func(_ string, j *job) bool {
		return j.acceptedAt.IsZero() && j.refusedAt.IsZero() && len(j.steps) == 0 && j.endedAt.IsZero()
	})
	return jobs
}

// findHolderGaps returns the intervals without a holder: from a holder's last line in its term until the next holder
// has taken over.
func findHolderGaps(lines []joblog.Line) []holderGap {
	var gaps []holderGap
	lastLine := map[string]time.Time{} // time of the holder's last line by term
	term := ""
	for i := range lines {
		l := &lines[i]
		t := l.Field("term")
		if l.Msg == "took over" && t != term {
			if at, ok := lastLine[term]; ok {
				gaps = append(gaps, holderGap{at, l.Time})
			}
			term = t
		}
		if t != "" && t == term && l.Msg != "no longer the holder" {
			lastLine[t] = l.Time
		}
	}
	return gaps
}

// addJob adds the job to its queue's figures and to the timeline.
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
	seconds := map[Phase]float64{}
	for _, s := range segments {
		seconds[s.phase] += s.to.Sub(s.from).Seconds()
		r.addToTimeline(s)
	}
	for p, sec := range seconds {
		q.PhaseSeconds[p] += sec
	}
	if q.countJob(j) {
		q.DelayCauses[longestDelay(seconds)]++
	}
}

// countJob counts a job by how it ended and reports whether its delay has to be explained: it ended late, or it has not
// ended though it is not long-running.
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

// longestDelay returns the phase other than PhaseRun that took longest, or PhaseRun if no other phase took any time.
func longestDelay(seconds map[Phase]float64) Phase {
	longest := PhaseRun
	for _, p := range phases {
		if p != PhaseRun && seconds[p] > 0 && (longest == PhaseRun || seconds[p] > seconds[longest]) {
			longest = p
		}
	}
	return longest
}

// addToTimeline adds a segment to the seconds that it overlaps. Time before the start of the span counts in the first
// second.
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

// countUnplacedAndRefused counts the steps that were unplaced for long by cause, and the refused requests by reason. A
// step that was reported several times counts once, with the cause of its first report.
func (r *Report) countUnplacedAndRefused(lines []joblog.Line, jobs map[string]*job) {
	causes := map[string]int{}
	type step struct{ job, step string }
	counted := map[step]bool{}
	for i := range lines {
		l := &lines[i]
		switch {
		case jobs[l.JobID()] == nil:
		case l.Msg == "waits":
			if k := (step{l.JobID(), l.Field("step")}); !counted[k] {
				counted[k] = true
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

// mainUnplacedCause returns the log key of the cause that ruled out the most workers, from a line about an unplaced step:
// no resources (full), interference (harm), a latency-critical task over its target (shut), or a worker that accepts no
// tasks or lacks the label (closed).
func mainUnplacedCause(l *joblog.Line) string {
	cause, most := "unknown", 0
	for _, c := range []string{"full", "harm", "shut", "closed"} {
		if n := l.Int(c); n > most {
			cause, most = c, n
		}
	}
	return cause
}

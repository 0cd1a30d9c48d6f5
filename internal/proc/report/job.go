package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bramleysail.example/bramleysail/internal/proc/joblog"
)

// job is what logs tell of a job.
type job struct {
	id               string
	queue            string
	firstSeen        time.Time // of its lines
	refusedAt        time.Time // first; zero: never
	acceptedAt       time.Time // when the answer that it was accepted left; zero: not in these logs
	storeTime        time.Duration
	steps            map[string]*stepInstance // by occurrence and number
	stepOrder        []string                 // of steps, as they were placed
	endedAt          time.Time
	state            string
	relativeDeadline time.Duration
	longRunning      bool
}

// stepInstance is a stepInstance of a job's occurrence.
type stepInstance struct {
	placedAt     time.Time // when its last task found a place
	waited       time.Duration
	unplaced     time.Duration // of waited, after a task had found no place
	expectedTime time.Duration // that a task takes
	runs         map[string][]run
}

// run is a start of a task with its end.
type run struct {
	number  string
	sentAt  time.Time // of the start
	ackedAt time.Time
	endedAt time.Time
	end     string
}

func (j *job) ensureStep(name string) *stepInstance {
	if j.steps == nil {
		j.steps = map[string]*stepInstance{}
	}
	s := j.steps[name]
	if s == nil {
		s = &stepInstance{runs: map[string][]run{}}
		j.steps[name] = s
		j.stepOrder = append(j.stepOrder, name)
	}
	return s
}

// addLine takes a line about the job.
func (j *job) addLine(l *joblog.Line) {
	switch l.Msg {
	case "answer":
		if l.Field("verb") == "submit" && l.Field("result") == "refused" && j.refusedAt.IsZero() && j.acceptedAt.IsZero() {
			j.refusedAt = l.Time
		}
	case "accepted":
		j.queue, j.acceptedAt, j.storeTime = l.Field("queue"), l.Time, l.Duration("took")
	case "placed":
		s := j.ensureStep(l.Field("round") + "." + l.Field("step"))
		j.queue = cmp.Or(j.queue, l.Field("queue"))
		s.placedAt, s.waited, s.unplaced, s.expectedTime = l.Time, l.Duration("waited"), l.Duration("lacked"), l.Duration("expect")
		j.longRunning = j.longRunning || l.Field("lasting") == "true"
	case "order":
		j.addStart(l)
	case "end":
		j.addEnd(l)
	case "finished":
		j.queue = cmp.Or(j.queue, l.Field("queue"))
		j.endedAt, j.state, j.relativeDeadline = l.Time, l.Field("state"), l.Duration("aim")
	}
}

// stepOfTask returns the step of a line about a stepOfTask.
func (j *job) stepOfTask(l *joblog.Line) *stepInstance {
	p := strings.Split(l.Field("task"), ".")
	return j.ensureStep(p[1] + "." + p[2])
}

func (j *job) addStart(l *joblog.Line) {
	if l.Field("verb") != "start" || l.Field("outcome") != "done" {
		return
	}
	s, name := j.stepOfTask(l), l.Field("task")
	s.runs[name] = append(s.runs[name], run{number: l.Field("run"), sentAt: l.Time.Add(-l.Duration("took")), ackedAt: l.Time})
}

func (j *job) addEnd(l *joblog.Line) {
	s, name := j.stepOfTask(l), l.Field("task")
	for i, r := range s.runs[name] {
		if r.number == l.Field("run") {
			s.runs[name][i].endedAt, s.runs[name][i].end = l.Time, l.Field("how")
		}
	}
}

// segments returns what the job's time went to, along the tasks that ended last of each step.
func (j *job) segments() []segment {
	var all []segment
	at := j.firstSeen
	to := func(p Phase, t time.Time) {
		if t.After(at) {
			all = append(all, segment{p, at, t})
			at = t
		}
	}
	if !j.refusedAt.IsZero() && !j.acceptedAt.IsZero() {
		to(PhaseRefused, j.acceptedAt.Add(-j.storeTime))
	}
	if !j.acceptedAt.IsZero() {
		at = j.acceptedAt.Add(-j.storeTime)
		to(PhaseStore, j.acceptedAt)
	}
	for _, name := range j.stepOrder {
		s := j.steps[name]
		runs := s.lastTaskRuns()
		if len(runs) == 0 {
			continue
		}
		if !s.placedAt.IsZero() {
			to(PhaseScheduling, earliest(s.placedAt.Add(-s.unplaced), runs[0].sentAt))
			if s.unplaced > 0 {
				to(PhaseUnplaced, earliest(s.placedAt, runs[0].sentAt))
			}
		}
		to(PhaseScheduling, runs[0].sentAt)
		for i, r := range runs {
			to(PhaseOrder, r.ackedAt)
			switch {
			case i+1 < len(runs):
				to(PhaseRetry, runs[i+1].sentAt)
			case r.end == "done":
				if s.expectedTime > 0 {
					to(PhaseRun, earliest(r.endedAt, r.ackedAt.Add(s.expectedTime)))
					to(PhaseOverrun, r.endedAt)
				}
				to(PhaseRun, r.endedAt)
			case !r.endedAt.IsZero():
				to(PhaseRetry, r.endedAt)
			}
		}
	}
	return all
}

// lastTaskRuns returns the runs of the step's task that ended lastTaskRuns, in their order.
func (s *stepInstance) lastTaskRuns() []run {
	var best []run
	var end time.Time
	for _, runs := range s.runs {
		slices.SortStableFunc(runs, func(a, b run) int { return a.sentAt.Compare(b.sentAt) })
		if e := runs[len(runs)-1].endedAt; best == nil || e.After(end) || e.Equal(end) && runs[0].sentAt.Before(best[0].sentAt) {
			best, end = runs, e
		}
	}
	return best
}

package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bramleysail.example/bramleysail/internal/proc/story"
)

// job is what logs tell of a job.
type job struct {
	id      string
	queue   string
	first   time.Time // of its lines
	refused time.Time // first; zero: never
	taken   time.Time // when the answer that it was accepted left; zero: not in these logs
	store   time.Duration
	steps   map[string]*step // by occurrence and number
	order   []string         // of steps, as they were placed
	ended   time.Time
	state   string
	aim     time.Duration
	lasting bool
}

// step is a step of a job's occurrence.
type step struct {
	placed time.Time // when its last task found a place
	waited time.Duration
	lacked time.Duration // of waited, after a task had found no place
	expect time.Duration // that a task takes
	tasks  map[string][]run
}

// run is a start of a task with its end.
type run struct {
	number   string
	left     time.Time // of the start
	answered time.Time
	ended    time.Time
	how      string
}

func (j *job) step(name string) *step {
	if j.steps == nil {
		j.steps = map[string]*step{}
	}
	s := j.steps[name]
	if s == nil {
		s = &step{tasks: map[string][]run{}}
		j.steps[name] = s
		j.order = append(j.order, name)
	}
	return s
}

// take takes a line about the job.
func (j *job) take(l *story.Line) {
	switch l.Msg {
	case "answer":
		if l.Field("verb") == "submit" && l.Field("result") == "refused" && j.refused.IsZero() && j.taken.IsZero() {
			j.refused = l.At
		}
	case "accepted":
		j.queue, j.taken, j.store = l.Field("queue"), l.At, l.Duration("took")
	case "placed":
		s := j.step(l.Field("round") + "." + l.Field("step"))
		j.queue = cmp.Or(j.queue, l.Field("queue"))
		s.placed, s.waited, s.lacked, s.expect = l.At, l.Duration("waited"), l.Duration("lacked"), l.Duration("expect")
		j.lasting = j.lasting || l.Field("lasting") == "true"
	case "order":
		j.start(l)
	case "end":
		j.end(l)
	case "finished":
		j.queue = cmp.Or(j.queue, l.Field("queue"))
		j.ended, j.state, j.aim = l.At, l.Field("state"), l.Duration("aim")
	}
}

// task returns the step of a line about a task.
func (j *job) task(l *story.Line) *step {
	p := strings.Split(l.Field("task"), ".")
	return j.step(p[1] + "." + p[2])
}

func (j *job) start(l *story.Line) {
	if l.Field("verb") != "start" || l.Field("outcome") != "done" {
		return
	}
	s, name := j.task(l), l.Field("task")
	s.tasks[name] = append(s.tasks[name], run{number: l.Field("run"), left: l.At.Add(-l.Duration("took")), answered: l.At})
}

func (j *job) end(l *story.Line) {
	s, name := j.task(l), l.Field("task")
	for i, r := range s.tasks[name] {
		if r.number == l.Field("run") {
			s.tasks[name][i].ended, s.tasks[name][i].how = l.At, l.Field("how")
		}
	}
}

// segments returns what the job's time went to, along the tasks that ended last of each step.
func (j *job) segments() []segment {
	var all []segment
	at := j.first
	to := func(p Phase, t time.Time) {
		if t.After(at) {
			all = append(all, segment{p, at, t})
			at = t
		}
	}
	if !j.refused.IsZero() && !j.taken.IsZero() {
		to(PhaseRefused, j.taken.Add(-j.store))
	}
	if !j.taken.IsZero() {
		at = j.taken.Add(-j.store)
		to(PhaseStore, j.taken)
	}
	for _, name := range j.order {
		s := j.steps[name]
		runs := s.last()
		if len(runs) == 0 {
			continue
		}
		if !s.placed.IsZero() {
			to(PhaseHolder, earliest(s.placed.Add(-s.lacked), runs[0].left))
			if s.lacked > 0 {
				to(PhasePlace, earliest(s.placed, runs[0].left))
			}
		}
		to(PhaseHolder, runs[0].left)
		for i, r := range runs {
			to(PhaseOrder, r.answered)
			switch {
			case i+1 < len(runs):
				to(PhaseAgain, runs[i+1].left)
			case r.how == "done":
				if s.expect > 0 {
					to(PhaseRun, earliest(r.ended, r.answered.Add(s.expect)))
					to(PhaseSlow, r.ended)
				}
				to(PhaseRun, r.ended)
			case !r.ended.IsZero():
				to(PhaseAgain, r.ended)
			}
		}
	}
	return all
}

// last returns the runs of the step's task that ended last, in their order.
func (s *step) last() []run {
	var best []run
	var end time.Time
	for _, runs := range s.tasks {
		slices.SortStableFunc(runs, func(a, b run) int { return a.left.Compare(b.left) })
		if e := runs[len(runs)-1].ended; best == nil || e.After(end) || e.Equal(end) && runs[0].left.Before(best[0].left) {
			best, end = runs, e
		}
	}
	return best
}

package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bramleysail.example/bramleysail/internal/proc/joblog"
)

// job is what the logs say about a job.
type job struct {
	id               string                   // id of the job
	queue            string                   // its queue; empty: not in these logs
	firstSeen        time.Time                // time of its first line
	refusedAt        time.Time                // when it was first refused before it was accepted; zero: never
	acceptedAt       time.Time                // when its submission was answered as accepted; zero: not in these logs
	storeTime        time.Duration            // how long storing it took before that answer
	steps            map[string]*stepInstance // by OCCURRENCE.STEP
	stepOrder        []string                 // keys of steps by their first lines
	endedAt          time.Time                // when it reached its final state; zero: not in these logs
	state            string                   // final state; empty: not in these logs
	relativeDeadline time.Duration            // time within which it would be on time, known once it has ended
	longRunning      bool                     // whether a step of it is long-running
}

// stepInstance is a step of one occurrence of a job.
type stepInstance struct {
	placedAt     time.Time        // when its last task was placed; zero: not in these logs
	waited       time.Duration    // from when it was ready until placedAt
	unplaced     time.Duration    // the part of waited since a task first found no worker
	expectedTime time.Duration    // expected duration of a task
	runs         map[string][]run // runs of its tasks by task id
}

// run is a run of a task.
type run struct {
	number  string    // run number
	sentAt  time.Time // when the start order was sent
	ackedAt time.Time // when the worker's answer to the start order arrived
	endedAt time.Time // when the holder logged its end; zero: not in these logs
	end     string    // how it ended; empty: not in these logs
}

// ensureStep returns the step instance with the key OCCURRENCE.STEP and creates it if there is none.
func (j *job) ensureStep(key string) *stepInstance {
	if j.steps == nil {
		j.steps = map[string]*stepInstance{}
	}
	s := j.steps[key]
	if s == nil {
		s = &stepInstance{runs: map[string][]run{}}
		j.steps[key] = s
		j.stepOrder = append(j.stepOrder, key)
	}
	return s
}

// addLine adds a line about the job or one of its tasks.
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

// stepOfTask returns the step instance of the task that the line is about.
func (j *job) stepOfTask(l *joblog.Line) *stepInstance {
	parts := strings.Split(l.Field("task"), ".")
	return j.ensureStep(parts[1] + "." + parts[2])
}

// addStart adds a run if the line is about a start order that was carried out.
func (j *job) addStart(l *joblog.Line) {
	if l.Field("verb") != "start" || l.Field("outcome") != "done" {
		return
	}
	s, task := j.stepOfTask(l), l.Field("task")
	s.runs[task] = append(s.runs[task], run{number: l.Field("run"), sentAt: l.Time.Add(-l.Duration("took")), ackedAt: l.Time})
}

// addEnd records when and how a run ended. The end of a run whose start is not in the logs is ignored.
func (j *job) addEnd(l *joblog.Line) {
	s, task := j.stepOfTask(l), l.Field("task")
	for i, r := range s.runs[task] {
		if r.number == l.Field("run") {
			s.runs[task][i].endedAt, s.runs[task][i].end = l.Time, l.Field("how")
		}
	}
}

// segments divides the job's time into phases. In each step it follows the task that ended last.
func (j *job) segments() []segment {
	var segments []segment
	start := j.firstSeen
	// endPhase attributes the time from start to t to the phase p, and sets start to t.
	endPhase := func(p Phase, t time.Time) {
		if t.After(start) {
			segments = append(segments, segment{p, start, t})
			start = t
		}
	}
	if !j.refusedAt.IsZero() && !j.acceptedAt.IsZero() {
		endPhase(PhaseRefused, j.acceptedAt.Add(-j.storeTime))
	}
	if !j.acceptedAt.IsZero() {
		start = j.acceptedAt.Add(-j.storeTime)
		endPhase(PhaseStore, j.acceptedAt)
	}
	for _, key := range j.stepOrder {
		s := j.steps[key]
		runs := s.lastTaskRuns()
		if len(runs) == 0 {
			continue
		}
		if !s.placedAt.IsZero() {
			endPhase(PhaseScheduling, earliest(s.placedAt.Add(-s.unplaced), runs[0].sentAt))
			if s.unplaced > 0 {
				endPhase(PhaseUnplaced, earliest(s.placedAt, runs[0].sentAt))
			}
		}
		endPhase(PhaseScheduling, runs[0].sentAt)
		for i, r := range runs {
			endPhase(PhaseOrder, r.ackedAt)
			switch {
			case i+1 < len(runs):
				endPhase(PhaseRetry, runs[i+1].sentAt)
			case r.end == "done":
				if s.expectedTime > 0 {
					endPhase(PhaseRun, earliest(r.endedAt, r.ackedAt.Add(s.expectedTime)))
					endPhase(PhaseOverrun, r.endedAt)
				}
				endPhase(PhaseRun, r.endedAt)
			case !r.endedAt.IsZero():
				endPhase(PhaseRetry, r.endedAt)
			}
		}
	}
	return segments
}

// lastTaskRuns returns the runs, by start, of the step's task that ended last. Among tasks that ended at the same time,
// it takes the one that was started first.
func (s *stepInstance) lastTaskRuns() []run {
	var lastRuns []run
	var lastEnd time.Time
	for _, runs := range s.runs {
		slices.SortStableFunc(runs, func(a, b run) int { return a.sentAt.Compare(b.sentAt) })
		if e := runs[len(runs)-1].endedAt; lastRuns == nil || e.After(lastEnd) || e.Equal(lastEnd) && runs[0].sentAt.Before(lastRuns[0].sentAt) {
			lastRuns, lastEnd = runs, e
		}
	}
	return lastRuns
}

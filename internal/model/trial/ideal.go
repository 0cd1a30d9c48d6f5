package trial

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/model/trace"
	"bramleysail.example/bramleysail/internal/model/world"
)

// simulateIdeal plays a day with all workers as one without faults, which knows what each task takes and where
// nothing disturbs anything: what no scheduler exceeds by much. Lasting tasks are always at
// work; the rest is ordered by the latest start with which a job is on time.
func simulateIdeal(d *trace.Scenario, jobs []*trace.Job, start time.Time) *Result {
	res := &Result{}
	cores := 0.0
	for i := range d.WorkerCount {
		cores += float64(d.WorkerCPUs[i%len(d.WorkerCPUs)])
	}
	var all []*idealJob
	for _, j := range jobs {
		if !j.Kind.LongRunning {
			all = append(all, &idealJob{Job: j})
			continue
		}
		cores -= longRunningUsageShare * float64(j.Spec.Steps[0].Count*j.Spec.Steps[0].Size.CPU)
		t := res.tallyOf(j.Kind.Name)
		for at := max(warmup, j.SubmittedAt); at < d.Duration; {
			next := min(at.Truncate(valueWindow)+valueWindow, d.Duration)
			worth := (next - at).Seconds() / longRunningValuePeriod.Seconds() * j.Kind.OnTimeValue
			res.addValue(t, at, worth, worth)
			at = next
		}
	}
	var open []*idealJob
	for at := time.Duration(0); at < d.Duration+drainTime; at += world.Tick {
		for len(all) > 0 && all[0].SubmittedAt <= at {
			open = append(open, all[0])
			all = all[1:]
		}
		slices.SortStableFunc(open, func(a, b *idealJob) int { return int(a.latestStart(at) - b.latestStart(at)) })
		rest := open[:0]
		for _, j := range open {
			if !j.advance(at, &cores) {
				rest = append(rest, j)
				continue
			}
			res.addCompleted(j.Job, at-j.SubmittedAt)
		}
		open = rest
	}
	for _, j := range open {
		res.addUnfinished(j.Job)
	}
	res.worstWindowShares = []float64{res.worstWindowShare()}
	return res
}

// idealJob is a job with the times at which the tasks of its present step end.
type idealJob struct {
	*trace.Job
	currentStep int
	taskEnds    []time.Duration
}

// missedDeadlineOffset moves a job that can't be on time any more behind those that can.
const missedDeadlineOffset = time.Hour

func (j *idealJob) latestStart(at time.Duration) time.Duration {
	left := time.Duration(0)
	for i := j.currentStep; i < len(j.TaskDurations); i++ {
		left += j.LongestTask(i)
	}
	l := j.SubmittedAt + j.RelativeDeadline() - left
	if len(j.taskEnds) == 0 && l < at {
		l += missedDeadlineOffset
	}
	return l
}

// advance starts what fits and reports whether the job has ended.
func (j *idealJob) advance(at time.Duration, cores *float64) bool {
	s := &j.Job.Spec.Steps[j.currentStep]
	for len(j.taskEnds) < s.Count && *cores >= float64(s.Size.CPU) {
		*cores -= float64(s.Size.CPU)
		t := len(j.taskEnds)
		j.taskEnds = append(j.taskEnds, at+time.Duration(1+j.FailedRuns[j.currentStep][t])*j.TaskDurations[j.currentStep][t])
	}
	left := s.Count - len(j.taskEnds)
	for i, e := range j.taskEnds {
		switch {
		case e < 0:
		case e <= at:
			j.taskEnds[i] = -1
			*cores += float64(s.Size.CPU)
		default:
			left++
		}
	}
	if left > 0 {
		return false
	}
	j.currentStep, j.taskEnds = j.currentStep+1, nil
	return j.currentStep == len(j.TaskDurations)
}

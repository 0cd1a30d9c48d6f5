package trial

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/model/trace"
	"bramleysail.example/bramleysail/internal/model/world"
)

// simulateIdeal computes an upper bound that no scheduler exceeds by much. It treats all workers as one without
// faults or interference and knows the true duration of each task. Long-running tasks are always ready; the other
// jobs are ordered by the latest start with which they are on time.
func simulateIdeal(s *trace.Scenario, jobs []*trace.Job, start time.Time) *Result {
	result := &Result{}
	cores := 0.0
	for i := range s.WorkerCount {
		cores += float64(s.WorkerCPUs[i%len(s.WorkerCPUs)])
	}
	var upcoming []*idealJob
	for _, j := range jobs {
		if !j.Kind.LongRunning {
			upcoming = append(upcoming, &idealJob{Job: j})
			continue
		}
		cores -= longRunningUsageShare * float64(j.Spec.Steps[0].Count*j.Spec.Steps[0].Size.CPU)
		t := result.tallyOf(j.Kind.Name)
		for at := max(warmup, j.SubmittedAt); at < s.Duration; {
			next := min(at.Truncate(valueWindow)+valueWindow, s.Duration)
			value := (next - at).Seconds() / longRunningValuePeriod.Seconds() * j.Kind.OnTimeValue
			result.addValue(t, at, value, value)
			at = next
		}
	}
	var unfinished []*idealJob
	for at := time.Duration(0); at < s.Duration+drainTime; at += world.Tick {
		for len(upcoming) > 0 && upcoming[0].SubmittedAt <= at {
			unfinished = append(unfinished, upcoming[0])
			upcoming = upcoming[1:]
		}
		slices.SortStableFunc(unfinished, func(a, b *idealJob) int { return int(a.latestStart(at) - b.latestStart(at)) })
		remaining := unfinished[:0]
		for _, j := range unfinished {
			if !j.advance(at, &cores) {
				remaining = append(remaining, j)
				continue
			}
			result.addCompleted(j.Job, at-j.SubmittedAt)
		}
		unfinished = remaining
	}
	for _, j := range unfinished {
		result.addUnfinished(j.Job)
	}
	result.worstWindowShares = []float64{result.worstWindowShare()}
	return result
}

// idealJob is a job with its progress.
type idealJob struct {
	*trace.Job
	currentStep int             // index of the step in progress
	taskEnds    []time.Duration // when the started tasks of this step end, since the start of the scenario; -1: ended
}

// missedDeadlineOffset sorts jobs that can no longer be on time behind those that can.
const missedDeadlineOffset = time.Hour

// latestStart returns the latest start of the remaining steps with which the job is on time. It adds
// missedDeadlineOffset if that has passed and no task of the current step has started.
func (j *idealJob) latestStart(at time.Duration) time.Duration {
	remaining := time.Duration(0)
	for i := j.currentStep; i < len(j.TaskDurations); i++ {
		remaining += j.LongestTask(i)
	}
	latest := j.SubmittedAt + j.RelativeDeadline() - remaining
	if len(j.taskEnds) == 0 && latest < at {
		latest += missedDeadlineOffset
	}
	return latest
}

// advance starts the tasks of the current step for which there are cores and ends those that are done. It reports
// whether the job has completed.
func (j *idealJob) advance(at time.Duration, cores *float64) bool {
	s := &j.Job.Spec.Steps[j.currentStep]
	for len(j.taskEnds) < s.Count && *cores >= float64(s.Size.CPU) {
		*cores -= float64(s.Size.CPU)
		t := len(j.taskEnds)
		j.taskEnds = append(j.taskEnds, at+time.Duration(1+j.FailedRuns[j.currentStep][t])*j.TaskDurations[j.currentStep][t])
	}
	unfinished := s.Count - len(j.taskEnds)
	for i, end := range j.taskEnds {
		switch {
		case end < 0:
		case end <= at:
			j.taskEnds[i] = -1
			*cores += float64(s.Size.CPU)
		default:
			unfinished++
		}
	}
	if unfinished > 0 {
		return false
	}
	j.currentStep, j.taskEnds = j.currentStep+1, nil
	return j.currentStep == len(j.TaskDurations)
}

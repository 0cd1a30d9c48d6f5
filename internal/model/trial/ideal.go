package trial

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/model/trace"
	"bramleysail.example/bramleysail/internal/model/world"
)

// ideal plays a day with all workers as one without faults, which knows what each task takes and where
// nothing disturbs anything: what no scheduler exceeds by much. Lasting tasks are always at
// work; the rest is ordered by the latest start with which a job is on time.
func ideal(d *trace.Day, jobs []*trace.Job, start time.Time) *Result {
	res := &Result{}
	cores := 0.0
	for i := range d.Workers {
		cores += float64(d.Sizes[i%len(d.Sizes)])
	}
	var all []*idealJob
	for _, j := range jobs {
		if !j.Kind.Lasting {
			all = append(all, &idealJob{Job: j})
			continue
		}
		cores -= lastingUse * float64(j.Job.Steps[0].Count*j.Job.Steps[0].Size.CPU)
		t := res.tally(j.Kind.Name)
		for at := max(warmup, j.At); at < d.Length; {
			next := min(at.Truncate(window)+window, d.Length)
			worth := (next - at).Seconds() / slot.Seconds() * j.Kind.Worth
			res.count(t, at, worth, worth)
			at = next
		}
	}
	var open []*idealJob
	for at := time.Duration(0); at < d.Length+tailing; at += world.Tick {
		for len(all) > 0 && all[0].At <= at {
			open = append(open, all[0])
			all = all[1:]
		}
		slices.SortStableFunc(open, func(a, b *idealJob) int { return int(a.latest(at) - b.latest(at)) })
		rest := open[:0]
		for _, j := range open {
			if !j.step(at, &cores) {
				rest = append(rest, j)
				continue
			}
			res.ended(j.Job, at-j.At)
		}
		open = rest
	}
	for _, j := range open {
		res.missed(j.Job)
	}
	res.weak = []float64{res.weakest()}
	return res
}

// idealJob is a job with the times at which the tasks of its present step end.
type idealJob struct {
	*trace.Job
	now  int
	ends []time.Duration
}

// hopeless moves a job that can't be on time any more behind those that can.
const hopeless = time.Hour

func (j *idealJob) latest(at time.Duration) time.Duration {
	left := time.Duration(0)
	for i := j.now; i < len(j.Work); i++ {
		left += j.Longest(i)
	}
	l := j.At + j.Objective() - left
	if len(j.ends) == 0 && l < at {
		l += hopeless
	}
	return l
}

// step starts what fits and reports whether the job has ended.
func (j *idealJob) step(at time.Duration, cores *float64) bool {
	s := &j.Job.Job.Steps[j.now]
	for len(j.ends) < s.Count && *cores >= float64(s.Size.CPU) {
		*cores -= float64(s.Size.CPU)
		t := len(j.ends)
		j.ends = append(j.ends, at+time.Duration(1+j.Fails[j.now][t])*j.Work[j.now][t])
	}
	left := s.Count - len(j.ends)
	for i, e := range j.ends {
		switch {
		case e < 0:
		case e <= at:
			j.ends[i] = -1
			*cores += float64(s.Size.CPU)
		default:
			left++
		}
	}
	if left > 0 {
		return false
	}
	j.now, j.ends = j.now+1, nil
	return j.now == len(j.Work)
}

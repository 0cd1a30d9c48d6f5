package sched

import "time"

const (
	// returnGrace is how long after the time that it was told a refused job is still expected.
	returnGrace = 500 * time.Millisecond
	// returnSlack is how much earlier than told a job may return and still count as returning in time.
	returnSlack = 100 * time.Millisecond
	// returnTolerance is by how much more the start of a job that returns in time may be delayed than that of a new one.
	returnTolerance = 3
	// missingWeight is the weight of a job that returns, or doesn't, in the share of those that do.
	missingWeight = 0.02
	// maxReturns bounds the refused jobs that are expected.
	maxReturns = 10_000
)

// expectedReturns are the jobs that were refused with a time to come back. The starts that they will ask for count for new
// jobs: a caller who returned when told to would otherwise find that later ones have taken its turn. They count as far as
// callers do return; some have deadlines before.
type expectedReturns struct {
	jobs    map[string]expectedReturn // by id
	missing float64                   // share of the jobs that didn't return in time lately
}

// expectedReturn is one of them.
type expectedReturn struct {
	tasks int       // that the job asks for at once
	due   time.Time // when it may be submitted again
}

// takeInTime forgets a job that is submitted now, and reports whether it returns when it was told to.
func (e *expectedReturns) takeInTime(now time.Time, id string) bool {
	r, ok := e.jobs[id]
	delete(e.jobs, id)
	if !ok || now.Before(r.due.Add(-returnSlack)) {
		return false
	}
	e.missing -= missingWeight * e.missing
	return true
}

// tasks returns how many tasks the expected jobs will ask for, and forgets those that haven't returned.
func (e *expectedReturns) tasks(now time.Time) int {
	n := 0
	for id, r := range e.jobs {
		if now.Sub(r.due) > returnGrace {
			delete(e.jobs, id)
			e.missing += missingWeight * (1 - e.missing)
			continue
		}
		n += r.tasks
	}
	return int(float64(n) * (1 - e.missing))
}

// expect records that a job was refused with a time to come back.
func (e *expectedReturns) expect(j *Job, due time.Time) {
	if len(e.jobs) >= maxReturns {
		return
	}
	if e.jobs == nil {
		e.jobs = map[string]expectedReturn{}
	}
	e.jobs[j.ID] = expectedReturn{firstTasks(j), due}
}

// firstTasks returns the number of tasks that a job asks for at once.
func firstTasks(j *Job) int {
	n := 0
	for _, s := range j.Steps {
		if len(s.DependsOn) == 0 {
			n += s.Count
		}
	}
	return n
}

package sched

import (
	"math"
	"time"
)

// Memory that a job takes, in bytes. Runs, ends and metrics come on top.
const (
	jobMemory  = 512 // a job, besides its record
	stepMemory = 640 // a step of an occurrence
	taskMemory = 112 // a task of an occurrence
)

// occurrenceWindow is the time for which the occurrences of a recurring job count that fall due within it.
const occurrenceWindow = time.Minute

// ExpectedMemory returns how many bytes a job will take once it is accepted at a time: with those of its occurrences that are due by
// then, and with those that fall due within occurrenceWindow, now or later. size is that of its record.
func (j *Job) ExpectedMemory(now time.Time, size int) int64 {
	return jobMemory + int64(size) + int64(j.occurrencesWithin(now))*j.occurrenceMemory()
}

// occurrenceMemory returns how many bytes an occurrence of the job takes.
func (j *Job) occurrenceMemory() int64 {
	var n int64
	for i := range j.Steps {
		n += stepMemory + taskMemory*int64(j.Steps[i].Count)
	}
	return n
}

// occurrencesWithin returns how many of the job's occurrences are due at a time or fall due within occurrenceWindow from then, or
// from its first one if that is later.
func (j *Job) occurrencesWithin(now time.Time) int {
	if j.OccurrenceCount <= 0 {
		return 1
	}
	if j.Interval <= 0 {
		return j.OccurrenceCount
	}
	span := occurrenceWindow + min(max(0, now.Sub(j.FirstDue)), math.MaxInt64-occurrenceWindow)
	return int(min(int64(j.OccurrenceCount), 1+int64(span/j.Interval)))
}

// ReservedMemory returns how many bytes the next occurrences of recurring jobs will take that fall due within occurrenceWindow, now
// or later.
func (c *Core) ReservedMemory(now time.Time) int64 {
	var n int64
	for _, j := range c.recurring {
		if left := j.occurrencesWithin(now) - len(j.occurrences); left > 0 {
			n += int64(left) * j.occurrenceMemory()
		}
	}
	return n
}

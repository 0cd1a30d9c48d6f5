package sched

import (
	"fmt"
	"testing"
	"time"
)

// Guards against new jobs that are refused because of callers who don't come back.
func TestExpectedReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	j := func(i int) *Job {
		return &Job{ID: fmt.Sprint(i), Steps: []Step{{Count: 10}, {Count: 5, DependsOn: []int{0}}}}
	}
	var e expectedReturns
	e.expect(j(0), now.Add(time.Second))
	if got := e.tasks(now); got != 10 {
		t.Errorf("%d tasks expected, want the 10 of the first step", got)
	}
	if e.takeInTime(now.Add(500*time.Millisecond), "0") || e.takeInTime(now.Add(time.Second), "0") {
		t.Error("a job that comes too early, or is asked for twice, returns in time")
	}
	e.expect(j(1), now.Add(time.Second))
	if !e.takeInTime(now.Add(time.Second), "1") {
		t.Error("a job that comes when it was told to doesn't return in time")
	}
	for i := range 200 { // none of which returns
		e.expect(j(i), now.Add(time.Second))
		now = now.Add(2 * time.Second)
		e.tasks(now)
	}
	e.expect(j(0), now.Add(time.Second))
	if got := e.tasks(now); got > 1 {
		t.Errorf("%d tasks expected of callers who never return", got)
	}
}

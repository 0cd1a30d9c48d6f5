package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// The worker of a feed is gone while all others are full, and new feeds come in. Its job's due time is long over: with
// that for its turn, the feed stood still until all that had come after it ran.
func TestLongestWaitingFeedFirst(t *testing.T) {
	feed := func(id string, at time.Time) *sched.Job {
		return one(id, func(j *sched.Job) {
			j.Steps[0].Lasting, j.Steps[0].Size.CPU = true, 16000
			j.At, j.Aim, j.Stretch = at, time.Second, 1.5
		})
	}
	b := newBench(t, 1, 2).open()
	b.core.Admit(b.now, feed("old", b.now))
	b.core.Admit(b.now, feed("beside", b.now))
	workers := map[string]sched.Order{}
	for _, o := range b.plan(sched.VerbStart) {
		workers[o.Task.Job] = o
	}
	old, beside := workers["old"], workers["beside"]
	for range 20 {
		b.after(time.Second)
		for _, o := range workers {
			b.poll(o.Life.ID, sched.Report{Running: []sched.Running{running(o)}})
		}
	}
	var all []sched.Member
	for _, m := range members(2) {
		if m.ID != old.Life.ID {
			all = append(all, m)
		}
	}
	b.core.Roster(b.now, all)
	b.poll(old.Life.ID, sched.Report{Finished: []sched.Finished{finished(1, old, sched.EndStopped)}})
	b.plan(sched.VerbStart)
	for _, id := range []string{"new0", "new1"} {
		b.after(500 * time.Millisecond)
		b.core.Admit(b.now, feed(id, b.now))
		b.plan(sched.VerbStart)
	}
	b.core.Cancel(b.now, "beside")
	b.plan(sched.VerbStop)
	b.poll(beside.Life.ID, sched.Report{Finished: []sched.Finished{finished(1, beside, sched.EndStopped)}})
	got := b.plan(sched.VerbStart)
	if len(got) != 1 || got[0].Task.Job != "old" {
		t.Errorf("room for one goes to %v, want old, which has waited longest", got)
	}
}

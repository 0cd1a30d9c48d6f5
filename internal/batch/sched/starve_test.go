package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// A filling task whose image would disturb the serving tasks of every worker stands still for good, with processors idle.
func TestFillingTaskDoesNotStarve(t *testing.T) {
	b := newBench(t, 1, 1).open()
	feed := serving("s", "serve")
	feed.Steps[0].Count = 1
	b.core.Admit(b.now, feed)
	row := running(b.plan(sched.VerbStart)[0])
	row.Part, row.Tail = 100, 18*time.Millisecond // three quarters of its target
	for range 10 {
		b.after(600 * time.Millisecond)
		b.poll("w0", sched.Report{Running: []sched.Running{row}})
	}
	book := filling("f", "fill", 3000)
	book.Steps[0].Count = 2
	b.core.Admit(b.now, book)
	if got := b.plan(sched.VerbStart); len(got) != 0 {
		t.Fatalf("started %v where it brings a serving task over its target", got)
	}
	for waited := time.Duration(0); waited < 3*time.Second; waited += 200 * time.Millisecond {
		b.after(200 * time.Millisecond)
		b.poll("w0", sched.Report{Running: []sched.Running{row}})
		if got := b.plan(sched.VerbStart); len(got) > 0 {
			if len(got) != 1 {
				t.Errorf("started %v, want one task that keeps the job going", got)
			}
			return
		}
	}
	t.Error("no task of the job runs within 3s")
}

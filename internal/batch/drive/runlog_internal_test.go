package drive

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/telem"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/proc/joblog"
)

// Guards against runs that can't be found in the logs any more, or that cost a line each under load.
func TestRunLog(t *testing.T) { synctest.Test(t, testRunLog) }

func testRunLog(t *testing.T) {
	const tasks = 40
	var out bytes.Buffer
	l := newRunLog(telem.NewLogger(&out, "info").WithValues("host", "a", "term", 1))
	now := time.Now()
	l.flush(now, false)
	var want []string
	for i := range tasks {
		id := sched.TaskID{Job: "j", Step: 1, Index: i}
		o := sched.Order{Verb: sched.VerbStart, Task: id, Run: 1_000_001, Incarnation: sched.Incarnation{ID: fmt.Sprintf("w%d", i)}}
		l.addStart(now, o, 5*time.Millisecond)
		l.addEnd(now.Add(50*time.Millisecond), o.Incarnation.ID, sched.FinishedRun{Seq: int64(i), Task: id.String(), Run: o.Run, End: sched.EndDone})
		want = append(want, fmt.Sprintf("order %s 1000001 w%d done 5ms", id, i), fmt.Sprintf("end %s 1000001 w%d done %d", id, i, i))
	}
	l.flush(now.Add(60*time.Millisecond), false)
	if out.Len() > 0 {
		t.Errorf("logged before the interval is over: %s", out.String())
	}
	l.flush(now.Add(runLogInterval), false)
	if n := strings.Count(out.String(), "\n"); n != 2 {
		t.Errorf("%d lines for the starts and ends of one step, want 2", n)
	}
	lines, unreadable, err := joblog.ReadLines(&out)
	if err != nil || unreadable > 0 {
		t.Fatalf("%d unreadable lines, %v", unreadable, err)
	}
	got := map[string]bool{}
	for _, line := range lines {
		value := line.Field("outcome") + line.Field("how") + " " + line.Field("took") + line.Field("seq")
		got[fmt.Sprintf("%s %s %s %s %s", line.Msg, line.Field("task"), line.Field("run"), line.Field("worker"), value)] = true
	}
	for _, w := range want {
		if !got[w] {
			t.Errorf("no line %q", w)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d lines read, want %d", len(got), len(want))
	}
	starts, ends := lines[0].Time, lines[len(lines)-1].Time
	if lines[0].Msg == "end" {
		starts, ends = ends, starts
	}
	if d := ends.Sub(starts); d != 50*time.Millisecond {
		t.Errorf("ends %v after the starts, want 50ms", d)
	}
	out.Reset()
	l.addStart(now, sched.Order{Task: sched.TaskID{Job: "k"}, Run: 1}, 0)
	l.flush(now, true)
	if !strings.Contains(out.String(), "job=k") {
		t.Error("the last starts of a tenure aren't logged")
	}
}

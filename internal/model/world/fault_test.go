package world_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/model/trace"
	"bramleysail.example/bramleysail/internal/model/world"
)

// A task with a second of work starts at about the same time as a fault that lasts for three seconds.
func TestFaultEffects(t *testing.T) {
	for _, tt := range []struct {
		name  string
		kind  trace.FaultKind
		end   sched.End
		after time.Duration // time until the end; 0: the task never ends
	}{
		{"no fault", "", sched.EndDone, time.Second},
		{"slow", trace.FaultSlow, sched.EndDone, 3*time.Second + 400*time.Millisecond}, // 0.6 s of work is done when the fault ends
		{"hang", trace.FaultHang, sched.EndDone, 4 * time.Second},
		{"fail", trace.FaultFail, sched.EndFailed, 200 * time.Millisecond},
		{"leave", trace.FaultLeave, "", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			s := &trace.Scenario{WorkerCount: 1, RackCount: 1, WorkerCPUs: []int{4000}, WorkerMem: 4000, LoadPeriod: time.Second}
			job := &trace.Job{
				Kind: &trace.JobKind{}, TaskDurations: [][]time.Duration{{time.Second}}, FailedRuns: [][]int{{0}},
				Spec: &sched.Job{ID: "j", Steps: []sched.Step{{Count: 1, Size: wire.Size{CPU: 1000, Mem: 1000}}}},
			}
			faults := []trace.Fault{{Kind: tt.kind, Start: world.Tick, Duration: 3 * time.Second, Factor: 5}}
			w := world.New(s, start, []*trace.Job{job}, faults, 1)
			k := w.Workers[0]
			order := sched.Order{Verb: sched.VerbStart, Incarnation: k.Member.Incarnation, Task: sched.TaskID{Job: "j"}, Run: 1}
			startTask := func(now time.Time) {
				if out := w.ExecuteOrder(now, order); out != sched.OutcomeDone {
					t.Fatalf("start: %s", out)
				}
			}
			if tt.kind != trace.FaultFail {
				startTask(start) // the task runs when the fault begins
			}
			for at := world.Tick; at <= 6*time.Second; at += world.Tick {
				now := start.Add(at)
				w.ApplyFaults(now)
				if at == world.Tick && tt.kind == trace.FaultFail {
					startTask(now)
				}
				if len(w.Advance(now)) == 0 {
					continue
				}
				f := w.AnswerPoll(now, k, 0).Finished[0]
				if f.End != tt.end || (at-tt.after).Abs() > 2*world.Tick {
					t.Errorf("ended as %s after %s, want %s after %s", f.End, at, tt.end, tt.after)
				}
				return
			}
			if tt.after != 0 {
				t.Fatal("the task has not ended")
			}
			if k.Lost() || len(k.Tasks) != 0 || k.Member.StartedAt != 2 {
				t.Errorf("worker lost: %v, with %d tasks in incarnation %d, want no tasks in incarnation 2", k.Lost(), len(k.Tasks), k.Member.StartedAt)
			}
			if out := w.ExecuteOrder(start.Add(7*time.Second), order); out != sched.OutcomeOtherIncarnation {
				t.Errorf("outcome of an order to the former incarnation: %s, want %s", out, sched.OutcomeOtherIncarnation)
			}
		})
	}
}

package world_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
	"bramleysail.example/bramleysail/internal/model/trace"
	"bramleysail.example/bramleysail/internal/model/world"
)

// A task of a second of work, started as a fault begins that stays for three.
func TestFaultEffects(t *testing.T) {
	for _, tt := range []struct {
		name  string
		kind  trace.FaultKind
		how   sched.End
		after time.Duration // 0: it never ends
	}{
		{"sound", "", sched.EndDone, time.Second},
		{"slow", trace.FaultSlow, sched.EndDone, 3*time.Second + 400*time.Millisecond}, // 0.6 s of work by then
		{"hang", trace.FaultHang, sched.EndDone, 4 * time.Second},
		{"fail", trace.FaultFail, sched.EndFailed, 200 * time.Millisecond},
		{"leave", trace.FaultLeave, "", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			d := &trace.Scenario{WorkerCount: 1, RackCount: 1, WorkerCPUs: []int{4000}, WorkerMem: 4000, LoadPeriod: time.Second}
			job := &trace.Job{
				Kind: &trace.JobKind{}, TaskDurations: [][]time.Duration{{time.Second}}, FailedRuns: [][]int{{0}},
				Spec: &sched.Job{ID: "j", Steps: []sched.Step{{Count: 1, Size: wire.Size{CPU: 1000, Mem: 1000}}}},
			}
			faults := []trace.Fault{{Kind: tt.kind, Start: world.Tick, Duration: 3 * time.Second, Factor: 5}}
			w := world.New(d, start, []*trace.Job{job}, faults, 1)
			k := w.Workers[0]
			order := sched.Order{Verb: sched.VerbStart, Incarnation: k.Member.Incarnation, Task: sched.TaskID{Job: "j"}, Run: 1}
			begin := func(now time.Time) {
				if out := w.ExecuteOrder(now, order); out != sched.OutcomeDone {
					t.Fatalf("start: %s", out)
				}
			}
			if tt.kind != trace.FaultFail {
				begin(start) // there as the fault begins
			}
			for at := world.Tick; at <= 6*time.Second; at += world.Tick {
				now := start.Add(at)
				w.ApplyFaults(now)
				if at == world.Tick && tt.kind == trace.FaultFail {
					begin(now)
				}
				if len(w.Advance(now)) == 0 {
					continue
				}
				f := w.AnswerPoll(now, k, 0).Finished[0]
				if f.End != tt.how || (at-tt.after).Abs() > 2*world.Tick {
					t.Errorf("ended as %s after %s, want %s after %s", f.End, at, tt.how, tt.after)
				}
				return
			}
			if tt.after != 0 {
				t.Fatal("the task hasn't ended")
			}
			if k.Lost() || len(k.Tasks) != 0 || k.Member.StartedAt != 2 {
				t.Errorf("away %v with %d tasks in life %d, want none in life 2", k.Lost(), len(k.Tasks), k.Member.StartedAt)
			}
			if out := w.ExecuteOrder(start.Add(7*time.Second), order); out != sched.OutcomeOtherIncarnation {
				t.Errorf("an order to the former life: %s, want %s", out, sched.OutcomeOtherIncarnation)
			}
		})
	}
}

package rack

import (
	"testing"
	"time"
)

// TestLateReadAnswerDoesNotResolveStart guards against a task that runs on two workers at once: a worker answers a renewal,
// then a delayed start arrives before its deadline, and the holder, short of processor time, reads the answer only after
// the deadline. The time of reading is taken for that of the answer, so the start counts as never executed.
func TestLateReadAnswerDoesNotResolveStart(t *testing.T) {
	h := newHarness()
	c := h.newHolder(1)
	p := h.wantTask(c)
	confirmed := h.now
	tick := func() []Action { return c.Tick(h.now, ZoneStatus{Usable: true, ConfirmedAt: confirmed}) }
	var start Start
	for _, a := range tick() {
		if s, ok := a.(Start); ok {
			start = s
		}
	}
	c.HandleStartResult(h.now, p, CommandResult{NoAnswer: true})
	deadline := confirmed.Add(testMaxConfigAge)
	h.now = deadline.Add(-200 * time.Millisecond)
	var late *CommandResult
	for _, a := range tick() {
		switch a := a.(type) {
		case Renew:
			rep, refusal := h.worker.Renew(a.Msg)
			late = &CommandResult{Report: rep, Refusal: refusal}
		case Start:
			c.HandleStartResult(h.now, p, CommandResult{NoAnswer: true})
		}
	}
	if late == nil || late.Refusal != "" {
		t.Fatalf("no renewal, or refused: %+v", late)
	}
	h.now = deadline.Add(-100 * time.Millisecond)
	if _, refusal := h.worker.Start(start.Msg); refusal != "" {
		t.Fatal(refusal)
	}
	h.now = deadline.Add(expiryMargin + time.Millisecond)
	c.HandleRenewResult(h.now, "w", *late)
	tick()
	if _, returned := c.BuildReport("b", false).Back[p]; returned && len(h.worker.RunningTasks()) > 0 {
		t.Error("the placement goes back to its bucket, to be started elsewhere, while the task runs")
	}
}

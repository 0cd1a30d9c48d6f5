package rack

import (
	"encoding/json"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
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

// TestLateReadRefusalDoesNotResolveStart covers a start without an answer that arrives after the refusal of its
// repetition. The refusal, read after the deadline, must not return the placement while the task runs.
func TestLateReadRefusalDoesNotResolveStart(t *testing.T) {
	h := newHarness()
	c := h.newHolder(1)
	p := h.wantTask(c)
	confirmed := h.now
	deadline := confirmed.Add(testMaxConfigAge)
	tick := func() (start *Start, renewal *Renew) {
		for _, a := range c.Tick(h.now, ZoneStatus{Usable: true, ConfirmedAt: confirmed}) {
			switch a := a.(type) {
			case Start:
				start = &a
			case Renew:
				renewal = &a
			}
		}
		return start, renewal
	}
	first, _ := tick()
	c.HandleStartResult(h.now, p, CommandResult{NoAnswer: true})
	h.now = deadline.Add(-testMaxConfigAge / 2)
	repeated, renewal := tick()
	if renewal == nil || repeated == nil {
		t.Fatal("no renewal or no repeated start")
	}
	c.HandleStartResult(h.now, p, CommandResult{NoAnswer: true})
	rep, refusal := h.worker.Renew(renewal.Msg)
	if refusal != "" {
		t.Fatal(refusal)
	}
	h.now = deadline.Add(-400 * time.Millisecond)
	c.HandleRenewResult(h.now, "w", CommandResult{Report: rep}) // read so late that the worker's clock seems slow
	repeated, _ = tick()
	h.now = deadline.Add(-200 * time.Millisecond)
	_, refusal = h.worker.Start(repeated.Msg)
	if refusal != wire.RefusalDeadlinePassed {
		t.Fatalf("refusal %q of the repeated start", refusal)
	}
	if _, r := h.worker.Start(first.Msg); r != "" {
		t.Fatal(r)
	}
	h.now = deadline.Add(expiryMargin + time.Millisecond)
	c.HandleStartResult(h.now, p, CommandResult{Refusal: refusal})
	tick()
	if _, returned := c.BuildReport("b", false).Back[p]; returned && len(h.worker.RunningTasks()) > 0 {
		t.Error("the placement goes back to its bucket while the task runs")
	}
}

// TestFormerBucketHolderReplyIgnored covers a reply of a bucket's former holder that is applied after those of the next
// one. By then the task in it has finished and its worker has forgotten it, so it must not start again.
func TestFormerBucketHolderReplyIgnored(t *testing.T) {
	h := newHarness()
	c := h.newHolder(1)
	var record []byte
	write := func(bucket *jobs.Core) {
		value, err := bucket.BeginWrite("id")
		if err != nil {
			t.Fatal(err)
		}
		bucket.EndWrite(true)
		record = value
	}
	report := func(bucket *jobs.Core) jobs.RackReply {
		return bucket.HandleReport(h.now, c.BuildReport("b", true), func(string) bool { return true })
	}
	former := jobs.New(jobs.Bucket{}, 1)
	write(former)
	if err := former.Submit(h.now, jobs.Spec{ID: "audit", Kind: "audit", N: 1, Size: workerSize, Run: time.Second}); err != nil {
		t.Fatal(err)
	}
	write(former)
	h.deliver(c, h.tick(c))
	report(former)
	write(former)
	late := report(former)
	if len(late.Run) != 1 {
		t.Fatalf("%d tasks placed, want 1", len(late.Run))
	}
	var stored jobs.Bucket
	if err := json.Unmarshal(record, &stored); err != nil {
		t.Fatal(err)
	}
	next := jobs.New(stored, 2)
	id := late.Run[0].Place.String()
	for range 20 {
		write(next)
		c.HandleReply(h.now, "b", report(next))
		h.deliver(c, h.tick(c))
		h.now = h.now.Add(stepInterval)
	}
	if n := h.worker.AcceptedResults()[id]; n != 1 {
		t.Fatalf("the result was accepted %d times, want 1", n)
	}
	c.HandleReply(h.now, "b", late)
	h.deliver(c, h.tick(c))
	if n := h.worker.Starts(id); n != 1 {
		t.Errorf("the task was started %d times, want 1", n)
	}
}

// TestOneLeaseCallAfterRelisting covers a worker that is removed from the directory and listed again while a renewal has
// no answer. With a second call beside it, the late answer to one counts as the answer to a later one, and a task that
// runs as never started.
func TestOneLeaseCallAfterRelisting(t *testing.T) {
	h := newHarness()
	c := h.newHolder(1)
	var held []func() // deliver late answers, in order of emission
	confirmed := h.now
	tick := func() (starts []Start) {
		for _, a := range c.Tick(h.now, ZoneStatus{Usable: true, ConfirmedAt: confirmed}) {
			switch a := a.(type) {
			case Fence:
				rep, refusal := h.worker.Fence(a.Msg)
				held = append(held, func() { c.HandleFenceResult(h.now, a.Addr, CommandResult{Report: rep, Refusal: refusal}) })
			case Renew:
				rep, refusal := h.worker.Renew(a.Msg)
				held = append(held, func() { c.HandleRenewResult(h.now, a.Addr, CommandResult{Report: rep, Refusal: refusal}) })
			case Start:
				starts = append(starts, a)
				c.HandleStartResult(h.now, a.Placement, CommandResult{NoAnswer: true})
			}
		}
		return starts
	}
	answer := func() {
		if len(held) > 0 {
			first := held[0]
			held = held[1:]
			first()
		}
	}
	h.now = h.now.Add(testLeaseTTL / 6)
	tick()
	c.SetWorkers(nil)
	c.SetWorkers([]string{"w"})
	tick()
	if len(held) > 1 {
		t.Errorf("%d calls without an answer, want 1", len(held))
	}
	answer()
	h.now = h.now.Add(testLeaseTTL / 6)
	tick()
	answer()
	confirmed = h.now
	p := h.wantTask(c)
	starts := tick()
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	h.now = confirmed.Add(testMaxConfigAge / 2)
	if _, refusal := h.worker.Start(starts[0].Msg); refusal != "" {
		t.Fatal(refusal)
	}
	h.now = confirmed.Add(testMaxConfigAge + expiryMargin + time.Millisecond)
	answer()
	tick()
	answer()
	tick()
	if _, returned := c.BuildReport("b", false).Back[p]; returned && len(h.worker.RunningTasks()) > 0 {
		t.Error("the placement goes back to its bucket while the task runs")
	}
}

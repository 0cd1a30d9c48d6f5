package pool

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The seed is fixed so that every run gives the same result.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	_ = flag.Set("rapid.checks", "30") // each simulates a minute of a busy deployment
}

// TestSlotAccounting simulates faults: entry processes die or are suspended for a while, targets
// change owners under load and some requests hang at their target after their sender has given them
// up. A target that gets more requests than it has slots refuses or slows down requests; a slot
// that is never freed is capacity lost for good; a call that ends twice or never is a lost
// response.
func TestSlotAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const cores, targets, slots = 4, 8, 3
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), cores, targets, slots, 20*time.Millisecond, 500*time.Microsecond)
		w.hangShare = rapid.SampledFrom([]float64{0, 0.002, 0.01}).Draw(t, "hang")
		begin := w.Now()
		w.generateCalls(rapid.Float64Range(100, 1400).Draw(t, "rate"), begin.Add(5*time.Second), 5*time.Second)
		for range rapid.IntRange(0, 12).Draw(t, "moves") {
			at := time.Duration(rapid.IntRange(0, 5000).Draw(t, "at")) * time.Millisecond
			addr := fmt.Sprintf("t%02d", rapid.IntRange(0, targets-1).Draw(t, "target"))
			to := fmt.Sprintf("e%d", rapid.IntRange(0, cores-1).Draw(t, "to"))
			w.AfterFunc(at, func() { w.moveTarget(addr, to) })
		}
		for range rapid.IntRange(0, 2).Draw(t, "kills") {
			at := time.Duration(rapid.IntRange(500, 3000).Draw(t, "kill at")) * time.Millisecond
			id := fmt.Sprintf("e%d", rapid.IntRange(1, cores-1).Draw(t, "dead"))
			w.AfterFunc(at, func() { w.killCore(id) })
		}
		for range rapid.IntRange(0, 3).Draw(t, "suspensions") {
			at := time.Duration(rapid.IntRange(0, 5000).Draw(t, "suspended at")) * time.Millisecond
			span := time.Duration(rapid.IntRange(1, 1000).Draw(t, "suspended for")) * time.Millisecond
			id := fmt.Sprintf("e%d", rapid.IntRange(0, cores-1).Draw(t, "suspended"))
			w.AfterFunc(at, func() { w.suspend(id, span) })
		}
		w.RunUntil(begin.Add(time.Minute))
		if w.sentWhileSuspended > 0 {
			t.Fatalf("%d requests were sent by a suspended process", w.sentWhileSuspended)
		}
		if w.overSlots > 0 {
			t.Fatalf("%d requests reached a target whose slots were all in use", w.overSlots)
		}
		if w.lateRefusals > 0 {
			t.Fatalf("%d refusals came after the deadline", w.lateRefusals)
		}
		for id, n := range w.endings {
			if n > 1 {
				t.Fatalf("call %d ended %d times", id, n)
			}
		}
		w.checkIdle(t)
	})
}

// checkIdle fails the test if a call waits or a slot is in use after the load has ended.
func (w *simulation) checkIdle(t *rapid.T) {
	for id, c := range w.cores {
		if w.dead[id] {
			continue
		}
		if c.QueueLen() > 0 {
			t.Fatalf("%s: %d calls still wait", id, c.QueueLen())
		}
		for _, o := range c.Targets(w.Now()) {
			if o.Out+o.Ghosts > 0 {
				t.Fatalf("%s: slots in use after the load: %+v", id, o)
			}
		}
	}
}

// TestOverload makes twice as many calls arrive as can be served. Each must be served or refused at
// once, and as many must be served as at full capacity.
func TestOverload(t *testing.T) {
	const cores, targets, slots = 3, 6, 8
	const span = 20 * time.Second
	answered := func(load float64) (*simulation, int) {
		w := newSimulation(7, cores, targets, slots, 50*time.Millisecond, 500*time.Microsecond)
		begin := w.Now()
		w.generateCalls(load*targets*slots/0.05, begin.Add(span), 2*time.Second)
		w.RunUntil(begin.Add(span + 5*time.Second))
		return w, len(w.sent)
	}
	_, best := answered(0.98)
	w, n := answered(2)
	if float64(n) < 0.9*float64(best) {
		t.Errorf("at twice the capacity %d calls are served, at 98 %% of it %d", n, best)
	}
	if w.lateRefusals > 0 || w.refusals == 0 {
		t.Errorf("%d of %d refusals came after the deadline; want none late and at least one", w.lateRefusals, w.refusals)
	}
	if 100*w.immediateRefusals < 95*w.refusals {
		t.Errorf("only %d of %d refusals were given on arrival", w.immediateRefusals, w.refusals)
	}
	t.Logf("calls served at 0.98 and 2 times the capacity: %d and %d; refused %d", best, n, w.refusals)
}

// TestFairShare covers a team that floods the queue, and another team's few calls that arrive after
// it. They must be served in turn with the calls of the flood, not behind all of them, and urgent
// calls first.
func TestFairShare(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Self: "e0", MaxWait: time.Second})
	c.AddTarget(now, "t00", 1, nil, 0)
	call := func(id uint64, team string, p Priority) []Action {
		return c.HandleCall(now, Call{ID: id, Team: team, Priority: p, Arrived: now, Deadline: now.Add(time.Minute)})
	}
	first := call(1, "flood", "")[0].(Send)
	for id := uint64(2); id < 30; id++ {
		call(id, "flood", "")
	}
	call(100, "small", "")
	call(101, "small", PriorityUrgent)
	call(102, "flood", PriorityLow)
	p := first.Permit
	var order []uint64
	for range 5 {
		for _, a := range c.HandleResult(now, p, Result{Outcome: OutcomeOK, Took: time.Millisecond, Load: -1}) {
			if s, ok := a.(Send); ok {
				order = append(order, s.Call.ID)
				p = s.Permit
			}
		}
	}
	if fmt.Sprint(order) != "[101 2 100 3 4]" {
		t.Errorf("calls served in the order %v", order)
	}
}

// TestEjection covers a target that fails all its requests at once, so that it always has free
// slots and would attract every request. It must be ejected and later tried again with a probe and
// a single request, and half of the targets must stay in use whatever fails.
func TestEjection(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Self: "e0"})
	for _, a := range []string{"t00", "t01"} {
		c.AddTarget(now, a, 2, nil, 0)
	}
	send := func(id uint64) (Send, bool) {
		for _, a := range c.HandleCall(now, Call{ID: id, Arrived: now, Deadline: now.Add(time.Minute)}) {
			if s, ok := a.(Send); ok {
				return s, true
			}
		}
		return Send{}, false
	}
	for id := uint64(1); id <= 40; id++ {
		s, ok := send(id)
		if !ok {
			t.Fatalf("call %d found no target, though half of the targets must stay in use", id)
		}
		outcome := OutcomeOK
		if s.Permit.Target == "t00" || id > 20 {
			outcome = OutcomeFailed
		}
		c.HandleResult(now, s.Permit, Result{Outcome: outcome, Took: time.Millisecond, Load: -1})
	}
	if got := c.Targets(now); !got[0].Ejected || got[1].Ejected {
		t.Fatalf("t00 always fails and t01 fails later; want only t00 ejected: %+v", got)
	}
	now = now.Add(minEjection + time.Millisecond)
	c.HandleProbe(now, "t00", true, 0, false)
	a, _ := send(50)
	b, _ := send(51)
	if a.Permit.Target == b.Permit.Target && a.Permit.Target == "t00" {
		t.Error("two requests at once are sent to a target whose ejection has just ended")
	}
}

// TestOwnershipInvalid covers a target's owner whose lease has expired, so that its ownership is no
// longer valid. It must neither send to the target nor lend its slots.
func TestOwnershipInvalid(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Self: "e0"})
	c.AddTarget(now, "t00", 2, nil, 0)
	c.SetOwnershipValid(now, false)
	for _, a := range c.HandleCall(now, Call{ID: 1, Arrived: now, Deadline: now.Add(time.Minute)}) {
		if _, ok := a.(Send); ok {
			t.Error("a process whose lease has expired sends to a target that it owned")
		}
	}
	if got, _ := c.HandleBorrow(now, "e1", 1, 0); len(got) > 0 {
		t.Error("a process whose lease has expired lends slots of a target that it owned")
	}
}

// TestSuspended covers a process that is suspended, as it can't tell whether the store is
// unreachable or the process itself is isolated, while its peers go on. It must neither use nor
// borrow slots of theirs: each would cost a connection and a slot, and its calls would be sent
// again and again. The calls are sent when the suspension ends.
func TestSuspended(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Self: "e0"})
	c.AddPeer("e1", true)
	c.HandleHeartbeat(now, "e1", 4, 0, 0)
	lent := func(no uint64) Permit { return Permit{Key{"e1", no}, "t01", now.Add(time.Minute)} }
	call := func(id uint64) []Action {
		return c.HandleCall(now, Call{ID: id, Arrived: now, Deadline: now.Add(time.Minute)})
	}
	call(1)
	first := c.HandleGrant(now, "e1", 1, []Permit{lent(1)}, 4)
	if s, ok := first[0].(Send); !ok || s.Call.ID != 1 {
		t.Fatalf("before the suspension: %+v", first)
	}
	c.SetSuspended(now, true)
	for event, actions := range map[string][]Action{
		"a call":                  call(2),
		"a late grant":            c.HandleGrant(now, "e1", 0, []Permit{lent(2)}, 4),
		"the result of a request": c.HandleResult(now, lent(1), Result{Outcome: OutcomeOK, Load: -1}),
		"a heartbeat":             c.HandleHeartbeat(now, "e1", 4, 0, 0),
		"a tick":                  c.Tick(now),
	} {
		for _, a := range actions {
			if _, ok := a.(Return); !ok {
				t.Errorf("after %s: unexpected action %+v", event, a)
			}
		}
	}
	if c.QueueLen() != 1 {
		t.Errorf("%d calls wait, want 1", c.QueueLen())
	}
	resumed := c.SetSuspended(now, false)
	if len(resumed) != 1 {
		t.Fatalf("when the suspension ends: %+v", resumed)
	}
	got := c.HandleGrant(now, "e1", 1, []Permit{lent(3)}, 4)
	if s, ok := got[0].(Send); !ok || s.Call.ID != 2 {
		t.Errorf("after the suspension: %+v", got)
	}
}

package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// answerTimeout is how long an order may wait for its answer.
const answerTimeout = 600 * time.Millisecond

// planUnanswered plans for some time with workers that answer no order. It returns when each order of a verb was
// planned, and the most of them that were in flight at a time.
func (b *harness) planUnanswered(v sched.Verb, span time.Duration) (at []time.Duration, most int) {
	type sentOrder struct {
		order   sched.Order
		timeout time.Time // when the holder gives up waiting for the answer
	}
	var inFlight []sentOrder
	began := b.now
	for b.now.Sub(began) < span {
		b.advance(20 * time.Millisecond)
		for len(inFlight) > 0 && !b.now.Before(inFlight[0].timeout) {
			b.core.HandleOutcome(b.now, inFlight[0].order, sched.OutcomeUnknown)
			inFlight = inFlight[1:]
		}
		for _, o := range b.core.Plan(b.now) {
			if o.Verb == v {
				at = append(at, b.now.Sub(began))
				inFlight = append(inFlight, sentOrder{o, b.now.Add(answerTimeout)})
			}
		}
		most = max(most, len(inFlight))
	}
	for _, o := range inFlight {
		b.core.HandleOutcome(b.now, o.order, sched.OutcomeUnknown)
	}
	return at, most
}

// checkSpacing checks that a run's orders are sent one at a time, with growing pauses of at most limit.
func checkSpacing(t *testing.T, at []time.Duration, most int, limit time.Duration) {
	t.Helper()
	if most != 1 {
		t.Errorf("%d orders to one run in flight at a time, want 1", most)
	}
	if len(at) < 4 {
		t.Fatalf("sent at %v, want at least 4 orders", at)
	}
	for i := 2; i < len(at); i++ {
		if d, former := at[i]-at[i-1], at[i-1]-at[i-2]; d < former || d > limit {
			t.Errorf("sent at %v: after a pause of %v one of %v, want it no shorter and within the limit", at, former, d)
		}
	}
	if n := len(at); at[2]-at[1] >= at[n-1]-at[n-2] {
		t.Errorf("sent at %v, want growing pauses", at)
	}
}

// Stops must not pile up on busy workers, as after a change of holder. If the holder repeats each
// stop that got no answer before the former one has timed out, each one takes another connection, until workers refuse
// connections and even polls fail.
func TestStopsDontPileUp(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.planOrders(sched.VerbStart)[0]
	b.advance(time.Second)
	b.core.CancelJob(b.now, "j")
	at, most := b.planUnanswered(sched.VerbStop, 20*time.Second)
	checkSpacing(t, at, most, 3*time.Second)
	b.advance(3 * time.Second)
	if got := b.planOrders(sched.VerbStop); len(got) != 1 || got[0].Run != o.Run {
		t.Errorf("stops %v once the worker answers, want one for the cancelled run", got)
	}
	b.advance(3 * time.Second)
	if got := b.planOrders(sched.VerbStop); len(got) != 0 {
		t.Errorf("stops %v after an answer, want none", got)
	}
}

// The same holds for throttles, of which best-effort tasks beside a latency-critical one need many.
func TestThrottlesDontPileUp(t *testing.T) {
	b, latencyCritical, bestEffort := newColocated(t)
	b.reportMeasurements(latencyCritical, bestEffort, 4*time.Millisecond, 3000)
	for range 6 {
		b.reportMeasurements(latencyCritical, bestEffort, 90*time.Millisecond, 3000)
	}
	at, most := b.planUnanswered(sched.VerbThrottle, 20*time.Second)
	checkSpacing(t, at, most, 3*time.Second)
}

// A cancelled job must be stopped although its worker restarts. If the worker restarts while a stop is in flight, the
// answer refers to the former incarnation. The next stop must not wait for that answer for good, or the task keeps running.
func TestStopOfFormerIncarnation(t *testing.T) {
	b := newHarness(t, 1, 1).openWorkers()
	b.core.AddJob(b.now, oneTaskJob("j", nil))
	o := b.core.Plan(b.now)[0]
	b.core.HandleOutcome(b.now, o, sched.OutcomeUnknown)
	b.advance(time.Second)
	b.poll("w0", sched.Report{})
	stops := b.core.Plan(b.now)
	if len(stops) != 1 || stops[0].Verb != sched.VerbStop {
		t.Fatalf("planned %v, want a stop", stops)
	}
	b.poll("w0", sched.Report{StartedAt: 2})
	b.core.HandleOutcome(b.now, stops[0], sched.OutcomeOtherIncarnation)
	b.advance(time.Second)
	if got := b.planOrders(sched.VerbStop); len(got) != 1 {
		t.Errorf("stops %v in the new incarnation, want one", got)
	}
}

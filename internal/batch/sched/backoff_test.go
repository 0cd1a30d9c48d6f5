package sched_test

import (
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// answerTimeout is how long an order may wait for its answer.
const answerTimeout = 600 * time.Millisecond

// planUnanswered plays workers that answer no order, for some time. It returns when each order of a kind was planned, and the
// most that were under way at a time.
func (b *harness) planUnanswered(v sched.Verb, span time.Duration) (at []time.Duration, most int) {
	type open struct {
		order sched.Order
		until time.Time
	}
	var under []open
	began := b.now
	for b.now.Sub(began) < span {
		b.advance(20 * time.Millisecond)
		for len(under) > 0 && !b.now.Before(under[0].until) {
			b.core.HandleOutcome(b.now, under[0].order, sched.OutcomeUnknown)
			under = under[1:]
		}
		for _, o := range b.core.Plan(b.now) {
			if o.Verb == v {
				at = append(at, b.now.Sub(began))
				under = append(under, open{o, b.now.Add(answerTimeout)})
			}
		}
		most = max(most, len(under))
	}
	for _, o := range under {
		b.core.HandleOutcome(b.now, o.order, sched.OutcomeUnknown)
	}
	return at, most
}

// checkSpacing checks that orders come one at a time, ever more seldom and never more than limit apart.
func checkSpacing(t *testing.T, at []time.Duration, most int, limit time.Duration) {
	t.Helper()
	if most != 1 {
		t.Errorf("%d of one run's orders under way together, want 1", most)
	}
	if len(at) < 4 {
		t.Fatalf("sent at %v, want it sent again", at)
	}
	for i := 2; i < len(at); i++ {
		if d, former := at[i]-at[i-1], at[i-1]-at[i-2]; d < former || d > limit {
			t.Errorf("sent at %v: after a pause of %v one of %v", at, former, d)
		}
	}
	if n := len(at); at[2]-at[1] >= at[n-1]-at[n-2] {
		t.Errorf("sent at %v, want longer pauses", at)
	}
}

// Feeds stand still after a change of holder. The workers are busy and leave orders unanswered; the
// holder sends each stop anew before it has given up the former one, on one more connection, until workers refuse
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
		t.Errorf("stops %v once the worker answers, want one", got)
	}
	b.advance(3 * time.Second)
	if got := b.planOrders(sched.VerbStop); len(got) != 0 {
		t.Errorf("stops %v after an answer, want none", got)
	}
}

// The same with paces, of which a feed beside filling tasks needs many.
func TestPacesDontPileUp(t *testing.T) {
	b, serve, fill := newColocated(t)
	b.reportMeasurements(serve, fill, 4*time.Millisecond, 3000)
	for range 6 {
		b.reportMeasurements(serve, fill, 90*time.Millisecond, 3000)
	}
	at, most := b.planUnanswered(sched.VerbThrottle, 20*time.Second)
	checkSpacing(t, at, most, 3*time.Second)
}

// A cancelled job runs on. Its worker has started anew while a stop was under way, whose answer names the
// former life: the next stop must not wait for that one for good.
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
		t.Errorf("stops %v in the new life, want one", got)
	}
}

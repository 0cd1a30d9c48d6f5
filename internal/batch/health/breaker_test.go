package health

import (
	"testing"
	"time"
)

func TestBreaker(t *testing.T) {
	const second = time.Second
	type event struct {
		at   time.Duration
		job  string        // that failed; empty: a success, unless rest is set
		rest time.Duration // until when a rest is asked for
	}
	fail := func(at time.Duration, jobs ...string) (all []event) {
		for _, j := range jobs {
			all = append(all, event{at: at, job: j})
		}
		return all
	}
	join := func(parts ...[]event) (all []event) {
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	success := func(at time.Duration) []event { return []event{{at: at}} }
	for _, tt := range []struct {
		name   string
		events []event
		until  time.Duration // the first moment at which it isn't tripped
	}{
		{"no event", nil, 0},
		{"two jobs", fail(0, "a", "b"), 0},
		{"one job, however often", fail(0, "a", "a", "a", "a"), 0},
		{"three jobs", fail(0, "a", "b", "c"), 3 * second},
		{"three jobs with a success between", join(fail(0, "a", "b"), success(0), fail(0, "c")), 0},
		{"failures at once are one rest", fail(0, "a", "b", "c", "d", "e", "f"), 3 * second},
		{"a failure during the rest doesn't prolong it", join(fail(0, "a", "b", "c"), fail(2*second, "d")), 3 * second},
		{"one failure after a rest", join(fail(0, "a", "b", "c"), fail(4*second, "a")), 10 * second},
		{"the rest doesn't grow without bound", join(fail(0, "a", "b", "c"), fail(4*second, "a"), fail(11*second, "a"), fail(18*second, "a")), 24 * second},
		{"one failure after a success that followed a rest", join(fail(0, "a", "b", "c"), success(4*second), fail(5*second, "a")), 3 * second},
		{"three jobs after such a success", join(fail(0, "a", "b", "c"), success(4*second), fail(5*second, "a", "b", "c")), 8 * second},
		{"a success doesn't end a rest", join(fail(0, "a", "b", "c"), success(second)), 3 * second},
		{"a rest asked for", []event{{rest: second}}, second},
		{"a shorter rest asked for", join(fail(0, "a", "b", "c"), []event{{at: second, rest: 2 * second}}), 3 * second},
		{"a longer rest asked for", join(fail(0, "a", "b", "c"), []event{{at: second, rest: 5 * second}}), 5 * second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			var b Breaker
			for _, e := range tt.events {
				now := start.Add(e.at)
				switch {
				case e.rest > 0:
					b.TripUntil(start.Add(e.rest))
				case e.job != "":
					b.RecordFailure(now, e.job)
				default:
					b.RecordSuccess()
				}
			}
			if b.Tripped(start.Add(tt.until)) {
				t.Errorf("tripped at %s", tt.until)
			}
			if before := start.Add(tt.until - time.Millisecond); tt.until > 0 && !b.Tripped(before) {
				t.Errorf("not tripped a millisecond before %s", tt.until)
			}
		})
	}
}

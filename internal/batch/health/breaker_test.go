package health

import (
	"testing"
	"time"
)

func TestBreaker(t *testing.T) {
	const second = time.Second
	type event struct {
		at        time.Duration
		failedJob string        // empty: a success, unless tripUntil is set
		tripUntil time.Duration // argument of TripUntil, if set
	}
	fail := func(at time.Duration, jobs ...string) (all []event) {
		for _, j := range jobs {
			all = append(all, event{at: at, failedJob: j})
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
		until  time.Duration // end of the cooldown; 0: not tripped
	}{
		{"no event", nil, 0},
		{"two failed jobs", fail(0, "a", "b"), 0},
		{"one job failed four times", fail(0, "a", "a", "a", "a"), 0},
		{"three failed jobs", fail(0, "a", "b", "c"), 3 * second},
		{"three failed jobs with a success in between", join(fail(0, "a", "b"), success(0), fail(0, "c")), 0},
		{"simultaneous failures trip once", fail(0, "a", "b", "c", "d", "e", "f"), 3 * second},
		{"failure during the cooldown doesn't extend it", join(fail(0, "a", "b", "c"), fail(2*second, "d")), 3 * second},
		{"one failure after the cooldown", join(fail(0, "a", "b", "c"), fail(4*second, "a")), 10 * second},
		{"cooldown is limited", join(fail(0, "a", "b", "c"), fail(4*second, "a"), fail(11*second, "a"), fail(18*second, "a")), 24 * second},
		{"one failure after the cooldown and a success", join(fail(0, "a", "b", "c"), success(4*second), fail(5*second, "a")), 3 * second},
		{"three failed jobs after the cooldown and a success", join(fail(0, "a", "b", "c"), success(4*second), fail(5*second, "a", "b", "c")), 8 * second},
		{"success doesn't end the cooldown", join(fail(0, "a", "b", "c"), success(second)), 3 * second},
		{"TripUntil when not tripped", []event{{tripUntil: second}}, second},
		{"TripUntil before the end of the cooldown", join(fail(0, "a", "b", "c"), []event{{at: second, tripUntil: 2 * second}}), 3 * second},
		{"TripUntil after the end of the cooldown", join(fail(0, "a", "b", "c"), []event{{at: second, tripUntil: 5 * second}}), 5 * second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			var b Breaker
			for _, e := range tt.events {
				now := start.Add(e.at)
				switch {
				case e.tripUntil > 0:
					b.TripUntil(start.Add(e.tripUntil))
				case e.failedJob != "":
					b.RecordFailure(now, e.failedJob)
				default:
					b.RecordSuccess()
				}
			}
			if b.Tripped(start.Add(tt.until)) {
				t.Errorf("tripped at %s, want not tripped", tt.until)
			}
			if before := start.Add(tt.until - time.Millisecond); tt.until > 0 && !b.Tripped(before) {
				t.Errorf("not tripped 1 ms before %s, want tripped", tt.until)
			}
		})
	}
}

package sched_test

import (
	"slices"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// laneOf spreads the workers of a harness over four agents, by the last digit of their ids.
func laneOf(worker string) string {
	return string("abcd"[int(worker[len(worker)-1]-'0')%4])
}

// playLanes plays a holder that starts tasks for 3 s. An answer over an agent comes after the time that took returns for it; 0:
// the agent is lost after a second. It returns the starts over each agent in the last second, and how many were in flight over it at most.
func playLanes(t *testing.T, took func(lane string) time.Duration) (starts, inFlight map[string]int) {
	const step, lost = 100 * time.Millisecond, time.Second
	b := newHarness(t, 1, 100).openWorkers()
	b.core.SetLanes(1, laneOf)
	b.core.AddJob(b.now, oneTaskJob("j", func(j *sched.Job) {
		j.Steps[0].Count, j.Steps[0].Size = 60_000, wire.Size{CPU: 10, Mem: 1}
	}))
	type answer struct {
		at  time.Time
		o   sched.Order
		out sched.Outcome
	}
	var pending []answer
	starts, inFlight = map[string]int{}, map[string]int{}
	current := map[string]int{}
	begun := b.now
	for b.now.Sub(begun) < 3*time.Second {
		b.core.NoteDirectoryRead(b.now)
		b.core.NoteIntentRead(b.now)
		if b.now.Sub(begun)%time.Second == 0 {
			for _, m := range b.core.TrackedWorkers() {
				b.core.NextPoll(b.now, m.ID)
			}
		}
		for _, o := range b.core.Plan(b.now) {
			if o.Verb != sched.VerbStart {
				continue
			}
			b.core.CheckSend(b.now, o)
			lane := laneOf(o.Incarnation.ID)
			if current[lane]++; b.now.Sub(begun) >= 2*time.Second {
				starts[lane]++
				inFlight[lane] = max(inFlight[lane], current[lane])
			}
			if d := took(lane); d > 0 {
				pending = append(pending, answer{b.now.Add(d), o, sched.OutcomeDone})
			} else {
				pending = append(pending, answer{b.now.Add(lost), o, sched.OutcomeUnknown})
			}
		}
		b.advance(step)
		pending = slices.DeleteFunc(pending, func(a answer) bool {
			if a.at.After(b.now) {
				return false
			}
			current[laneOf(a.o.Incarnation.ID)]--
			b.core.HandleOutcome(b.now, a.o, a.out)
			return true
		})
	}
	return starts, inFlight
}

// Guards against one slow agent, or one with a full link, that halves the starts over all others, as if this process were short
// of processor time; and against a process that is, and goes on sending.
func TestSlowLane(t *testing.T) {
	const fast = 100 * time.Millisecond
	for _, tt := range []struct {
		name      string
		slow      string        // lanes
		took      time.Duration // until each answer over them
		leastFast int           // starts a second over each other lane
		mostSlow  int           // starts in flight over each slow lane
	}{
		{"none", "", 0, 2000, 0},
		{"one is slow", "a", 600 * time.Millisecond, 1000, 64},
		{"one doesn't answer", "a", 0, 1000, 64},
		{"all are slow", "abcd", 600 * time.Millisecond, 0, 64},
	} {
		t.Run(tt.name, func(t *testing.T) {
			isSlow := func(lane string) bool { return slices.Contains([]byte(tt.slow), lane[0]) }
			starts, inFlight := playLanes(t, func(lane string) time.Duration {
				if isSlow(lane) {
					return tt.took
				}
				return fast
			})
			for _, lane := range []string{"a", "b", "c", "d"} {
				if isSlow(lane) && inFlight[lane] > tt.mostSlow {
					t.Errorf("%d starts in flight over the slow agent %s, want %d at most", inFlight[lane], lane, tt.mostSlow)
				}
				if !isSlow(lane) && starts[lane] < tt.leastFast {
					t.Errorf("%d starts over %s in a second, want %d", starts[lane], lane, tt.leastFast)
				}
			}
		})
	}
}

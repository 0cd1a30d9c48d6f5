package sched

import (
	"slices"
	"time"
)

// flow bounds the starts under way to what this process and its workers answer in time. A task that waits for
// its turn takes no room on a worker, and the next turn goes to whatever comes first by then.
//
// The failure it guards against: after a takeover a thousand starts leave at once, the holder needs longer to send
// them than it waits for their answers, and tasks that run are taken for lost and begun anew.
type flow struct {
	window  int    // starts that may be under way; 0: flowFirst
	left    int    // of these, not taken yet
	limited bool   // the window kept a start from being planned
	under   []*run // started of late, the oldest first
	began   time.Time
	prompt  int // answers since began
	late    int
}

const (
	flowFirst = 64
	flowLeast = 8
	flowMost  = 1024
	// promptAnswer is how long at most a start's answer takes when nothing holds it up, and lateAnswer from when
	// on something does.
	promptAnswer = 50 * time.Millisecond
	lateAnswer   = 150 * time.Millisecond
	// flowEvery is how often the window may shrink.
	flowEvery = 200 * time.Millisecond
	// flowForget is how long a start without an answer counts: workers that don't answer hold up nobody else.
	flowForget = 300 * time.Millisecond
)

// open finds out how many starts may leave now.
func (f *flow) open(now time.Time) {
	if f.window == 0 {
		f.window = flowFirst
	}
	f.under = slices.DeleteFunc(f.under, func(r *run) bool {
		return r.state != RunSent || r.task == nil || r.task.run != r || now.Sub(r.sent) >= flowForget
	})
	f.left = f.window - len(f.under)
	f.limited = false
}

// has reports whether n starts may leave; more than the window may once nothing else is under way.
func (f *flow) has(n int) bool {
	if f.left >= min(n, f.window) {
		return true
	}
	f.limited = true
	return false
}

func (f *flow) start(r *run) {
	f.left--
	f.under = append(f.under, r)
}

// undo takes back the newest n starts, which haven't left.
func (f *flow) undo(n int) {
	f.left += n
	f.under = f.under[:len(f.under)-n]
}

// answered takes the outcome of a start that left some time ago.
func (f *flow) answered(now time.Time, took time.Duration, out Outcome) {
	switch {
	case out == OutcomeUnsent:
		return
	case out == OutcomeUnknown || took >= lateAnswer:
		f.late++
	case took < promptAnswer:
		f.prompt++
		if f.limited {
			f.window = min(f.window+1, flowMost)
		}
	}
	if now.Sub(f.began) < flowEvery {
		return
	}
	if f.late > f.prompt {
		f.window = max(f.window/2, flowLeast)
	}
	f.began, f.prompt, f.late = now, 0, 0
}

// Limited reports whether tasks wait only because as many starts are under way as are answered in time.
func (c *Core) Limited() bool {
	return c.flow.limited
}

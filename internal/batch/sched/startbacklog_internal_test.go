package sched

import (
	"testing"
	"time"
)

// Guards against jobs that are accepted although those accepted before can't be started in time, and against refusals
// when the start limiter binds for a moment only, as after a change of holder.
func TestAdmissionDelay(t *testing.T) {
	const tick = 100 * time.Millisecond
	job := func(aim time.Duration, longRunning bool) *Job {
		return &Job{DeadlineBase: aim, Steps: []Step{{Count: 1, LongRunning: longRunning}}}
	}
	relaxed := job(10*time.Second, false)
	for _, tt := range []struct {
		name        string
		limited     time.Duration // how long each plan has left out tasks
		held        int           // tasks that they left out
		perSecond   int           // starts answered
		heldFor     time.Duration // of the step that has been held back longest
		ready       int           // tasks that have become ready since the newest plan
		unlimited   bool          // the newest plan left out none
		job         *Job
		least, most time.Duration // wanted delay; 0: the job is accepted
	}{
		{name: "nothing held back", job: relaxed},
		{name: "held back for a moment", limited: 1900 * time.Millisecond, held: 1000, perSecond: 10, job: relaxed},
		{name: "short backlog", limited: 5 * time.Second, held: 200, perSecond: 100, job: relaxed},
		{name: "long backlog", limited: 5 * time.Second, held: 1000, perSecond: 100, job: relaxed, least: 6 * time.Second, most: 8 * time.Second},
		{name: "backlog that has just become long", limited: 5 * time.Second, held: 200, ready: 800, perSecond: 100, job: relaxed, least: 6 * time.Second, most: 8 * time.Second},
		{name: "backlog that is gone", limited: 5 * time.Second, held: 1000, perSecond: 100, unlimited: true, job: relaxed},
		{name: "no start answered", limited: 5 * time.Second, held: 1, job: relaxed, least: maxAdmissionDelay - maxStartDelay, most: maxAdmissionDelay - maxStartDelay},
		{name: "a step that newer ones keep waiting", limited: 5 * time.Second, heldFor: 3100 * time.Millisecond, held: 150, perSecond: 100, job: relaxed, least: 1300 * time.Millisecond, most: 1700 * time.Millisecond},
		{name: "job that is of no use so late", limited: 5 * time.Second, held: 250, perSecond: 100, job: job(400*time.Millisecond, false), least: 1100 * time.Millisecond, most: 1500 * time.Millisecond},
		{name: "job of no use a second late", limited: 5 * time.Second, held: 90, perSecond: 100, job: job(0, false)},
		{name: "long-running job", limited: 5 * time.Second, held: 250, perSecond: 100, job: job(0, true)},
		{name: "long-running job, long backlog", limited: 5 * time.Second, held: 350, perSecond: 100, job: job(0, true), least: minAdmissionDelay, most: minAdmissionDelay},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			c := New(Options{}, now)
			b := &c.startBacklog
			for at := time.Duration(0); at <= tt.limited; at += tick {
				if at > 0 {
					now = now.Add(tick)
					for range tt.perSecond / int(time.Second/tick) {
						b.recordAnswer(now)
					}
				}
				b.recordPlan(now, tt.held, now.Add(-min(at, tt.heldFor)))
			}
			if tt.unlimited {
				b.recordPlan(now, 0, now)
			}
			b.ready = tt.ready
			if got := c.AdmissionDelay(now, tt.job); got < tt.least || got > tt.most {
				t.Errorf("delay %s, want %s to %s", got, tt.least, tt.most)
			}
		})
	}
}

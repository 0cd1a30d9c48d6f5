package drive

import (
	"time"

	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// standingEvery is how often a holder's standing is shown in its metrics.
const standingEvery = time.Second

// standing shows what a holder has and knows: as gauges, and in the log when it begins and
// ends to hold tasks back.
type standing struct {
	scope tally.Scope
	late  tally.Histogram
	shown time.Time
	held  int
	// behind is the most that a plan of late came after its oldest event, and slow whether that was told.
	behind time.Duration
	slow   bool
	barred sched.Cause // why nothing is started
}

// lateTimes are the bounds of the histogram of a holder's lateness with its own work.
var lateTimes = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

func newStanding(scope tally.Scope) *standing {
	return &standing{scope: scope, late: scope.Histogram("plan_late", lateTimes)}
}

// lag counts by how much a plan that was due came late: what a holder lacks in processor shows first there.
func (s *standing) lag(d time.Duration) {
	s.late.RecordDuration(d)
}

// due reports whether the standing is to be shown again. behind is by how much a plan came after its oldest event.
func (s *standing) due(now time.Time, behind time.Duration) bool {
	s.behind = max(s.behind, behind)
	return now.Sub(s.shown) >= standingEvery
}

// show sets the gauges and tells of a change in what is held back.
func (s *standing) show(h *Holder, now time.Time, st sched.Standing) {
	s.shown = now
	s.gauges(h.opt.Tenure.Term(), st, s.behind)
	switch {
	case s.held == 0 && st.Held > 0:
		h.log.Info("holds back", "tasks", st.Held, "unheard", st.Unheard, "workers", st.Good+st.Lost+st.Unheard, "left", st.Left)
	case s.held > 0 && st.Held == 0:
		h.log.Info("holds nothing back", "tasks", s.held, "unheard", st.Unheard)
	}
	s.held = st.Held
	s.tellBehind(h, st)
}

// bar tells when the age of what is held of the store begins and ends to bar starts.
func (s *standing) bar(h *Holder, cause sched.Cause) {
	if cause == s.barred {
		return
	}
	s.barred = cause
	h.log.Info("bars starts", "now", cause != sched.CauseNone, "cause", cause)
}

// tellBehind tells when the holder begins and ends to be behind its work.
func (s *standing) tellBehind(h *Holder, st sched.Standing) {
	if slow := s.behind >= behindAfter; slow != s.slow {
		s.slow = slow
		h.log.Info("behind", "now", slow, "by", s.behind, "starts", st.Open, "window", st.Window)
	}
	s.behind = 0
}

// clear takes back the gauges of a tenure that is over: they would show its last state for good.
func (s *standing) clear() {
	s.gauges(0, sched.Standing{}, 0)
}

func (s *standing) gauges(term int64, st sched.Standing, behind time.Duration) {
	s.scope.Gauge("term").Update(float64(term))
	for contact, n := range map[string]int{"good": st.Good, "lost": st.Lost, "unheard": st.Unheard} {
		s.scope.Tagged(map[string]string{"contact": contact}).Gauge("workers").Update(float64(n))
	}
	s.scope.Gauge("tasks_held").Update(float64(st.Held))
	s.scope.Gauge("confirmed_age").Update(st.Age.Seconds())
	s.scope.Gauge("roster_age").Update(st.Roster.Seconds())
	s.scope.Gauge("intent_age").Update(st.Intent.Seconds())
	s.scope.Gauge("steps_waiting").Update(float64(st.Waiting))
	s.scope.Gauge("longest_wait").Update(st.Longest.Seconds())
	s.scope.Gauge("behind").Update(behind.Seconds())
	s.scope.Gauge("starts_open").Update(float64(st.Open))
}

package drive

import (
	"time"

	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// statusInterval is how often a holder's standing is shown in its metrics.
const statusInterval = time.Second

// statusReporter shows what a holder has and knows: as gauges, and in the log when it begins and
// ends to hold tasks back.
type statusReporter struct {
	scope      tally.Scope
	tickDelay  tally.Histogram
	reportedAt time.Time
	withheld   int
	// maxPlanLag is the most that a plan of late came after its oldest event, and slow whether that was told.
	maxPlanLag   time.Duration
	behindLogged bool
	blockCause   sched.UnsentCause // why nothing is started
}

// tickDelayBuckets are the bounds of the histogram of a holder's lateness with its own work.
var tickDelayBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

func newStatusReporter(scope tally.Scope) *statusReporter {
	return &statusReporter{scope: scope, tickDelay: scope.Histogram("plan_late", tickDelayBuckets)}
}

// recordTickDelay counts by how much a plan that was due came late: what a holder lacks in processor shows first there.
func (s *statusReporter) recordTickDelay(d time.Duration) {
	s.tickDelay.RecordDuration(d)
}

// reportDue reports whether the standing is to be shown again. behind is by how much a plan came after its oldest event.
func (s *statusReporter) reportDue(now time.Time, behind time.Duration) bool {
	s.maxPlanLag = max(s.maxPlanLag, behind)
	return now.Sub(s.reportedAt) >= statusInterval
}

// report sets the gauges and tells of a change in what is held back.
func (s *statusReporter) report(h *Holder, now time.Time, st sched.Stats) {
	s.reportedAt = now
	s.setGauges(h.opt.Tenure.Term(), st, s.maxPlanLag)
	switch {
	case s.withheld == 0 && st.WithheldTasks > 0:
		h.log.Info("holds back", "tasks", st.WithheldTasks, "unheard", st.WorkersUnheard, "workers", st.WorkersInContact+st.WorkersLost+st.WorkersUnheard, "left", st.WithheldFor)
	case s.withheld > 0 && st.WithheldTasks == 0:
		h.log.Info("holds nothing back", "tasks", s.withheld, "unheard", st.WorkersUnheard)
	}
	s.withheld = st.WithheldTasks
	s.logBehind(h, st)
}

// logBlockedStarts tells when the age of what is held of the store begins and ends to logBlockedStarts starts.
func (s *statusReporter) logBlockedStarts(h *Holder, cause sched.UnsentCause) {
	if cause == s.blockCause {
		return
	}
	s.blockCause = cause
	h.log.Info("bars starts", "now", cause != sched.CauseNone, "cause", cause)
}

// logBehind tells when the holder begins and ends to be behind its work.
func (s *statusReporter) logBehind(h *Holder, st sched.Stats) {
	if slow := s.maxPlanLag >= behindThreshold; slow != s.behindLogged {
		s.behindLogged = slow
		h.log.Info("behind", "now", slow, "by", s.maxPlanLag, "starts", st.OpenStarts, "window", st.StartWindow)
	}
	s.maxPlanLag = 0
}

// clearGauges takes back the gauges of a tenure that is over: they would show its last state for good.
func (s *statusReporter) clearGauges() {
	s.setGauges(0, sched.Stats{}, 0)
}

func (s *statusReporter) setGauges(term int64, st sched.Stats, behind time.Duration) {
	s.scope.Gauge("term").Update(float64(term))
	for contact, n := range map[string]int{"good": st.WorkersInContact, "lost": st.WorkersLost, "unheard": st.WorkersUnheard} {
		s.scope.Tagged(map[string]string{"contact": contact}).Gauge("workers").Update(float64(n))
	}
	s.scope.Gauge("tasks_held").Update(float64(st.WithheldTasks))
	s.scope.Gauge("confirmed_age").Update(st.ConfirmationAge.Seconds())
	s.scope.Gauge("roster_age").Update(st.DirectoryAge.Seconds())
	s.scope.Gauge("intent_age").Update(st.IntentAge.Seconds())
	s.scope.Gauge("steps_waiting").Update(float64(st.WaitingSteps))
	s.scope.Gauge("longest_wait").Update(st.LongestWait.Seconds())
	s.scope.Gauge("behind").Update(behind.Seconds())
	s.scope.Gauge("starts_open").Update(float64(st.OpenStarts))
}

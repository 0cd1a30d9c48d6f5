package drive

import (
	"time"

	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// statusInterval is the interval at which a holder updates its gauges.
const statusInterval = time.Second

// refusingQuiet is how long no job was refused when refusing counts as over.
const refusingQuiet = 3 * time.Second

// statusReporter reports a holder's status as gauges. It logs when the holder begins and stops withholding tasks,
// blocking starts, refusing new jobs and being behind.
type statusReporter struct {
	scope        tally.Scope
	tickDelay    tally.Histogram   // how late planLoop handles its ticks
	reportedAt   time.Time         // when the gauges were last updated
	withheld     int               // withheld tasks at that time
	maxPlanLag   time.Duration     // largest plan lag since then
	behindLogged bool              // the holder was last logged as behind
	memoryShort  bool              // the memory was last logged as short
	refusing     bool              // the holder was last logged as refusing jobs as starts are behind
	blockCause   sched.UnsentCause // why starts are blocked, as last logged; sched.CauseNone: they aren't
}

// tickDelayBuckets are the bounds of the histogram of tick delays.
var tickDelayBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

func newStatusReporter(scope tally.Scope) *statusReporter {
	return &statusReporter{scope: scope, tickDelay: scope.Histogram("plan_late", tickDelayBuckets)}
}

// recordTickDelay records how late planLoop handled a tick. A lack of processor time shows here first.
func (s *statusReporter) recordTickDelay(d time.Duration) {
	s.tickDelay.RecordDuration(d)
}

// reportDue records the lag of a plan and reports whether the gauges are due for an update.
func (s *statusReporter) reportDue(now time.Time, lag time.Duration) bool {
	s.maxPlanLag = max(s.maxPlanLag, lag)
	return now.Sub(s.reportedAt) >= statusInterval
}

// report updates the gauges and logs when the holder begins or stops withholding tasks or being behind.
func (s *statusReporter) report(h *Holder, now time.Time, stats sched.Stats) {
	s.reportedAt = now
	s.setGauges(h.opt.Tenure.Term(), stats, s.maxPlanLag)
	switch {
	case s.withheld == 0 && stats.WithheldTasks > 0:
		h.log.Info("holds back", "tasks", stats.WithheldTasks, "unheard", stats.WorkersUnheard, "workers", stats.WorkersInContact+stats.WorkersLost+stats.WorkersUnheard, "left", stats.WithheldFor, "unreleased", stats.AwaitsRelease)
	case s.withheld > 0 && stats.WithheldTasks == 0:
		h.log.Info("holds nothing back", "tasks", s.withheld, "unheard", stats.WorkersUnheard)
	}
	s.withheld = stats.WithheldTasks
	s.logBehind(h, stats)
}

// logBlockedStarts logs when starts become blocked, or are no longer, because the copy of the directory or of the
// intent is too old.
func (s *statusReporter) logBlockedStarts(h *Holder, cause sched.UnsentCause) {
	if cause == s.blockCause {
		return
	}
	s.blockCause = cause
	h.log.Info("bars starts", "now", cause != sched.CauseNone, "cause", cause)
}

// reportMemory updates the gauge of the memory and logs when the holder begins and stops refusing new jobs because of
// it.
func (s *statusReporter) reportMemory(h *Holder, g memoryGuard) {
	s.scope.Gauge("memory_level").Update(g.level)
	if g.refusing == s.memoryShort {
		return
	}
	s.memoryShort = g.refusing
	h.log.Info("memory short", "now", g.refusing, "level", g.level, "limit", g.limit)
}

// logRefusing logs when the holder begins and stops refusing new jobs as it can't start in time what it has accepted.
func (s *statusReporter) logRefusing(h *Holder, now, refusedAt time.Time, stats sched.Stats) {
	refusing := now.Sub(refusedAt) < refusingQuiet
	if refusing == s.refusing {
		return
	}
	s.refusing = refusing
	h.log.Info("starts behind", "now", refusing, "tasks", stats.HeldTasks, "drain", stats.StartDrainTime, "window", stats.StartWindow)
}

// logBehind logs when the holder begins and stops being behind.
func (s *statusReporter) logBehind(h *Holder, stats sched.Stats) {
	if behind := s.maxPlanLag >= behindThreshold; behind != s.behindLogged {
		s.behindLogged = behind
		h.log.Info("behind", "now", behind, "by", s.maxPlanLag, "starts", stats.OpenStarts, "window", stats.StartWindow)
	}
	s.maxPlanLag = 0
}

// clearGauges resets the gauges when the tenure is over, as they would go on showing its last state.
func (s *statusReporter) clearGauges() {
	s.setGauges(0, sched.Stats{}, 0)
	s.scope.Gauge("memory_level").Update(0)
}

// setGauges sets all gauges.
func (s *statusReporter) setGauges(term int64, stats sched.Stats, lag time.Duration) {
	s.scope.Gauge("term").Update(float64(term))
	for contact, n := range map[string]int{"good": stats.WorkersInContact, "lost": stats.WorkersLost, "unheard": stats.WorkersUnheard} {
		s.scope.Tagged(map[string]string{"contact": contact}).Gauge("workers").Update(float64(n))
	}
	s.scope.Gauge("entries_missing").Update(float64(stats.EntriesMissing))
	s.scope.Gauge("tasks_held").Update(float64(stats.WithheldTasks))
	s.scope.Gauge("confirmed_age").Update(stats.ConfirmationAge.Seconds())
	s.scope.Gauge("roster_age").Update(stats.DirectoryAge.Seconds())
	s.scope.Gauge("intent_age").Update(stats.IntentAge.Seconds())
	s.scope.Gauge("steps_waiting").Update(float64(stats.WaitingSteps))
	s.scope.Gauge("longest_wait").Update(stats.LongestWait.Seconds())
	s.scope.Gauge("behind").Update(lag.Seconds())
	s.scope.Gauge("starts_held").Update(float64(stats.HeldTasks))
	s.scope.Gauge("starts_drain").Update(stats.StartDrainTime.Seconds())
	s.scope.Gauge("starts_open").Update(float64(stats.OpenStarts))
	s.scope.Gauge("starts_pending").Update(float64(stats.PendingStarts))
	s.scope.Gauge("acks_withheld").Update(float64(stats.WithheldAcks))
}

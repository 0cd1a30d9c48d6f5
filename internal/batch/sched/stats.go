package sched

import "time"

// Stats is the state of a holder for its logs and metrics.
type Stats struct {
	WorkersInContact int           // workers that answered their last poll
	WorkersLost      int           // workers that didn't answer their last poll
	WorkersUnheard   int           // workers that this holder hasn't heard from yet
	EntriesMissing   int           // workers in contact that get no tasks, as the directory shows no entry of their incarnation
	WithheldTasks    int           // tasks not started as a worker out of contact may still run them
	WithheldFor      time.Duration // longest time for which they are still withheld; 0 while AwaitsRelease
	AwaitsRelease    bool          // a former holder may still act
	ConfirmationAge  time.Duration // time since this process was last confirmed as the holder
	DirectoryAge     time.Duration // age of the directory read in use at the store's last confirmation of this holder
	IntentAge        time.Duration // the same for the read of the operators' intent
	PendingStarts    int           // starts without an answer that may still be carried out
	WithheldAcks     int           // workers whose ends can't be acknowledged because of such starts
	OpenStarts       int           // starts in flight
	StartWindow      int           // starts that may be in flight
	HeldTasks        int           // tasks that the start limiter holds back although workers may have room
	StartDrainTime   time.Duration // expected time until these are started
	WaitingSteps     int           // unplaced steps: those with a task that found no worker
	LongestWait      time.Duration // longest time since a task of one of these first found no worker
}

// unseenTasks returns the number of waiting tasks of which this holder has seen no run.
func (s *stepInstance) unseenTasks() int {
	n := 0
	for _, t := range s.tasks {
		if !t.done && t.run == nil && !t.soleRunSeen {
			n++
		}
	}
	return n
}

// Stats returns the state at now.
func (c *Core) Stats(now time.Time) Stats {
	s := Stats{ConfirmationAge: c.confirmationAge(now), OpenStarts: len(c.startLimiter.inFlight), StartWindow: c.startLimiter.window}
	s.HeldTasks, s.StartDrainTime = c.startBacklog.held, c.startBacklog.drainTime(now)
	s.DirectoryAge, s.IntentAge = c.readAges(now)
	for _, w := range c.workersByID {
		for _, l := range w.lateStarts {
			if !l.carriedOut && c.pending(now, l) {
				s.PendingStarts++
			}
		}
		if w.contact == ContactGood && w.ackedSeq > w.deliveredSeq && c.mayWithhold(now, w) && c.hasUnlistedStart(now, w) {
			s.WithheldAcks++
		}
		switch w.contact {
		case ContactGood:
			s.WorkersInContact++
			if !w.isCurrent() {
				s.EntriesMissing++
			}
		case ContactLost:
			s.WorkersLost++
		default:
			s.WorkersUnheard++
		}
	}
	for _, st := range c.waitQueue.all() {
		if st.pending > 0 && !st.unplacedSince.IsZero() && !st.job.state.Final() {
			s.WaitingSteps++
			s.LongestWait = max(s.LongestWait, now.Sub(st.unplacedSince))
		}
	}
	if !c.formerRunsPossible(now) {
		return s
	}
	if s.AwaitsRelease = c.formerConfirmed.Equal(unbounded); !s.AwaitsRelease {
		s.WithheldFor = max(c.formerLeasesEnd().Sub(now), 0)
	}
	for _, st := range c.waitQueue.all() {
		if st.job.restored && !st.job.state.Final() {
			s.WithheldTasks += st.unseenTasks()
		}
	}
	return s
}

package sched

import "time"

// Stats is what a holder has and knows, for its logs and metrics.
type Stats struct {
	WorkersInContact int           // workers whose last poll was answered
	WorkersLost      int           // workers whose last poll wasn't
	WorkersUnheard   int           // workers that this holder hasn't heard from
	WithheldTasks    int           // tasks held back because a worker that isn't reached may run them
	WithheldFor      time.Duration // for which they are held back at most
	ConfirmationAge  time.Duration // since this process was last confirmed as the holder
	DirectoryAge     time.Duration // by which the reading of the directory that is held is older than the store's last word to this holder
	IntentAge        time.Duration // likewise of what operators have written
	OpenStarts       int           // starts under way
	StartWindow      int           // starts that may be
	WaitingSteps     int           // steps with tasks that have found no place
	LongestWait      time.Duration // since when one of these waits
}

// unseenTasks returns how many tasks wait of which this holder has seen no run.
func (s *stepInstance) unseenTasks() int {
	n := 0
	for _, t := range s.tasks {
		if !t.done && t.run == nil && !t.soleRunSeen {
			n++
		}
	}
	return n
}

// Stats returns the state at a time.
func (c *Core) Stats(now time.Time) Stats {
	s := Stats{ConfirmationAge: c.confirmationAge(now), OpenStarts: len(c.startLimiter.inFlight), StartWindow: c.startLimiter.window}
	s.DirectoryAge, s.IntentAge = c.readingAges()
	for _, w := range c.workersByID {
		switch w.contact {
		case ContactGood:
			s.WorkersInContact++
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
	s.WithheldFor = c.formerLeasesEnd().Sub(now)
	for _, st := range c.waitQueue.all() {
		if st.job.restored && !st.job.state.Final() {
			s.WithheldTasks += st.unseenTasks()
		}
	}
	return s
}

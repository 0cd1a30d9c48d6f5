package sched

import "time"

// startLane is the way of starts to a part of the workers: over one agent, or directly.
//
// If the answers that come over one lane are late while those of the others are prompt, its agent or its link is slow, and
// not this process. Then only the starts in flight over this lane are bounded, and what happens to them doesn't count for the
// window of all starts.
type startLane struct {
	overAgent bool
	window    int // starts that may be in flight while the lane is slow; 0: it isn't
	inFlight  int // starts in flight as of the newest plan, and those added since
	// Answers in the current interval of the limiter.
	promptAnswers, lateAnswers int
}

const (
	// minLaneWindow is the least number of starts in flight over a slow lane. Their answers show when it is fast again.
	minLaneWindow = 2
	// agentDelay is by how much longer an answer may take over an agent: for a batch in each direction, and for the agent's
	// processor.
	agentDelay = 100 * time.Millisecond
)

// full reports whether no more starts may be sent over the lane.
func (l *startLane) full() bool { return l != nil && l.window > 0 && l.inFlight >= l.window }

// slow reports whether the lane is slower than the others.
func (l *startLane) slow() bool { return l != nil && l.window > 0 }

// late reports whether most answers of the current interval were late.
func (l *startLane) late() bool { return l.lateAnswers > l.promptAnswers }

// recordInFlight counts a start in flight, and once as late if it is overdue.
func (l *startLane) recordInFlight(r *run, overdue bool) {
	if l == nil {
		return
	}
	l.inFlight++
	if overdue && !r.overdue {
		r.overdue = true
		l.lateAnswers++
	}
}

// recordPrompt counts a prompt answer. The window of a slow lane grows with each until others limit the lane.
func (l *startLane) recordPrompt(allowed int) {
	l.promptAnswers++
	if l.window > 0 {
		l.window++
	}
	if l.window > allowed {
		l.window = 0
	}
}

// endInterval begins the next interval. A lane that was late alone becomes slow, or slower.
func (l *startLane) endInterval(alone bool) {
	if alone && l.late() {
		window := l.window
		if window == 0 {
			window = l.inFlight
		}
		l.window = max(window/2, minLaneWindow)
	}
	l.promptAnswers, l.lateAnswers = 0, 0
}

// SetLanes sets over which lane the starts for a worker go: the agent that laneOf names, or directly if that is empty. It
// does nothing if the version is that of the last call.
func (c *Core) SetLanes(version uint64, laneOf func(worker string) string) {
	if c.laneVersion != version {
		c.laneVersion, c.laneOf = version, laneOf
		c.startLimiter.lanes = map[string]*startLane{}
	}
}

// lane returns the lane of a worker, or nil if lanes aren't known.
func (c *Core) lane(w *worker) *startLane {
	if c.laneOf == nil {
		return nil
	}
	if w.lane == nil || w.laneVersion != c.laneVersion {
		w.lane, w.laneVersion = c.startLimiter.lane(c.laneOf(w.ID)), c.laneVersion
	}
	return w.lane
}

// lane returns the lane of a name.
func (l *startLimiter) lane(name string) *startLane {
	lane := l.lanes[name]
	if lane == nil {
		lane = &startLane{overAgent: name != ""}
		l.lanes[name] = lane
	}
	return lane
}

// endIntervals ends the current interval of all lanes, and returns how many answers of the lanes that aren't slow by
// themselves were prompt, and how many late. If most lanes are late, this process is.
func (l *startLimiter) endIntervals() (prompt, late int) {
	active, lateLanes := 0, 0
	for _, lane := range l.lanes {
		if lane.promptAnswers+lane.lateAnswers > 0 {
			active++
		}
		if lane.late() {
			lateLanes++
		}
	}
	alone := 2*lateLanes < active
	for _, lane := range l.lanes {
		if !alone || !lane.late() {
			prompt, late = prompt+lane.promptAnswers, late+lane.lateAnswers
		}
		lane.endInterval(alone)
	}
	return prompt, late
}

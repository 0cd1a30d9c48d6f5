package sched

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/health"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Incarnation identifies one process of a worker. A worker that restarts keeps its id and gets a new incarnation.
type Incarnation struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"born,omitempty"` // start of the process in Unix milliseconds; 0: unknown
}

// Member is a worker as listed in the directory.
type Member struct {
	Incarnation
	Service  string    `json:"service"`          // service whose steps the worker runs
	Addr     string    `json:"addr"`             // network address
	Zone     string    `json:"zone"`             // failure domain
	Labels   []string  `json:"labels,omitempty"` // labels that a step may require
	Rack     string    `json:"rack,omitempty"`   // rack within the zone
	Size     wire.Size `json:"size"`             // total capacity
	Draining bool      `json:"-"`                // the worker has announced that it leaves
	// DrainRemaining is the minimum time that a draining worker stays available.
	DrainRemaining time.Duration `json:"-"`
	// LongLease is set in the list of tracked workers if a call meant for a former incarnation may have given the worker the
	// longest lease that it accepts.
	LongLease bool `json:"longLease,omitempty"`
}

// equal reports whether two entries of the directory say the same of a worker.
func (m Member) equal(o Member) bool {
	return m.Incarnation == o.Incarnation && m.Service == o.Service && m.Addr == o.Addr && m.Zone == o.Zone && slices.Equal(m.Labels, o.Labels) &&
		m.Rack == o.Rack && m.Size == o.Size && m.Draining == o.Draining && m.DrainRemaining == o.DrainRemaining && m.LongLease == o.LongLease
}

// End is the way in which a run ended.
type End string

// Ways in which a run ends.
const (
	EndDone           End = "done"
	EndFailed         End = "failed"
	EndStopped        End = "stopped"
	EndLeaseExpired   End = "lapsed" // the worker's lease expired
	EndGangBroken     End = "broken" // another task of the gang ended
	EndGangIncomplete End = "alone"  // the other tasks of the gang never started
)

// RunStatus is the status of an active run in a worker's report.
type RunStatus struct {
	Task        string        // task id as written by TaskID.String
	Run         int64         // run number
	Checkpoint  string        // newest checkpoint; empty: none
	Progress    int           // percentage of the work done; 100 for a long-running task that has completed its startup
	CPUUsage    float64       // millicores used over the last half second; only for tasks that are not latency-critical
	TailLatency time.Duration // tail latency over the last half second; only for latency-critical tasks
}

// FinishedRun is the end of a run in a worker's report.
type FinishedRun struct {
	Seq        int64  // sequence number of the end within the incarnation, from 1
	Task       string // task id as written by TaskID.String
	Run        int64  // run number
	End        End    // way in which the run ended
	Checkpoint string // newest checkpoint; empty: none
}

// Report is a worker's response to a poll. It lists all active runs and the ends that have not been acknowledged.
type Report struct {
	StartedAt int64         // incarnation that answered
	Clock     time.Duration // the worker's clock, which counts from the start of its process
	Running   []RunStatus   // all active runs
	Finished  []FinishedRun // unacknowledged ends in sequence order, at most maxReportedEnds
}

// Contact is the state of this holder's contact with a worker.
type Contact string

// States of contact with a worker.
const (
	ContactNone Contact = ""     // this incarnation has not answered a poll yet, so this holder has not fenced it
	ContactGood Contact = "good" // the last poll was answered
	ContactLost Contact = "lost" // the last poll failed or is overdue
)

// worker is the current incarnation of a worker with the runs assigned to it. Runs of a former incarnation stay listed
// until it is certain that they have ended.
type worker struct {
	Member                          // with hasEntry, as its entry says; otherwise only the incarnation and the address are certain
	listed            bool          // present in the directory, maybe by the entry of a former incarnation
	hasEntry          bool          // the directory has shown an entry of the current incarnation
	entryMissingSince time.Time     // when that incarnation was noticed; zero: this holder knows no other
	polled            bool          // polled by this holder before
	expired           bool          // the lease expired, the runs were released, and no report has arrived since
	inventoryComplete bool          // this incarnation has reported all of its runs and ends to this holder
	restarted         bool          // no report has arrived since this holder noticed the restart
	evacuated         bool          // its zone is evacuated
	drainUntil        time.Time     // earliest time at which the draining worker may leave; zero: not draining
	tracked           bool          // listed in the stored record of workers that may hold runs
	inherited         bool          // tracked at the takeover; orders of the former holder may have gone to any incarnation
	contact           Contact       // result of the last poll
	leaseUntil        time.Duration // end of the lease granted to this incarnation, on the worker's clock
	leaseExpiry       time.Time     // when the lease granted by this holder has expired; see Core.leaseEnd
	formerLease       bool          // leases of a former holder may be in force until Core.formerLeasesEnd
	fenceCount        int64         // low part of the fencing token; see Core.Fence
	restartFence      int64         // its value since the newest restart
	fenceRaisedAt     time.Time     // when that restart was noticed
	unansweredPollAt  time.Time     // when the oldest poll without an answer was sent that grants a lease or acknowledges ends; zero: starts have a higher token
	pollOvertaken     bool          // the newest poll was refused, as a start had overtaken it
	fencePending      bool          // calls with a lower token may still be carried out
	longLease         bool          // a successor has to wait for longLeaseEnd; see Member.LongLease
	longLeaseEnd      time.Time     // when that lease has ended; unbounded: it counts from the former holder's end
	ackedSeq          int64         // ends up to this number are stored and may be acknowledged
	polledSeq         int64         // PollRequest.AckedSeq of the newest poll
	deliveredSeq      int64         // highest PollRequest.AckedSeq of an answered poll
	answeredClock     time.Duration // the worker's clock in its newest report
	answeredSent      time.Time     // when the newest answered poll was sent
	lateStarts        []*lateStart  // starts that were given up without an answer and may be pending
	unansweredAt      time.Time     // when the newest start was sent that was given up without an answer, or may have been by a former holder; zero: none
	verifying         bool          // the newest poll verifies the incarnation; see worker.mayAck
	verified          bool          // the newest answered poll did
	handledSeq        int64         // ends up to this number have been handled
	releasedSeq       int64         // ends up to this number may be of runs that a lease expiry has released
	heldEnds          bool          // the newest report has ends that can't be handled yet
	pendingAcks       []pendingAck  // handled ends whose jobs have to be stored before the acknowledgement, in sequence order

	runs          map[runKey]*run // runs that are or may be on the worker
	runList       []*run          // the same runs in the order in which they were added
	allocated     wire.Size       // declared size of all runs, without CPU and memory of best-effort runs
	bestEffortMem int             // memory declared by best-effort runs, MiB
	bestEffortCPU int             // millicores declared by best-effort runs
	longRunning   wire.Size       // declared size of long-running runs that are not best-effort
	reserved      reservation     // resources kept free for a task that waits for others to end
	incoming      wire.Size       // reserved against long-running tasks for those that are to be moved here
	held          wire.Size       // the part of it that is reserved against all tasks
	incomingTasks []*task         // the tasks that are to be moved here
	clock         clockReading    // newest reading of the worker's clock
	pollWait      time.Duration   // PollRequest.Wait of the newest poll
	answerDelay   time.Duration   // how much longer than its wait the newest answered poll took, if that is more than contactSlack
	breaker       health.Breaker  // excludes the worker from placement after failures
	colocation    colocation      // state of best-effort tasks beside latency-critical ones

	forecast    forecast   // cached forecast of unused CPU and interference
	lane        *startLane // of the starts for it; see Core.lane
	laneVersion uint64     // Core.laneVersion as of which lane is valid

	indexStale bool      // listed in Core.staleWorkers
	orderDue   bool      // listed in Core.orderWorkers
	indexKey   *indexKey // position in Core.workerIndexes; nil: not indexed
}

// runKey identifies a run of a task.
type runKey struct {
	task TaskID
	run  int64 // run number
}

// RunState is what this holder knows about a run.
type RunState string

// States of a run.
const (
	RunSent     RunState = "sent"     // the start is in flight
	RunLive     RunState = "live"     // the run is active on the worker
	RunUnknown  RunState = "unsure"   // the start got no answer: the run may begin until it is stopped or the lease expires
	RunStopping RunState = "stopping" // the run has to be stopped
	RunStopped  RunState = "stopped"  // the stop is acknowledged; the run is removed by the next report that does not list it
)

// run is an execution of a task on a worker.
type run struct {
	runKey
	task            *task         // nil: the run is to be stopped because its task is unknown, done, or has another run
	worker          *worker       // worker that runs the task
	state           RunState      // what is known about the run
	incarnation     int64         // StartedAt of the incarnation that the start was sent to
	sent            bool          // the start was sent, or is being sent
	answered        bool          // the outcome of the start is handled
	late            *lateStart    // its start, if that was given up without an answer
	reported        bool          // that incarnation has reported the run
	orderedAt       time.Time     // time of the newest order about the run
	absent          bool          // the start got no answer, and a later poll did not list the run
	stopBackoff     backoff       // spaces out stop orders
	throttleBackoff backoff       // spaces out throttle orders
	startedAt       time.Time     // time of the start order, or of the first report for an adopted run
	confirmedAt     time.Time     // time at which the run was confirmed as active or its stop as acknowledged
	cpuLimit        cpuLimit      // CPU limit that the worker applies, as far as known
	wantedCPULimit  int           // CPU limit that the run should have, percent
	throttledSince  time.Time     // since when wantedCPULimit is below minKeepCPULimit; zero: it is not
	cpuUsage        float64       // reported CPU usage, millicores
	tailLatency     time.Duration // reported tail latency
	lane            *startLane    // over which it was started; nil: not known
	overdue         bool          // its start was overdue in a plan, and counts as late for the lane
	adopted         bool          // first known from a report, not from an order of this holder
	starved         bool          // the job was starved when the run was placed; see Core.updateStarved
	progress        int           // percentage of the work done
	idleSince       time.Time     // since when reports show neither progress nor CPU use; zero: not idle, or to be paused
	ready           bool          // the task has completed its startup; only meaningful for long-running tasks
	overTargetSince time.Time     // since when the tail latency is over its target; zero: it is not

	relocationTriedAt time.Time // when a destination was last searched for
}

// free returns the capacity that is neither allocated to runs nor held for tasks that are to be moved here. It is negative if
// such a task has to wait for others to end.
func (w *worker) free() wire.Size {
	return w.unallocated().Minus(w.held)
}

// unallocated returns the capacity that is not allocated to runs. Best-effort runs take memory and accelerators of it, but
// no CPU.
func (w *worker) unallocated() wire.Size {
	f := w.Size.Minus(w.allocated)
	f.Mem -= w.bestEffortMem
	return f
}

// fitsBeside reports whether a long-running task of a size fits once all other tasks have ended.
func (w *worker) fitsBeside(size wire.Size) bool {
	return w.Size.Minus(w.longRunning).Minus(w.incoming).Covers(size)
}

// addRun adds a run to the worker and updates the allocated resources. Callers use Core.attachRun.
func (w *worker) addRun(r *run) {
	w.runs[r.runKey] = r
	w.runList = append(w.runList, r)
	w.countRun(r, 1)
}

// removeRun removes a run from the worker and reports whether it was present. Callers use Core.detachRun.
func (w *worker) removeRun(r *run) bool {
	if w.runs[r.runKey] != r {
		return false
	}
	delete(w.runs, r.runKey)
	i := slices.Index(w.runList, r)
	w.runList = slices.Delete(w.runList, i, i+1)
	w.countRun(r, -1)
	return true
}

// countRun adds the declared size of a run to the allocated resources if sign is 1, and subtracts it if sign is -1.
func (w *worker) countRun(r *run, sign int) {
	if r.task == nil {
		return
	}
	s := r.task.step.spec
	if s.BestEffort {
		w.bestEffortCPU += sign * s.Size.CPU
		w.bestEffortMem += sign * s.Size.Mem
		w.allocated.Accel += sign * s.Size.Accel
		return
	}
	w.allocated.CPU += sign * s.Size.CPU
	w.allocated.Mem += sign * s.Size.Mem
	w.allocated.Accel += sign * s.Size.Accel
	if s.LongRunning {
		w.longRunning.CPU += sign * s.Size.CPU
		w.longRunning.Mem += sign * s.Size.Mem
		w.longRunning.Accel += sign * s.Size.Accel
	}
}

// hasLabel reports whether the worker carries a label. The empty label matches every worker.
func (w *worker) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// serves reports whether the worker is one of a step's service and has the label that the step requires.
func (w *worker) serves(s *stepInstance) bool {
	return w.Service == s.job.Service && w.hasLabel(s.spec.RequiredLabel)
}

// isCurrent reports whether the directory lists the worker with an entry of its current incarnation.
func (w *worker) isCurrent() bool { return w.listed && w.hasEntry }

// isOpen reports whether the worker takes new tasks, as the directory and the operators say.
func (w *worker) isOpen() bool { return w.isCurrent() && !w.Draining && !w.evacuated }

// schedulable reports whether new tasks may be placed on the worker.
func (w *worker) schedulable(now time.Time) bool {
	return w.isOpen() && w.tracked && w.contact == ContactGood && w.leaseCoversStart(now) && !w.breaker.Tripped(now)
}

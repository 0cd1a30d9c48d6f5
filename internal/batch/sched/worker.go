package sched

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/health"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Incarnation names one life of a worker: it may start anew under the same id.
type Incarnation struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"born,omitempty"` // Unix milliseconds; 0: not known
}

// Member is a worker as the directory shows it.
type Member struct {
	Incarnation
	Service  string    `json:"service"`
	Addr     string    `json:"addr"`
	Zone     string    `json:"zone"`
	Labels   []string  `json:"labels,omitempty"`
	Rack     string    `json:"rack,omitempty"`
	Size     wire.Size `json:"size"`
	Draining bool      `json:"-"`
	// DrainRemaining is how long a draining worker stays at least.
	DrainRemaining time.Duration `json:"-"`
}

// End is the way in which a run ended.
type End string

// The ends of a run.
const (
	EndDone           End = "done"
	EndFailed         End = "failed"
	EndStopped        End = "stopped"
	EndLeaseExpired   End = "lapsed" // its worker's lease ran out
	EndGangBroken     End = "broken" // another task of its gang ended
	EndGangIncomplete End = "alone"  // the rest of its gang did not come
)

// RunStatus is a run in a worker's report.
type RunStatus struct {
	Task        string
	Run         int64
	Checkpoint  string        // the newest checkpoint
	Progress    int           // percent: of its work, or 100 for a lasting task that is past its startup
	CPUUsage    float64       // millicores in use over the last half second, for a task that doesn't serve
	TailLatency time.Duration // tail latency over the last half second, for a task that serves
}

// FinishedRun is an end in a worker's report; Seq counts the ends of a life from 1.
type FinishedRun struct {
	Seq        int64
	Task       string
	Run        int64
	End        End
	Checkpoint string
}

// Report is a worker's answer to a poll: everything that it runs and every end not yet acknowledged.
type Report struct {
	StartedAt int64
	Clock     time.Duration // of the worker, since its start
	Running   []RunStatus
	Finished  []FinishedRun
}

// Contact is a worker's health as seen from here.
type Contact string

// The states of contact with a worker.
const (
	ContactNone Contact = ""     // not fenced by this holder yet
	ContactGood Contact = "good" // the last poll was answered
	ContactLost Contact = "lost" // it wasn't
)

// worker is a life of a worker with the ledger of its runs.
type worker struct {
	Member
	listed            bool      // in the directory
	polled            bool      // asked by this holder before
	expired           bool      // its runs were given up after a lapse and it hasn't been heard since
	inventoryComplete bool      // this life has told this holder all that it runs and all ends
	restarted         bool      // it has started anew and hasn't been heard since
	evacuated         bool      // its failure domain is taken out
	drainUntil        time.Time // when it may leave; zero: it doesn't drain
	tracked           bool      // in the store's record of workers that may hold runs
	inherited         bool      // the record named it as this holder took over; another life of it may have got an order too
	contact           Contact
	leaseUntil        time.Duration // the lease granted to this life, on its clock
	leaseExpiry       time.Time     // when every run there has ended unless the lease is renewed
	ackedSeq          int64         // ends up to here are recorded and may be forgotten there
	handledSeq        int64         // ends up to here have been handled
	pendingAcks       []pendingAck  // of these, in their order, whose jobs have to be stored first

	runs          map[runKey]*run
	runList       []*run    // the same, in the order in which they came
	allocated     wire.Size // of all runs but those that fill
	bestEffortMem int       // memory of the runs that fill, MiB
	bestEffortCPU int       // millicores asked for by the runs that fill
	longRunning   wire.Size // of lasting runs
	reserved      reservation
	clock         clockReading
	breaker       health.Breaker
	colocation    colocation

	forecast   forecast
	indexStale bool      // in Core.stale
	indexKey   *indexKey // nil: not in Core.rooms
}

type runKey struct {
	task TaskID
	run  int64
}

// RunState is how sure it is that a run is there.
type RunState string

// The states of a run.
const (
	RunSent     RunState = "sent"     // ordered, not answered
	RunLive     RunState = "live"     // there
	RunUnknown  RunState = "unsure"   // the order was not answered: it may come to life until it's stopped or lapsed
	RunStopping RunState = "stopping" // to be stopped
	RunStopped  RunState = "stopped"  // the stop is acknowledged; gone with the next poll that doesn't show it
)

type run struct {
	runKey
	task            *task // nil: of a job that isn't known here
	worker          *worker
	state           RunState
	incarnation     int64     // life of the worker that was meant
	reported        bool      // a report of that life has shown it
	orderedAt       time.Time // of the newest order about it
	absent          bool      // a poll that was sent after its start went unanswered hasn't shown it
	stopBackoff     backoff
	throttleBackoff backoff
	startedAt       time.Time // first seen or ordered
	confirmedAt     time.Time // since when it was known to be there, or its stop to be acknowledged
	cpuLimit        int       // percent, as the worker was told
	cpuLimitSetAt   time.Time // when it was
	wantedCPULimit  int       // percent, as it should be
	throttledSince  time.Time // since when that is below movePace; zero: it isn't
	cpuUsage        float64   // millicores
	tailLatency     time.Duration
	adopted         bool      // it began before this holder knew of it
	starved         bool      // its job was as it was placed; see Core.starve
	progress        int       // percent of its work that is done
	ready           bool      // a serving task past its startup
	overTargetSince time.Time // since when the tail is over its target; zero: it isn't
}

func (w *worker) free() wire.Size {
	f := w.Size.Minus(w.allocated)
	f.Mem -= w.bestEffortMem
	return f
}

// addRun enters a run into the ledger; see Core.attach.
func (w *worker) addRun(r *run) {
	w.runs[r.runKey] = r
	w.runList = append(w.runList, r)
	w.countRun(r, 1)
}

// removeRun takes a run out of the ledger and reports whether it was there; see Core.detach.
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

// schedulable reports whether new tasks may be placed on the worker.
func (w *worker) schedulable(now time.Time) bool {
	return w.listed && w.tracked && !w.Draining && !w.evacuated && w.contact == ContactGood && w.leaseCoversStart(now) && !w.breaker.Tripped(now)
}

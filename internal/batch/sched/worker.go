package sched

import (
	"slices"
	"time"

	"bramleysail.example/bramleysail/internal/batch/health"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Life names one life of a worker: it may start anew under the same id.
type Life struct {
	ID   string `json:"id"`
	Born int64  `json:"born,omitempty"` // Unix milliseconds; 0: not known
}

// Member is a worker as the directory shows it.
type Member struct {
	Life
	Service  string    `json:"service"`
	Addr     string    `json:"addr"`
	Zone     string    `json:"zone"`
	Labels   []string  `json:"labels,omitempty"`
	Rack     string    `json:"rack,omitempty"`
	Size     wire.Size `json:"size"`
	Draining bool      `json:"-"`
	// Left is how long a draining worker stays at least.
	Left time.Duration `json:"-"`
}

// End is the way in which a run ended.
type End string

// The ends of a run.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLapsed  End = "lapsed" // its worker's lease ran out
	EndBroken  End = "broken" // another task of its gang ended
	EndAlone   End = "alone"  // the rest of its gang did not come
)

// Running is a run in a worker's report.
type Running struct {
	Task  string
	Run   int64
	Save  string        // the newest checkpoint
	Part  int           // percent: of its work, or 100 for a lasting task that is past its startup
	Usage float64       // millicores in use over the last half second, for a task that doesn't serve
	Tail  time.Duration // tail latency over the last half second, for a task that serves
}

// Finished is an end in a worker's report; Seq counts the ends of a life from 1.
type Finished struct {
	Seq  int64
	Task string
	Run  int64
	How  End
	Save string
}

// Report is a worker's answer to a poll: everything that it runs and every end not yet acknowledged.
type Report struct {
	Born     int64
	Clock    time.Duration // of the worker, since its start
	Running  []Running
	Finished []Finished
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
	listed    bool      // in the directory
	polled    bool      // asked by this holder before
	void      bool      // its runs were given up after a lapse and it hasn't been heard since
	reported  bool      // this life has told this holder all that it runs and all ends
	fresh     bool      // it has started anew and hasn't been heard since
	out       bool      // its failure domain is taken out
	leaves    time.Time // when it may leave; zero: it doesn't drain
	stored    bool      // in the store's record of workers that may hold runs
	inherited bool      // the record named it as this holder took over; another life of it may have got an order too
	contact   Contact
	until     time.Duration // the lease granted to this life, on its clock
	lapse     time.Time     // when every run there has ended unless the lease is renewed
	acked     int64         // ends up to here are recorded and may be forgotten there
	heard     int64         // ends up to here have been handled
	pending   []pendingAck  // of these, in their order, whose jobs have to be stored first

	runs    map[runKey]*run
	list    []*run    // the same, in the order in which they came
	used    wire.Size // of all runs but those that fill
	mem     int       // memory of the runs that fill, MiB
	fill    int       // millicores asked for by the runs that fill
	lasting wire.Size // of lasting runs
	kept    reservation
	clock   clock
	breaker health.Breaker
	share   sharing

	forecast forecast
	stale    bool     // in Core.stale
	indexed  *indexed // nil: not in Core.rooms
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
	RunUnsure   RunState = "unsure"   // the order was not answered: it may come to life until it's stopped or lapsed
	RunStopping RunState = "stopping" // to be stopped
	RunStopped  RunState = "stopped"  // the stop is acknowledged; gone with the next poll that doesn't show it
)

type run struct {
	runKey
	task    *task // nil: of a job that isn't known here
	worker  *worker
	state   RunState
	born    int64     // life of the worker that was meant
	shown   bool      // a report of that life has shown it
	sent    time.Time // of the newest order about it
	absent  bool      // a poll that was sent after its start went unanswered hasn't shown it
	stops   repeat
	paces   repeat
	began   time.Time // first seen or ordered
	sure    time.Time // since when it was known to be there, or its stop to be acknowledged
	pace    int       // percent, as the worker was told
	paced   time.Time // when it was
	want    int       // percent, as it should be
	slowed  time.Time // since when that is below movePace; zero: it isn't
	usage   float64   // millicores
	tail    time.Duration
	adopted bool      // it began before this holder knew of it
	starved bool      // its job was as it was placed; see Core.starve
	part    int       // percent of its work that is done
	ready   bool      // a serving task past its startup
	over    time.Time // since when the tail is over its target; zero: it isn't
}

func (w *worker) free() wire.Size {
	f := w.Size.Minus(w.used)
	f.Mem -= w.mem
	return f
}

// add enters a run into the ledger; see Core.attach.
func (w *worker) add(r *run) {
	w.runs[r.runKey] = r
	w.list = append(w.list, r)
	w.count(r, 1)
}

// drop takes a run out of the ledger and reports whether it was there; see Core.detach.
func (w *worker) drop(r *run) bool {
	if w.runs[r.runKey] != r {
		return false
	}
	delete(w.runs, r.runKey)
	i := slices.Index(w.list, r)
	w.list = slices.Delete(w.list, i, i+1)
	w.count(r, -1)
	return true
}

func (w *worker) count(r *run, sign int) {
	if r.task == nil {
		return
	}
	s := r.task.stage.spec
	if s.Fills {
		w.fill += sign * s.Size.CPU
		w.mem += sign * s.Size.Mem
		w.used.Accel += sign * s.Size.Accel
		return
	}
	w.used.CPU += sign * s.Size.CPU
	w.used.Mem += sign * s.Size.Mem
	w.used.Accel += sign * s.Size.Accel
	if s.Lasting {
		w.lasting.CPU += sign * s.Size.CPU
		w.lasting.Mem += sign * s.Size.Mem
		w.lasting.Accel += sign * s.Size.Accel
	}
}

func (w *worker) labelled(label string) bool {
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

// open reports whether new tasks may be placed on the worker.
func (w *worker) open(now time.Time) bool {
	return w.listed && w.stored && !w.Draining && !w.out && w.contact == ContactGood && w.lends(now) && !w.breaker.Tripped(now)
}

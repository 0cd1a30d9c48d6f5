package worker

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

// Worker is the stand-in; New gives it its resources.
type Worker struct {
	mu     sync.Mutex
	now    func() wire.Clock
	size   wire.Size
	epoch  uint64
	until  wire.Clock
	tasks  map[string]*task
	starts map[string]int
	// accepts counts the results let out, which is what the outside world sees of a task.
	accepts map[string]int
	lag     time.Duration
	report  wire.Report
	at      wire.Clock
	fail    bool
}

type task struct {
	spec  wire.Task
	begun wire.Clock
	done  time.Duration
	state wire.TaskState
	rate  float64
}

// New returns a worker of that size whose reports lag by lag.
func New(size wire.Size, lag time.Duration) *Worker {
	began := time.Now()
	return NewAt(size, lag, func() wire.Clock { return wire.Clock(time.Since(began)) })
}

// NewAt returns a worker with the given clock.
func NewAt(size wire.Size, lag time.Duration, now func() wire.Clock) *Worker {
	return &Worker{now: now, size: size, lag: lag, tasks: map[string]*task{}, starts: map[string]int{}, accepts: map[string]int{}}
}

// Starts returns how often the task has been started here.
func (w *Worker) Starts(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// Accepts returns how many results were let out, by task id.
func (w *Worker) Accepts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.accepts)
}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/fence", handle(w.Fence))
	r.Post("/v1/renew", handle(w.Renew))
	r.Post("/v1/start", handle(w.Start))
	r.Post("/v1/act", handle(w.Act))
	r.Get("/v1/report", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(w.Report())
	})
	r.Get("/stats", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		_ = json.NewEncoder(rw).Encode(struct{ Starts, Accepts map[string]int }{w.starts, w.accepts})
	})
	return r
}

// handle adapts a typed command to HTTP; a refused command answers 409 with its reason.
func handle[In, Out any](f func(In) (Out, wire.Refusal)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		out, refusal := f(in)
		if refusal != "" {
			rw.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(rw).Encode(struct{ Why wire.Refusal }{refusal})
			return
		}
		_ = json.NewEncoder(rw).Encode(out)
	}
}

// Fence raises the epoch and returns what is here, without lag.
//
// It guards against a former holder that was paused and wakes up: its commands
// carry the older epoch and are refused from here on, whenever they were sent.
func (w *Worker) Fence(in wire.Fence) (wire.Report, wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.Epoch < w.epoch {
		return wire.Report{}, wire.RefusalEpoch
	}
	w.advance()
	w.epoch = in.Epoch
	return w.snapshot(), ""
}

// SetFailing makes every task that starts here fail at once, or not any more.
func (w *Worker) SetFailing(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fail = fail
}

// Running returns the ids of the tasks that run here now.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var ids []string
	for id, t := range w.tasks {
		if t.state == wire.TaskRunning {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Renew lets the tasks run until a moment.
func (w *Worker) Renew(in wire.Renew) (wire.Report, wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.Epoch != w.epoch {
		return wire.Report{}, wire.RefusalEpoch
	}
	w.advance()
	w.until = max(w.until, in.Until)
	return w.snapshot(), ""
}

// Start runs a task, unless it's here already.
func (w *Worker) Start(in wire.Start) (wire.Report, wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if in.Epoch != w.epoch {
		return wire.Report{}, wire.RefusalEpoch
	}
	if t := w.tasks[in.Task.ID]; t != nil {
		return w.snapshot(), ""
	}
	if w.now() > w.until {
		return wire.Report{}, wire.RefusalLease
	}
	if w.now() > in.NotAfter {
		return wire.Report{}, wire.RefusalLate
	}
	free := w.size
	for _, t := range w.tasks {
		if t.state == wire.TaskRunning {
			free = free.Minus(t.spec.Size)
		}
	}
	if !free.Covers(in.Task.Size) {
		return wire.Report{}, wire.RefusalRoom
	}
	w.starts[in.Task.ID]++
	state := wire.TaskRunning
	if w.fail {
		state = wire.TaskFailed
	}
	w.tasks[in.Task.ID] = &task{spec: in.Task, begun: w.now(), done: in.Task.From, state: state, rate: 1}
	return w.snapshot(), ""
}

// Act checkpoints, stops, throttles or forgets a task.
func (w *Worker) Act(in wire.Act) (wire.Report, wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if in.Epoch != w.epoch {
		return wire.Report{}, wire.RefusalEpoch
	}
	t := w.tasks[in.ID]
	if t == nil {
		return w.snapshot(), ""
	}
	switch in.Verb {
	case wire.VerbCheckpoint:
		if t.state == wire.TaskRunning {
			t.state = wire.TaskStopped
		}
	case wire.VerbStop:
		if t.state == wire.TaskRunning {
			t.state, t.done = wire.TaskStopped, t.spec.From
		}
	case wire.VerbThrottle:
		t.rate = in.Rate
	case wire.VerbAccept:
		if t.state == wire.TaskFinished {
			w.accepts[in.ID]++
			delete(w.tasks, in.ID)
		}
	case wire.VerbForget:
		if t.state != wire.TaskRunning {
			delete(w.tasks, in.ID)
		}
	}
	return w.snapshot(), ""
}

// advance brings the tasks up to now; those running past the lease stop there,
// with the progress they had when it lapsed.
func (w *Worker) advance() {
	now := w.now()
	end := now
	if now > w.until {
		end = w.until
	}
	for _, t := range w.tasks {
		if t.state != wire.TaskRunning {
			continue
		}
		if d := end - t.begun; d > 0 {
			t.done += time.Duration(float64(d) * t.rate)
		}
		t.begun = now
		switch {
		case t.done >= t.spec.Run && !t.spec.Standing:
			t.state = wire.TaskFinished
		case now > w.until:
			t.state = wire.TaskStopped
		}
	}
}

func (w *Worker) snapshot() wire.Report {
	r := wire.Report{Epoch: w.epoch, Now: w.now(), Size: w.size}
	for id, t := range w.tasks {
		r.Tasks = append(r.Tasks, wire.TaskReport{ID: id, State: t.state, Done: t.done, Size: t.spec.Size})
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].ID < r.Tasks[j].ID })
	return r
}

// Report returns the inventory as it was up to the lag ago.
func (w *Worker) Report() wire.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Duration(w.now()-w.at) >= w.lag || w.report.Now == 0 {
		w.advance()
		w.report, w.at = w.snapshot(), w.now()
	}
	return w.report
}

package worker

import (
	"encoding/json"
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
	now    func() time.Time
	size   wire.Size
	epoch  uint64
	until  time.Time
	tasks  map[string]*task
	starts map[string]int
	lag    time.Duration
	report wire.Report
	at     time.Time
	fail   bool
}

type task struct {
	spec  wire.Task
	begun time.Time
	done  time.Duration
	state wire.TaskState
	rate  float64
}

// New returns a worker of that size whose reports lag by lag.
func New(size wire.Size, lag time.Duration) *Worker {
	return &Worker{now: time.Now, size: size, lag: lag, tasks: map[string]*task{}, starts: map[string]int{}}
}

// Starts returns how often the task has been started here.
func (w *Worker) Starts(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/fence", handle(w.fence))
	r.Post("/v1/renew", handle(w.renew))
	r.Post("/v1/start", handle(w.start))
	r.Post("/v1/act", handle(w.act))
	r.Get("/v1/report", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(w.lagged())
	})
	r.Get("/stats", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		_ = json.NewEncoder(rw).Encode(w.starts)
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

// fence raises the epoch and returns what is here, without lag.
//
// It guards against a former holder that was paused and wakes up: its commands
// carry the older epoch and are refused from here on, whenever they were sent.
func (w *Worker) fence(in wire.Fence) (wire.Report, wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.Epoch < w.epoch {
		return wire.Report{}, wire.RefusalEpoch
	}
	w.advance()
	w.epoch = in.Epoch
	w.until = w.now().Add(in.Lease)
	return w.snapshot(), ""
}

func (w *Worker) renew(in wire.Fence) (struct{}, wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.Epoch != w.epoch {
		return struct{}{}, wire.RefusalEpoch
	}
	w.advance()
	w.until = w.now().Add(in.Lease)
	return struct{}{}, ""
}

func (w *Worker) start(in wire.Start) (struct{}, wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if in.Epoch != w.epoch {
		return struct{}{}, wire.RefusalEpoch
	}
	if w.now().After(w.until) {
		return struct{}{}, wire.RefusalLease
	}
	if t := w.tasks[in.Task.ID]; t != nil {
		return struct{}{}, ""
	}
	free := w.size
	for _, t := range w.tasks {
		if t.state == wire.TaskRunning {
			free = free.Minus(t.spec.Size)
		}
	}
	if !free.Covers(in.Task.Size) {
		return struct{}{}, wire.RefusalRoom
	}
	w.starts[in.Task.ID]++
	state := wire.TaskRunning
	if w.fail {
		state = wire.TaskFailed
	}
	w.tasks[in.Task.ID] = &task{spec: in.Task, begun: w.now(), done: in.Task.From, state: state, rate: 1}
	return struct{}{}, ""
}

func (w *Worker) act(in wire.Act) (wire.Report, wire.Refusal) {
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
	if now.After(w.until) {
		end = w.until
	}
	for _, t := range w.tasks {
		if t.state != wire.TaskRunning {
			continue
		}
		if d := end.Sub(t.begun); d > 0 {
			t.done += time.Duration(float64(d) * t.rate)
		}
		t.begun = now
		switch {
		case t.done >= t.spec.Run && !t.spec.Standing:
			t.state = wire.TaskFinished
		case now.After(w.until):
			t.state = wire.TaskStopped
		}
	}
}

func (w *Worker) snapshot() wire.Report {
	r := wire.Report{Epoch: w.epoch, Size: w.size}
	for id, t := range w.tasks {
		r.Tasks = append(r.Tasks, wire.TaskReport{ID: id, State: t.state, Done: t.done, Size: t.spec.Size})
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].ID < r.Tasks[j].ID })
	return r
}

func (w *Worker) lagged() wire.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.now().Sub(w.at) >= w.lag {
		w.advance()
		w.report, w.at = w.snapshot(), w.now()
	}
	return w.report
}

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

// Worker is a simulated worker. It is created by New or NewAt.
type Worker struct {
	mu         sync.Mutex             // guards the fields below
	now        func() wire.WorkerTime // the worker's clock
	size       wire.Size              // resources in all
	epoch      uint64                 // highest epoch of a fence received
	leaseUntil wire.WorkerTime        // lease expiry
	tasks      map[string]*task       // by ID, ended ones too until they are forgotten
	starts     map[string]int         // number of starts by task ID
	// acceptedResults is how often the result of each task was accepted, by task ID. A task has no other effect
	// outside the worker.
	acceptedResults map[string]int
	reportLag       time.Duration   // greatest age of lastReport
	lastReport      wire.Report     // what Report returns until it is too old
	reportedAt      wire.WorkerTime // when lastReport was made
	failTasks       bool            // tasks that start fail at once
}

// task is a task that was started here and has not been forgotten.
type task struct {
	spec      wire.Task
	updatedAt wire.WorkerTime // time up to which the progress is counted
	progress  time.Duration   // work done, at full speed
	state     wire.TaskState
	speed     float64 // share of full speed, 0 to 1
}

// New returns a worker of the given size whose reports lag by up to lag. Its clock starts at 0.
func New(size wire.Size, lag time.Duration) *Worker {
	startedAt := time.Now()
	return NewAt(size, lag, func() wire.WorkerTime { return wire.WorkerTime(time.Since(startedAt)) })
}

// NewAt is like New with the given clock.
func NewAt(size wire.Size, lag time.Duration, now func() wire.WorkerTime) *Worker {
	return &Worker{now: now, size: size, reportLag: lag, tasks: map[string]*task{}, starts: map[string]int{}, acceptedResults: map[string]int{}}
}

// Starts returns how often a task has been started here.
func (w *Worker) Starts(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// AcceptedResults returns how often the result of each task was accepted, by task ID.
func (w *Worker) AcceptedResults() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.acceptedResults)
}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/fence", handleCommand(w.Fence))
	r.Post("/v1/renew", handleCommand(w.Renew))
	r.Post("/v1/start", handleCommand(w.Start))
	r.Post("/v1/act", handleCommand(w.Act))
	r.Get("/v1/report", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(w.Report())
	})
	r.Get("/stats", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		_ = json.NewEncoder(rw).Encode(struct{ Starts, Accepts map[string]int }{w.starts, w.acceptedResults})
	})
	return r
}

// handleCommand adapts a typed command to HTTP. A refused command is answered with status 409 and the reason.
func handleCommand[In, Out any](f func(In) (Out, wire.Refusal)) http.HandlerFunc {
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

// Fence raises the epoch and returns a report without lag.
//
// It guards against a former holder that was paused and resumes: its commands
// carry an older epoch and are refused from now on, whenever they were sent.
func (w *Worker) Fence(in wire.FenceRequest) (wire.Report, wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.Epoch < w.epoch {
		return wire.Report{}, wire.RefusalEpochMismatch
	}
	w.updateTasks()
	w.epoch = in.Epoch
	return w.snapshot(), ""
}

// SetFailing sets whether every task that starts from now on fails at once.
func (w *Worker) SetFailing(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failTasks = fail
}

// RunningTasks returns the IDs of the running tasks, in order.
func (w *Worker) RunningTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateTasks()
	var ids []string
	for id, t := range w.tasks {
		if t.state == wire.TaskRunning {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Renew extends the lease under which the tasks run.
func (w *Worker) Renew(in wire.RenewRequest) (wire.Report, wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.Epoch != w.epoch {
		return wire.Report{}, wire.RefusalEpochMismatch
	}
	w.updateTasks()
	w.leaseUntil = max(w.leaseUntil, in.Until)
	return w.snapshot(), ""
}

// Start starts a task, unless it was started here before and has not been forgotten. The lease must not have
// expired, the start must not be too late, and the free resources must cover the task.
func (w *Worker) Start(in wire.StartRequest) (wire.Report, wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateTasks()
	if in.Epoch != w.epoch {
		return wire.Report{}, wire.RefusalEpochMismatch
	}
	if t := w.tasks[in.Task.ID]; t != nil {
		return w.snapshot(), ""
	}
	if w.now() > w.leaseUntil {
		return wire.Report{}, wire.RefusalLeaseExpired
	}
	if w.now() > in.NotAfter {
		return wire.Report{}, wire.RefusalDeadlinePassed
	}
	free := w.size
	for _, t := range w.tasks {
		if t.state == wire.TaskRunning {
			free = free.Minus(t.spec.Size)
		}
	}
	if !free.Covers(in.Task.Size) {
		return wire.Report{}, wire.RefusalNoCapacity
	}
	w.starts[in.Task.ID]++
	state := wire.TaskRunning
	if w.failTasks {
		state = wire.TaskFailed
	}
	w.tasks[in.Task.ID] = &task{spec: in.Task, updatedAt: w.now(), progress: in.Task.ResumeFrom, state: state, speed: 1}
	return w.snapshot(), ""
}

// Act checkpoints, stops, throttles or forgets a task, or accepts its result.
func (w *Worker) Act(in wire.TaskCommandRequest) (wire.Report, wire.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateTasks()
	if in.Epoch != w.epoch {
		return wire.Report{}, wire.RefusalEpochMismatch
	}
	t := w.tasks[in.TaskID]
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
			t.state, t.progress = wire.TaskStopped, t.spec.ResumeFrom
		}
	case wire.VerbThrottle:
		t.speed = in.Rate
	case wire.VerbAcceptResult:
		if t.state == wire.TaskFinished {
			w.acceptedResults[in.TaskID]++
			delete(w.tasks, in.TaskID)
		}
	case wire.VerbForget:
		if t.state != wire.TaskRunning {
			delete(w.tasks, in.TaskID)
		}
	}
	return w.snapshot(), ""
}

// updateTasks updates the progress and state of the tasks. If the lease has expired, running tasks are stopped
// with the progress that they had at its expiry.
func (w *Worker) updateTasks() {
	now := w.now()
	end := now
	if now > w.leaseUntil {
		end = w.leaseUntil
	}
	for _, t := range w.tasks {
		if t.state != wire.TaskRunning {
			continue
		}
		if d := end - t.updatedAt; d > 0 {
			t.progress += time.Duration(float64(d) * t.speed)
		}
		t.updatedAt = now
		switch {
		case t.progress >= t.spec.Duration && !t.spec.LongRunning:
			t.state = wire.TaskFinished
		case now > w.leaseUntil:
			t.state = wire.TaskStopped
		}
	}
}

// snapshot returns a report of the worker's present state.
func (w *Worker) snapshot() wire.Report {
	r := wire.Report{Epoch: w.epoch, Now: w.now(), Size: w.size}
	for id, t := range w.tasks {
		r.Tasks = append(r.Tasks, wire.TaskReport{ID: id, State: t.state, Done: t.progress, Size: t.spec.Size})
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].ID < r.Tasks[j].ID })
	return r
}

// Report returns a report that is up to the lag old.
func (w *Worker) Report() wire.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Duration(w.now()-w.reportedAt) >= w.reportLag || w.lastReport.Now == 0 {
		w.updateTasks()
		w.lastReport, w.reportedAt = w.snapshot(), w.now()
	}
	return w.lastReport
}

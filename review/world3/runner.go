package world3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval of a runner's writes to the store; an entry is removed after three intervals of silence.
const heartbeat = 1500 * time.Millisecond

// tick is the step of a runner's tasks.
const tick = 10 * time.Millisecond

// run is a run of a task on a runner.
type run struct {
	task     string
	number   int64
	step     Step
	done     time.Duration // work done
	percent  int           // share at which it works
	stopAt   time.Time     // when a stop takes effect; zero: none was ordered
	lasts    bool
	began    time.Time
	failWhen time.Duration // work after which it fails; 0: it doesn't
	from     string        // checkpoint with which it was started
	saved    string        // newest checkpoint
}

// end is the end of a run.
type end struct {
	n     int64
	task  string
	run   int64
	how   string
	saved string
	void  bool // the lease lapsed before it was taken note of
}

// Fleet is the runners of a service.
type Fleet struct {
	Service string
	Runners []*Runner
	Guards  bool // they reject what does not fit
	Bounds  Bounds

	// OnStart, if set, is called for each task that a runner begins, with the runner's lock held.
	OnStart func(r *Runner, task string, number int64, job *Job, step Step)
	// OnEnd is called likewise for each end.
	OnEnd func(r *Runner, task string, number int64, how string)
	// OnNoted is called likewise when an end is taken note of, and OnCrash for each run that is lost with its runner.
	OnNoted func(r *Runner, task string, number int64, how string)
	OnCrash func(r *Runner, task string, number int64)
	// FailAfter, if set, returns the work after which a run fails by its own fault; 0: it doesn't.
	FailAfter func(task string, number int64) time.Duration
	// OrderGate, if set, is asked before an order is carried out: for how long it is held back without an answer, 0: it isn't.
	OrderGate func(r *Runner, path, task string) time.Duration

	store *Store
	rec   *Record
	mu    sync.Mutex
	jobs  map[string]*Job
}

// Know tells the runners of a job, whose tasks they can then run.
func (f *Fleet) Know(j *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.ID] = j
}

// job returns a job that a client has sent, or nil.
func (f *Fleet) job(id string) *Job {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs[id]
}

// Runner is a runner at one address, with its lives one after the other.
type Runner struct {
	ID   string
	Kind string // of its present life
	Rack string
	Zone string
	CPU  int
	Mem  int
	Addr string

	fleet    *Fleet
	mu       sync.Mutex
	up       bool
	draining bool
	darkAt   time.Time
	dark     bool // it is cut off: calls don't arrive, and neither do its writes to the store
	listener net.Listener
	server   *http.Server
	life     int // counts its lives
	born     time.Time
	fence    int64
	until    time.Duration // end of the lease on its clock
	runs     []*run
	refused  map[string]int64 // highest run of a task that was stopped or has ended here
	ends     []end
	nextEnd  int64
	seq      int64
	woken    chan struct{}
}

// NewFleet returns runners that aren't up yet.
func NewFleet(n int, service string, cpu, mem int, store *Store, b Bounds, rec *Record) *Fleet {
	f := &Fleet{Service: service, Guards: true, Bounds: b, store: store, rec: rec, jobs: map[string]*Job{}}
	for i := range n {
		f.Runners = append(f.Runners, &Runner{
			ID: fmt.Sprintf("i-%06x", 0x51a000+i*7), Kind: "a", Rack: fmt.Sprintf("r%d", i/8), Zone: Zones[i%len(Zones)], CPU: cpu, Mem: mem, fleet: f,
		})
	}
	return f
}

// Start begins a new life of the runner, at the address that it had, and registers it.
func (r *Runner) Start() error {
	addr := r.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.Addr, r.listener = l.Addr().String(), l
	r.up, r.draining, r.life, r.born = true, false, r.life+1, time.Now()
	r.fence, r.until, r.runs, r.refused, r.ends, r.nextEnd, r.seq = 0, 0, nil, map[string]int64{}, nil, 1, 0
	r.woken = make(chan struct{})
	life := r.life
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, life) })}
	server := r.server
	r.mu.Unlock()
	r.fleet.rec.Note("runner %s up, life %d, kind %s", r.ID, life, r.Kind)
	go func() { _ = server.Serve(l) }()
	go r.work(life)
	go r.beat(life)
	return nil
}

// Restart begins a new life as another kind.
func (r *Runner) Restart(kind string) error {
	r.mu.Lock()
	r.Kind = kind
	r.mu.Unlock()
	return r.Start()
}

// Crash ends the present life: what runs is gone, connections are reset.
func (r *Runner) Crash() {
	r.mu.Lock()
	r.up = false
	server := r.server
	lost := len(r.runs)
	for _, x := range r.runs {
		if r.fleet.OnCrash != nil {
			r.fleet.OnCrash(r, x.task, x.number)
		}
	}
	r.mu.Unlock()
	_ = server.Close() // its connections are to break
	r.fleet.rec.Note("runner %s crashes with %d runs", r.ID, lost)
}

// alive reports whether a life of the runner goes on. The caller holds r.mu.
func (r *Runner) alive(life int) bool { return r.up && r.life == life }

// Life returns the number of the present life and whether the runner is up.
func (r *Runner) Life() (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life, r.up
}

// beat writes the runner's entry while its life goes on, and removes it after three intervals of silence.
func (r *Runner) beat(life int) {
	for {
		r.mu.Lock()
		if !r.alive(life) {
			r.mu.Unlock()
			break
		}
		if r.dark {
			silent := time.Since(r.darkAt) > 3*heartbeat
			r.mu.Unlock()
			if silent {
				r.fleet.store.Delete("servers/" + r.ID)
			}
			time.Sleep(tick)
			continue
		}
		state := "ready"
		if r.draining {
			state = "draining"
		}
		r.seq++
		entry := map[string]any{
			"service": r.fleet.Service, "address": r.Addr, "zone": r.Zone, "version": "1", "slots": 8, "state": state, "coldRemainingMs": 0, "seq": r.seq,
			"born": r.born.UnixMilli(), "labels": []string{r.Kind, r.Rack}, "capacity": map[string]int{"cpu": r.CPU, "memMb": r.Mem, "gpu": 0},
		}
		r.mu.Unlock()
		time.Sleep(storeLatency)
		r.fleet.store.Set("servers/"+r.ID, entry)
		time.Sleep(heartbeat)
	}
	time.Sleep(2 * heartbeat)
	r.mu.Lock()
	gone := r.life == life
	r.mu.Unlock()
	if gone {
		r.fleet.store.Delete("servers/" + r.ID)
		r.fleet.rec.Note("entry of %s removed", r.ID)
	}
}

// clock returns the runner's steady clock.
func (r *Runner) clock() time.Duration { return time.Since(r.born) }

// work lets the runs of a life work.
func (r *Runner) work(life int) {
	last := time.Now()
	for {
		time.Sleep(tick)
		now := time.Now()
		r.mu.Lock()
		if !r.alive(life) {
			r.mu.Unlock()
			return
		}
		if r.clock() > r.until {
			for i := range r.ends {
				r.ends[i].void = true
			}
		}
		for _, x := range append([]*run(nil), r.runs...) {
			if !x.step.Gang {
				x.done += now.Sub(last) * time.Duration(x.percent) / 100
			}
			switch {
			case !x.stopAt.IsZero() && now.After(x.stopAt):
				r.end(x, "stopped")
			case r.clock() > r.until:
				r.end(x, "lapsed")
			case x.failWhen > 0 && x.done >= x.failWhen:
				r.end(x, "failed")
			case !x.lasts && !x.step.Gang && x.done >= time.Duration(x.step.TaskMs)*time.Millisecond:
				r.end(x, "done")
			}
		}
		last = now
		r.mu.Unlock()
	}
}

// end ends a run. The caller holds r.mu.
func (r *Runner) end(x *run, how string) {
	for i, y := range r.runs {
		if y == x {
			r.runs = append(r.runs[:i:i], r.runs[i+1:]...)
			break
		}
	}
	r.refused[x.task] = max(r.refused[x.task], x.number)
	r.ends = append(r.ends, end{n: r.nextEnd, task: x.task, run: x.number, how: how, saved: x.saved})
	r.nextEnd++
	close(r.woken)
	r.woken = make(chan struct{})
	r.fleet.rec.Note("end %s run %d on %s: %s", x.task, x.number, r.ID, how)
	if r.fleet.OnEnd != nil {
		r.fleet.OnEnd(r, x.task, x.number, how)
	}
}

// order is the body of a call to a runner.
type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

// SetDark cuts the runner off, or ends that.
func (r *Runner) SetDark(dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dark, r.darkAt = dark, time.Now()
	r.fleet.rec.Note("runner %s dark %v", r.ID, dark)
}

// isDark reports whether the runner is cut off.
func (r *Runner) isDark() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dark
}

// serve serves one call to a life of the runner.
func (r *Runner) serve(w http.ResponseWriter, q *http.Request, life int) {
	if r.isDark() {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	var in order
	if json.NewDecoder(q.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := q.Header.Get("Expected-Instance"); want != "" && want != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if gate := r.fleet.OrderGate; gate != nil && q.URL.Path != "/hold" {
		if late := gate(r, q.URL.Path, in.Task); late > 0 {
			r.fleet.rec.Note("order %s %s run %d to %s is held back for %s", q.URL.Path, in.Task, in.Run, r.ID, late)
			go func() {
				time.Sleep(late)
				r.mu.Lock()
				defer r.mu.Unlock()
				if r.up {
					code, reason := r.carryOut(q.URL.Path, in)
					r.fleet.rec.Note("late order %s %s run %d at %s: %d %s", q.URL.Path, in.Task, in.Run, r.ID, code, reason)
				}
			}()
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	if q.URL.Path == "/hold" {
		r.hold(w, q, in, life)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.alive(life) {
		panic(http.ErrAbortHandler)
	}
	code, reason := r.carryOut(q.URL.Path, in)
	r.answer(w, code, reason)
}

// answer answers an order. The caller holds r.mu.
func (r *Runner) answer(w http.ResponseWriter, code int, reason string) {
	body := map[string]any{"clockMs": r.clock().Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	reply(w, code, body)
}

// extend takes over the end of a lease. The caller holds r.mu.
func (r *Runner) extend(untilMs int64) {
	most := r.clock() + time.Duration(r.fleet.Bounds.HoldMaxMs)*time.Millisecond
	r.until = max(r.until, min(time.Duration(untilMs)*time.Millisecond, most))
}

// carryOut carries out an order and returns the status and the reason. The caller holds r.mu.
func (r *Runner) carryOut(path string, in order) (int, string) {
	if in.FencingToken < r.fence {
		return http.StatusConflict, "fence"
	}
	r.fence = in.FencingToken
	var x *run
	for _, y := range r.runs {
		if y.task == in.Task && y.number == in.Run {
			x = y
		}
	}
	switch path {
	case "/run-start":
		return r.start(in, x)
	case "/run-stop":
		r.refused[in.Task] = max(r.refused[in.Task], in.Run)
		if x != nil && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(time.Duration(r.fleet.Bounds.StopTimeoutMs) * time.Millisecond / 2)
		}
		r.fleet.rec.Note("stop %s run %d on %s", in.Task, in.Run, r.ID)
		return http.StatusOK, ""
	case "/pace":
		if x != nil {
			x.percent = in.Percent
		}
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// start begins a run. The caller holds r.mu.
func (r *Runner) start(in order, x *run) (int, string) {
	if x != nil {
		r.extend(in.UntilMs)
		return http.StatusOK, ""
	}
	if in.Run <= r.refused[in.Task] {
		r.extend(in.UntilMs)
		return http.StatusConflict, "old"
	}
	if time.Duration(in.UntilMs)*time.Millisecond <= r.clock() {
		return http.StatusConflict, "late"
	}
	j, step, ok := r.fleet.find(in.Task)
	if !ok {
		r.fleet.rec.Broken("UNASKED: %s run %d is started on %s, and no client sent it", in.Task, in.Run, r.ID)
		return http.StatusBadRequest, ""
	}
	r.extend(in.UntilMs)
	if r.fleet.Guards {
		cpu, mem := r.used()
		if !step.Fills && cpu+step.CPU > r.CPU || mem+step.MemMb > r.Mem {
			return http.StatusConflict, "room"
		}
	}
	if cpu, mem := r.used(); !r.fleet.Guards && (!step.Fills && cpu+step.CPU > r.CPU || mem+step.MemMb > r.Mem) {
		r.fleet.rec.Broken("LIMIT: %s run %d of %d millicores is started on %s, on which %d of %d are taken", in.Task, in.Run, step.CPU, r.ID, cpu, r.CPU)
	}
	x = &run{task: in.Task, number: in.Run, step: step, percent: 100, lasts: step.LongRunning, began: time.Now(), from: in.Checkpoint, saved: in.Checkpoint}
	if r.fleet.FailAfter != nil {
		x.failWhen = r.fleet.FailAfter(in.Task, in.Run)
	}
	r.runs = append(r.runs, x)
	r.fleet.rec.Note("begin %s run %d on %s life %d kind %s checkpoint %q", in.Task, in.Run, r.ID, r.life, r.Kind, in.Checkpoint)
	if r.fleet.OnStart != nil {
		r.fleet.OnStart(r, in.Task, in.Run, j, step)
	}
	return http.StatusOK, ""
}

// used returns what the runs take. The caller holds r.mu.
func (r *Runner) used() (cpu, mem int) {
	for _, x := range r.runs {
		if !x.step.Fills {
			cpu += x.step.CPU
		}
		mem += x.step.MemMb
	}
	return cpu, mem
}

// find returns the job and the step of a task, ID.K.STEP.INDEX.
func (f *Fleet) find(task string) (*Job, Step, bool) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return nil, Step{}, false
	}
	j := f.job(p[0])
	step, err1 := strconv.Atoi(p[2])
	index, err2 := strconv.Atoi(p[3])
	if j == nil || err1 != nil || err2 != nil || step >= len(j.JobSteps) || index >= j.JobSteps[step].Count {
		return nil, Step{}, false
	}
	return j, j.JobSteps[step], true
}

// hold serves a poll.
func (r *Runner) hold(w http.ResponseWriter, q *http.Request, in order, life int) {
	r.mu.Lock()
	if !r.alive(life) {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if in.FencingToken < r.fence {
		r.answer(w, http.StatusConflict, "fence")
		r.mu.Unlock()
		return
	}
	r.fence = in.FencingToken
	if in.UntilMs > 0 {
		r.extend(in.UntilMs)
	}
	for len(r.ends) > 0 && r.ends[0].n <= in.LastSeen {
		if r.fleet.OnNoted != nil && !r.ends[0].void {
			r.fleet.OnNoted(r, r.ends[0].task, r.ends[0].run, r.ends[0].how)
		}
		r.ends = r.ends[1:]
	}
	if len(r.ends) == 0 && in.WaitMs > 0 {
		woken := r.woken
		r.mu.Unlock()
		t := time.NewTimer(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond)
		select {
		case <-woken:
		case <-t.C:
		case <-q.Context().Done():
		}
		t.Stop()
		r.mu.Lock()
		if !r.alive(life) || r.dark {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range r.runs {
		percent := 100
		if !x.lasts {
			percent = min(99, int(x.done*100/max(1, time.Duration(x.step.TaskMs)*time.Millisecond)))
		}
		figure := x.step.CPU * x.percent / 100
		if x.step.TargetMs > 0 {
			figure = int(x.step.TargetMs) / 4 // well below the target
		}
		running = append(running, []any{x.task, x.number, x.saved, percent, figure})
	}
	for _, e := range r.ends[:min(500, len(r.ends))] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	body := map[string]any{"born": r.born.UnixMilli(), "clockMs": r.clock().Milliseconds(), "running": running, "finished": finished}
	r.mu.Unlock()
	reply(w, http.StatusOK, body)
}

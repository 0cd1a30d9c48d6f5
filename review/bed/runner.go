package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 6 * time.Second // longest lease
	maxWait           = 2 * time.Second // longest wait of a hold
	maxListedEnds     = 500
	earlySlack        = 250 * time.Millisecond
	gangTimeout       = 3 * time.Second
	stopTime          = 50 * time.Millisecond // of a run; stopTimeoutMs allows 400 ms
)

// runner stands in for a runner of the platform, at one address over all its lives.
type runner struct {
	id       string
	addr     string
	zone     string
	rack     string
	kind     string
	capacity int // thousandths of a core
	memory   int
	store    *kvStore
	ledger   *ledger

	// Share of orders that get no answer and are carried out late, and the delay.
	cut                bool // no call reaches the runner, nor does it reach the store
	lateShare          float64
	lateFrom, lateUpTo time.Duration

	mu     sync.Mutex
	life   *life
	seq    int
	server *http.Server
}

// life is one incarnation of a runner.
type life struct {
	runner  *runner
	born    time.Time
	up      bool
	fence   int64
	until   time.Duration // end of the lease on its clock
	runs    map[string]*activeRun
	newest  map[string]int64 // highest run stopped or ended, by task
	ends    []*finishedRun
	lastEnd int64
	changed chan struct{}
}

// activeRun is a run that works.
type activeRun struct {
	record *runRecord
	step   *jobStep
	timer  *time.Timer
	stop   bool // being stopped
}

// finishedRun is an end that isn't taken note of.
type finishedRun struct {
	n      int64
	record *runRecord
	stale  bool // the lease has lapsed since
}

// start begins a life and serves it.
func (r *runner) start() {
	l, err := net.Listen("tcp", r.addr)
	for i := 0; err != nil && i < 50; i++ {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp", r.addr)
	}
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	if r.addr == "127.0.0.1:0" {
		r.addr = l.Addr().String()
	}
	f := &life{runner: r, born: time.Now(), up: true, runs: map[string]*activeRun{}, newest: map[string]int64{}, changed: make(chan struct{})}
	r.life = f
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", r.id) })
	mux.HandleFunc("POST /hold", func(w http.ResponseWriter, q *http.Request) { r.serveHold(w, q, f) })
	for _, path := range []string{"/run-start", "/run-stop", "/pace"} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, q *http.Request) { r.serveOrder(w, q, f, path) })
	}
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.isCut() {
			<-q.Context().Done()
			return
		}
		mux.ServeHTTP(w, q)
	})}
	server := r.server
	r.mu.Unlock()
	r.ledger.note("runner %s begins a life at %s, born %d", r.id, r.addr, f.born.UnixMilli())
	go func() { _ = server.Serve(l) }()
	go r.heartbeats(f)
	go r.watchLease(f)
}

// crash ends the life: its runs end, its connections are reset.
func (r *runner) crash() {
	r.mu.Lock()
	f := r.life
	f.up = false
	for _, a := range f.runs {
		a.timer.Stop()
		r.ledger.ended(a.record, "lost")
		if a.step.Gang {
			r.ledger.breakGang(a)
		}
	}
	f.runs = nil
	server := r.server
	r.mu.Unlock()
	r.ledger.note("runner %s crashes; ends not taken note of: %d, number of its last end: %d", r.id, len(f.ends), f.lastEnd)
	_ = server.Close()
}

// heartbeats writes the runner's entry until the life ends.
func (r *runner) heartbeats(f *life) {
	for {
		r.mu.Lock()
		up := f.up
		r.seq++
		entry := map[string]any{
			"service": serviceName, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"seq": r.seq, "born": f.born.UnixMilli(), "labels": []string{r.kind, r.rack},
			"capacity": map[string]int{"cpu": r.capacity, "memMb": r.memory, "gpu": 0},
		}
		r.mu.Unlock()
		if !up {
			return
		}
		if r.isCut() || !r.store.put("servers/"+r.id, entry, true) {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeatInterval)
	}
}

// isCut reports whether the runner is cut off.
func (r *runner) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// clock returns the time on the life's steady clock.
func (f *life) clock() time.Duration { return time.Since(f.born) }

// watchLease ends all runs when the lease has lapsed.
func (r *runner) watchLease(f *life) {
	for {
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		if !f.up {
			r.mu.Unlock()
			return
		}
		if f.clock() > f.until {
			for _, e := range f.ends {
				e.stale = true
			}
			for _, a := range f.runs {
				f.end(a, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// end ends a run and lists it. The caller holds r.mu.
func (f *life) end(a *activeRun, how string) {
	a.timer.Stop()
	delete(f.runs, a.record.task)
	f.newest[a.record.task] = max(f.newest[a.record.task], a.record.run)
	f.lastEnd++
	f.ends = append(f.ends, &finishedRun{n: f.lastEnd, record: a.record})
	f.runner.ledger.ended(a.record, how)
	if a.step.Gang && how != "done" {
		f.runner.ledger.breakGang(a)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// extend takes an untilMs. The caller holds r.mu.
func (f *life) extend(untilMs int64) {
	f.until = max(f.until, min(time.Duration(untilMs)*time.Millisecond, f.clock()+maxHold))
}

// serveHold serves a hold.
func (r *runner) serveHold(w http.ResponseWriter, q *http.Request, f *life) {
	var in struct {
		UntilMs      int64 `json:"untilMs"`
		FencingToken int64 `json:"fencingToken"`
		LastSeen     int64 `json:"lastSeen"`
		WaitMs       int64 `json:"waitMs"`
	}
	if json.NewDecoder(q.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := q.Header.Get("Expected-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if in.FencingToken < f.fence {
		clock := f.clock().Milliseconds()
		r.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return
	}
	f.fence = in.FencingToken
	f.extend(in.UntilMs)
	var left []*finishedRun
	for _, e := range f.ends {
		if e.n > in.LastSeen {
			left = append(left, e)
		} else if !e.stale {
			r.ledger.takenNote(e.record, in.LastSeen)
		}
	}
	f.ends = left
	end := time.Now().Add(min(time.Duration(in.WaitMs)*time.Millisecond, maxWait))
	for (len(f.ends) == 0 || r.cut) && time.Now().Before(end) && f.up {
		changed := f.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, a := range f.runs {
		percent := 100
		if !a.step.LongRunning {
			percent = int(100 * time.Since(a.record.began).Milliseconds() / max(1, a.step.EstimateMs))
		}
		running = append(running, []any{a.record.task, a.record.run, "", min(percent, 100), a.step.CPU})
	}
	for _, e := range f.ends[:min(len(f.ends), maxListedEnds)] {
		finished = append(finished, []any{e.n, e.record.task, e.record.run, e.record.how, ""})
	}
	if r.cut {
		r.mu.Unlock()
		<-q.Context().Done()
		return
	}
	body := map[string]any{"born": f.born.UnixMilli(), "clockMs": f.clock().Milliseconds(), "running": running, "finished": finished}
	r.mu.Unlock()
	answer(w, http.StatusOK, body)
}

// order is the body of an order.
type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	Percent      int    `json:"percent"`
}

// serveOrder serves a start, a stop or a pace. A share of the orders gets no answer and is carried out late, by the life that
// is up then.
func (r *runner) serveOrder(w http.ResponseWriter, q *http.Request, f *life, path string) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := q.Header.Get("Expected-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	late := rand.Float64() < r.lateShare
	delay := r.lateFrom + time.Duration(rand.Int64N(int64(r.lateUpTo-r.lateFrom)+1))
	r.mu.Unlock()
	if late {
		r.ledger.note("order  %s %s %d on %s gets no answer, is carried out in %.1f s", path, o.Task, o.Run, r.id, delay.Seconds())
		time.AfterFunc(delay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.life.up {
				code, reason := r.life.carryOut(path, o, delay)
				r.ledger.note("order  %s %s %d on %s is carried out late: %d %s", path, o.Task, o.Run, r.id, code, reason)
			}
		})
		<-q.Context().Done()
		return
	}
	r.mu.Lock()
	if !f.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	code, reason := f.carryOut(path, o, 0)
	body := map[string]any{"clockMs": f.clock().Milliseconds()}
	r.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
	}
	answer(w, code, body)
}

// carryOut carries out an order and returns the status and the reason of a refusal. The caller holds r.mu.
func (f *life) carryOut(path string, o order, late time.Duration) (int, string) {
	if o.FencingToken < f.fence {
		return http.StatusConflict, "fence"
	}
	f.fence = o.FencingToken
	a := f.runs[o.Task]
	switch path {
	case "/run-stop":
		f.newest[o.Task] = max(f.newest[o.Task], o.Run)
		if a != nil && a.record.run <= o.Run && !a.stop {
			a.stop = true
			time.AfterFunc(stopTime, func() {
				f.runner.mu.Lock()
				defer f.runner.mu.Unlock()
				if f.up && f.runs[o.Task] == a {
					f.end(a, "stopped")
				}
			})
		}
		return http.StatusOK, ""
	case "/pace":
		return http.StatusOK, ""
	}
	switch {
	case a != nil && a.record.run == o.Run:
		return http.StatusOK, ""
	case o.Run <= f.newest[o.Task] || a != nil && o.Run < a.record.run:
		f.extend(o.UntilMs)
		return http.StatusConflict, "old"
	case time.Duration(o.UntilMs)*time.Millisecond <= f.clock():
		return http.StatusConflict, "late"
	}
	j, step := f.runner.ledger.stepOf(o.Task)
	if step == nil || j.body.Spec != o.Spec {
		f.runner.ledger.fail("UNASKED: %s run %d on %s is of no client's job", o.Task, o.Run, f.runner.id)
		return http.StatusBadRequest, ""
	}
	cpu, mem := step.CPU, step.MemMb
	for _, b := range f.runs {
		cpu += b.step.CPU
		mem += b.step.MemMb
	}
	f.extend(o.UntilMs)
	if cpu > f.runner.capacity || mem > f.runner.memory || a != nil {
		return http.StatusConflict, "room"
	}
	rec := &runRecord{task: o.Task, run: o.Run, runner: f.runner.id, born: f.born.UnixMilli(), late: late > 0, orderAge: late}
	run := &activeRun{record: rec, step: step}
	if early := f.runner.ledger.dueIn(j, o.Task); early > earlySlack {
		f.runner.ledger.fail("ORDER: %s run %d begins %.3f s before its time", o.Task, o.Run, early.Seconds())
	}
	f.runner.ledger.began(rec)
	f.runs[o.Task] = run
	d := time.Duration(step.EstimateMs) * time.Millisecond
	if step.LongRunning {
		d = time.Hour
	}
	if step.Gang {
		run.timer = time.AfterFunc(gangTimeout, func() { f.endIfPresent(run, "alone") })
		f.runner.ledger.joinGang(f, run, d)
		return http.StatusOK, ""
	}
	run.timer = time.AfterFunc(d, func() { f.endIfPresent(run, "done") })
	return http.StatusOK, ""
}

// endIfPresent ends a run that still works.
func (f *life) endIfPresent(a *activeRun, how string) {
	f.runner.mu.Lock()
	defer f.runner.mu.Unlock()
	if f.up && f.runs[a.record.task] == a {
		f.end(a, how)
	}
}

// String names the runner in the record.
func (r *runner) String() string { return fmt.Sprintf("%s at %s", r.id, r.addr) }

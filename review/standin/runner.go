package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// What the pages say of runners.
const (
	maxEnds    = 500              // ends in an answer
	holdMax    = 10 * time.Second // holdMaxMs
	leaseCheck = 10 * time.Millisecond
)

// runner is a stand-in of a runner. It does what the pages say of one, and behaves soundly where they are silent.
type runner struct {
	id, zone, rack string
	number         int
	zones          []string // of the hosts, by number
	net            *network
	store          *platformStore
	ledger         *ledger
	rec            *record
	taskTime       func(task string) time.Duration // how long a task works; 0: until it is stopped

	mu         sync.Mutex
	born       int64     // its start, in Unix milliseconds
	clockZero  time.Time // when its clock showed 0
	fence      int64
	leaseUntil time.Duration // on its clock
	runs       map[string]*run
	newest     map[string]int64 // highest run started or stopped, by task
	finished   []finishedRun    // not yet taken note of
	lastEnd    int64            // number of the last end
	changed    chan struct{}    // closed at the next end
	seq        int              // of the entry in the directory
	holder     int              // the host that called last
}

// run is a run at work.
type run struct {
	task   string
	number int64
	entry  *ledgerRun
	length time.Duration
	timer  *time.Timer
}

// finishedRun is the end of a run.
type finishedRun struct {
	number int64
	task   string
	run    int64
	how    string
	entry  *ledgerRun
}

// callBody has the fields of all calls of a runner.
type callBody struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// start begins the life of the runner and serves it to all hosts.
func (r *runner) start() error {
	r.begin()
	for j := 1; j < len(r.zones); j++ {
		l, err := net.Listen("tcp", r.net.runnerView(j, r.number))
		if err != nil {
			return err
		}
		go func() {
			_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.handle(w, req, j) }))
		}()
	}
	go r.beat()
	go r.watchLease()
	return nil
}

// begin begins the runner's life.
func (r *runner) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.born, r.clockZero = now.UnixMilli(), now
	r.runs, r.newest = map[string]*run{}, map[string]int64{}
	r.changed = make(chan struct{})
	r.writeEntry()
	r.rec.add("runner %s: starts, born %d", r.id, r.born)
}

// beat writes the runner's entry in each heartbeat interval.
func (r *runner) beat() {
	for range time.Tick(heartbeat) {
		r.mu.Lock()
		r.writeEntry()
		r.mu.Unlock()
	}
}

// writeEntry writes the runner's entry in the directory. The caller holds r.mu.
func (r *runner) writeEntry() {
	r.seq++
	entry, err := json.Marshal(map[string]any{
		"service": serviceName, "address": r.net.runnerAddr(r.number), "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int{"cpu": 64000, "memMb": 256000, "gpu": 0}, "labels": []string{"a", r.rack},
		"clockMs": r.clock().Milliseconds(), "seq": r.seq, "born": r.born,
	})
	if err == nil {
		r.store.writeEntry(r.zone, "servers/"+r.id, entry)
	}
}

// clock returns the time on the runner's clock.
func (r *runner) clock() time.Duration { return time.Since(r.clockZero) }

// watchLease ends everything that runs when the lease has expired.
func (r *runner) watchLease() {
	lapsed := false
	for range time.Tick(leaseCheck) {
		r.mu.Lock()
		if over := r.clock() > r.leaseUntil; over && !lapsed {
			for _, run := range r.sortedRuns() {
				r.finish(run, "lapsed")
			}
			for _, f := range r.finished {
				r.ledger.lapse(f.entry)
			}
			lapsed = true
		} else {
			lapsed = over
		}
		r.mu.Unlock()
	}
}

// sortedRuns returns the runs at work by task. The caller holds r.mu.
func (r *runner) sortedRuns() []*run {
	var all []*run
	for _, run := range r.runs {
		all = append(all, run)
	}
	slices.SortFunc(all, func(a, b *run) int { return strings.Compare(a.task, b.task) })
	return all
}

// finish ends a run. The caller holds r.mu.
func (r *runner) finish(run *run, how string) {
	run.timer.Stop()
	delete(r.runs, run.task)
	r.lastEnd++
	r.finished = append(r.finished, finishedRun{r.lastEnd, run.task, run.number, how, run.entry})
	r.ledger.end(run.entry, how)
	r.rec.add("runner %s: %s run %d ends %s", r.id, run.task, run.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// reached reports whether host j and the runner reach each other.
func (r *runner) reached(j int) bool {
	ok, _ := r.net.reaches(r.zones[j], r.zone)
	return ok
}

// handle serves a call of host j. A call that doesn't arrive, or whose answer doesn't, gets none.
func (r *runner) handle(w http.ResponseWriter, req *http.Request, j int) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	silent := func() {
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !r.reached(j) {
		silent()
	}
	if want := req.Header.Get("Expected-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var in callBody
	if json.Unmarshal(raw, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	changed := r.changed
	r.mu.Unlock()
	if req.URL.Path == "/hold" {
		code, answer := r.carryOut("/hold", in, j)
		if code == http.StatusOK && in.WaitMs > 0 && len(answer["finished"].([][]any)) == 0 {
			t := time.NewTimer(time.Duration(in.WaitMs) * time.Millisecond)
			select {
			case <-changed:
			case <-t.C:
			case <-req.Context().Done():
			}
			t.Stop()
			in.UntilMs = 0
			code, answer = r.carryOut("/hold", in, j)
		}
		if !r.reached(j) {
			silent()
		}
		writeJSON(w, code, answer)
		return
	}
	code, answer := r.carryOut(req.URL.Path, in, j)
	if !r.reached(j) {
		silent()
	}
	r.rec.add("runner %s: host %d %s %s: %d %v", r.id, j, req.URL.Path, raw, code, answer)
	writeJSON(w, code, answer)
}

// writeJSON writes an answer.
func writeJSON(w http.ResponseWriter, code int, answer map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(answer)
}

// carryOut carries out a call and returns its answer.
func (r *runner) carryOut(path string, in callBody, j int) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.born}
	refuse := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	if in.FencingToken < r.fence {
		return refuse("fence")
	}
	r.fence, r.holder = in.FencingToken, j
	switch path {
	case "/hold":
		r.renew(in.UntilMs)
		r.takeNote(in.LastSeen)
		r.list(answer)
	case "/run-start":
		if run := r.runs[in.Task]; run != nil && run.number == in.Run {
			r.renew(in.UntilMs)
			return http.StatusOK, answer
		}
		if in.Run <= r.newest[in.Task] {
			r.renew(in.UntilMs)
			return refuse("old")
		}
		if time.Duration(in.UntilMs)*time.Millisecond <= r.clock() {
			return refuse("late")
		}
		r.renew(in.UntilMs)
		r.begins(in, j)
	case "/run-stop":
		r.newest[in.Task] = max(r.newest[in.Task], in.Run)
		if run := r.runs[in.Task]; run != nil && run.number <= in.Run {
			r.finish(run, "stopped")
		}
	case "/pace":
	default:
		return http.StatusNotFound, answer
	}
	return http.StatusOK, answer
}

// renew extends the lease, which is at most holdMax long. The caller holds r.mu.
func (r *runner) renew(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, r.clock()+holdMax)
	r.leaseUntil = max(r.leaseUntil, until)
}

// takeNote forgets the ends up to a number. The caller holds r.mu.
func (r *runner) takeNote(lastSeen int64) {
	for len(r.finished) > 0 && r.finished[0].number <= lastSeen {
		f := r.finished[0]
		r.ledger.note(f.entry)
		r.rec.add("runner %s: the end of %s run %d (%s) is taken note of", r.id, f.task, f.run, f.how)
		r.finished = r.finished[1:]
	}
}

// list adds what runs and what has ended to an answer. The caller holds r.mu.
func (r *runner) list(answer map[string]any) {
	running := [][]any{}
	for _, run := range r.sortedRuns() {
		percent := 100
		if run.length > 0 {
			percent = int(100 * time.Since(run.entry.start) / run.length)
		}
		running = append(running, []any{run.task, run.number, "", percent, 1000})
	}
	finished := [][]any{}
	for _, f := range r.finished[:min(len(r.finished), maxEnds)] {
		finished = append(finished, []any{f.number, f.task, f.run, f.how, ""})
	}
	answer["running"], answer["finished"] = running, finished
}

// begins begins a run. The caller holds r.mu.
func (r *runner) begins(in callBody, j int) {
	r.newest[in.Task] = in.Run
	length := r.taskTime(in.Task)
	x := &run{task: in.Task, number: in.Run, entry: r.ledger.start(in.Task, in.Run, r.id, j, in.FencingToken), length: length}
	due := length
	if due == 0 {
		due = time.Hour // until it is stopped
	}
	x.timer = time.AfterFunc(due, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs[x.task] == x {
			r.finish(x, "done")
		}
	})
	r.runs[in.Task] = x
	r.rec.add("runner %s: begins %s run %d by host %d with token %d", r.id, in.Task, in.Run, j, in.FencingToken)
}

// newRunner returns runner k in a zone, with a rack for each zone.
func newRunner(k int, zone string, d *deployment) *runner {
	return &runner{
		id: fmt.Sprintf("i-%010x", 0x1c002de080+int64(k)), zone: zone, rack: "r-" + zone, number: k, zones: d.zones, net: d.net,
		store: d.store, ledger: d.ledger, rec: d.rec, taskTime: d.taskTime,
	}
}

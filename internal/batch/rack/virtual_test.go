package rack

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"bramleysail.example/bramleysail/internal/fake/event"
	fakeworker "bramleysail.example/bramleysail/internal/fake/worker"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// world runs the real cores of racks and of one bucket over stand-in workers in
// virtual time. Messages are delayed, lost, or held back for as long as a paused
// process would; holders die and others follow with a higher epoch.
type world struct {
	event.Queue
	begin   time.Time
	rand    *rand.Rand
	mess    bool // faults happen
	workers map[string]*fakeworker.Worker
	cut     map[string]bool // workers that nobody reaches
	racks   map[string]*holding
	bucket  *bucketHolding
	stored  []byte // the bucket's record, with its revision
	rev     int
	out     map[string]time.Time // failure domains that are out, since when
	fault   string               // the first promise that was broken
	finals  map[string]jobs.State
	refused map[wire.Refusal]int
}

type holding struct {
	core   *Core
	rack   string
	ep     uint64
	dead   bool
	offers int
}

type bucketHolding struct {
	core    *jobs.Core
	ep      uint64
	rev     int
	dead    bool
	writing bool
}

const (
	leaseOf = 6 * time.Second
	freshOf = 3 * time.Second
	step    = 200 * time.Millisecond
	racks   = 2
	perRack = 2
)

var workerSize = wire.Size{CPU: 4000, Mem: 8000, Accel: 1}

func newWorld(seed uint64) *world {
	w := &world{
		Queue: event.New(time.Unix(1000, 0)), begin: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 3)),
		workers: map[string]*fakeworker.Worker{}, cut: map[string]bool{}, racks: map[string]*holding{},
		out: map[string]time.Time{}, finals: map[string]jobs.State{}, refused: map[wire.Refusal]int{},
	}
	clock := func() wire.WorkerTime { return wire.WorkerTime(w.Now().Sub(w.begin)) }
	for r := range racks {
		for i := range perRack {
			w.workers[fmt.Sprintf("r%d/w%d", r, i)] = fakeworker.NewAt(workerSize, 300*time.Millisecond, clock)
		}
		w.hold(fmt.Sprintf("r%d", r), 1)
	}
	w.holdBucket(1)
	return w
}

// run lets a span of time pass, or ends it at the first broken promise.
func (w *world) run(d time.Duration) {
	until := w.Now().Add(d)
	for w.fault == "" && w.RunNext(until) {
		w.check()
	}
	w.RunUntil(until)
}

// delay is how long a message takes; ok is false when it's lost.
func (w *world) delay() (d time.Duration, ok bool) {
	d = time.Duration(1+w.rand.IntN(20)) * time.Millisecond
	if !w.mess {
		return d, true
	}
	switch n := w.rand.IntN(100); {
	case n < 4:
		return 0, false
	case n < 7:
		// The sender or the network stands still with the message decided but not delivered.
		return time.Duration(w.rand.IntN(15000)) * time.Millisecond, true
	}
	return d, true
}

const patience = 500 * time.Millisecond

// call delivers a request and its answer; lost runs when none came in time.
func (w *world) call(request func(), answered, lost func()) {
	there, ok := w.delay()
	back, ok2 := w.delay()
	if ok {
		w.AfterFunc(there, request)
	}
	if ok && ok2 && there+back < patience {
		w.AfterFunc(there+back, answered)
		return
	}
	w.AfterFunc(patience, lost)
}

// hold gives a rack to a new holder.
func (w *world) hold(rack string, ep uint64) {
	h := &holding{rack: rack, ep: ep, core: New(w.Now(), Options{Rack: rack, Zone: "z" + rack, Ep: ep, Lease: leaseOf, Fresh: freshOf,
		Bucket: func(string) string { return "b" }})}
	w.racks[rack] = h
	var tick func()
	tick = func() {
		if h.dead {
			return
		}
		w.tick(h)
		w.AfterFunc(step, tick)
	}
	w.AfterFunc(step, tick)
	var sync func()
	sync = func() {
		if h.dead {
			return
		}
		w.sync(h, sync)
	}
	w.AfterFunc(step, sync)
}

func (w *world) tick(h *holding) {
	var addrs []string
	for i := range perRack {
		addrs = append(addrs, fmt.Sprintf("%s/w%d", h.rack, i))
	}
	h.core.SetWorkers(addrs)
	_, out := w.out[h.core.Zone()]
	for _, a := range h.core.Tick(w.Now(), Config{Usable: !out, Confirmed: w.Now()}) {
		w.do(h, a)
	}
	for _, a := range addrs {
		if !w.cut[a] {
			h.core.Reported(a, w.workers[a].Report())
		}
	}
}

func (w *world) do(h *holding, a Action) {
	switch a := a.(type) {
	case Fence:
		w.command(h, a.Addr, func(k *fakeworker.Worker) (wire.Report, wire.Refusal) { return k.Fence(a.Msg) },
			func(res Result) { h.core.Fenced(w.Now(), a.Addr, res) })
	case Renew:
		w.command(h, a.Addr, func(k *fakeworker.Worker) (wire.Report, wire.Refusal) { return k.Renew(a.Msg) },
			func(res Result) { h.core.Renewed(w.Now(), a.Addr, res) })
	case Start:
		w.command(h, a.Addr, func(k *fakeworker.Worker) (wire.Report, wire.Refusal) {
			before := k.Starts(a.Msg.Task.ID)
			rep, no := k.Start(a.Msg)
			if k.Starts(a.Msg.Task.ID) > before {
				w.started(h.core.Zone(), a.Msg.Task.ID)
			}
			return rep, no
		}, func(res Result) { h.core.Started(w.Now(), a.Place, res) })
	case Act:
		w.command(h, a.Addr, func(k *fakeworker.Worker) (wire.Report, wire.Refusal) { return k.Act(a.Msg) },
			func(res Result) { h.core.Acted(w.Now(), a.Place, a.Msg.Verb, res) })
	}
}

// started checks that no task starts where operators said no.
func (w *world) started(zone, id string) {
	if since, out := w.out[zone]; out && w.Now().Sub(since) > freshOf {
		w.broken("%s started in %s, %s after it was taken out", id, zone, w.Now().Sub(since))
	}
}

func (w *world) command(h *holding, addr string, do func(*fakeworker.Worker) (wire.Report, wire.Refusal), done func(Result)) {
	res := Result{Lost: true}
	w.call(func() {
		if w.cut[addr] {
			return
		}
		rep, no := do(w.workers[addr])
		w.refused[no]++
		res = Result{Report: rep, Refusal: no}
	}, func() {
		if !h.dead {
			done(res)
		}
	}, func() {
		if !h.dead {
			done(Result{Lost: true})
		}
	})
}

// sync exchanges a rack's report for the bucket's answer, then does so again.
func (w *world) sync(h *holding, again func()) {
	h.offers++
	rep := h.core.Report("b", true)
	var a jobs.RackReply
	w.call(func() {
		if b := w.bucket; b != nil && !b.dead {
			a = b.core.HandleReport(w.Now(), rep, func(string) bool {
				_, out := w.out[rep.Zone]
				return !out
			})
		}
	}, func() {
		if !h.dead {
			h.core.Take(w.Now(), "b", a)
			w.AfterFunc(step, again)
		}
	}, func() { w.AfterFunc(step, again) })
}

// holdBucket gives the bucket to a new holder, which reads the record.
func (w *world) holdBucket(ep uint64) {
	var rec jobs.Bucket
	if w.stored != nil {
		if err := json.Unmarshal(w.stored, &rec); err != nil {
			w.broken("record: %v", err)
		}
	}
	b := &bucketHolding{core: jobs.New(rec, ep), ep: ep, rev: w.rev}
	w.bucket = b
	var commit func()
	commit = func() {
		if b.dead {
			return
		}
		w.commit(b)
		w.AfterFunc(step, commit)
	}
	w.AfterFunc(step, commit)
}

// commit writes the record; an answer that is lost is settled by reading back.
func (w *world) commit(b *bucketHolding) {
	if b.writing || !b.core.NeedsWrite() {
		return
	}
	value, err := b.core.BeginWrite(fmt.Sprint(w.Seq()))
	if err != nil {
		w.broken("record: %v", err)
		return
	}
	b.writing = true
	from := b.rev
	write := func() {
		if w.rev == from {
			w.stored, w.rev = value, w.rev+1
			w.recorded()
		}
	}
	var settle func()
	settle = func() {
		if b.dead {
			return
		}
		if string(w.stored) == string(value) {
			b.rev, b.writing = w.rev, false
			b.core.EndWrite(true)
			return
		}
		if w.rev != from {
			w.restart(b)
			return
		}
		w.call(write, settle, settle)
	}
	w.call(write, settle, settle)
}

// restart reads the record anew after another has written it.
func (w *world) restart(b *bucketHolding) {
	if w.bucket == b {
		b.dead = true
		w.holdBucket(b.ep + 1)
	}
}

// recorded checks that a final state stays.
func (w *world) recorded() {
	var rec jobs.Bucket
	if json.Unmarshal(w.stored, &rec) != nil {
		return
	}
	for id, j := range rec.Jobs {
		if old := w.finals[id]; old != "" && old != j.State {
			w.broken("job %s was %s and is %s", id, old, j.State)
		}
		if j.State != jobs.StateOpen {
			w.finals[id] = j.State
		}
	}
}

func (w *world) broken(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf("%s: ", w.Now().Sub(w.begin)) + fmt.Sprintf(format, args...)
	}
}

// check holds the promises against what the workers do now.
func (w *world) check() {
	where := map[string]string{}
	for addr, k := range w.workers {
		for _, id := range k.RunningTasks() {
			task, _, _ := strings.Cut(id, "@")
			if other, twice := where[task]; twice {
				w.broken("%s runs on %s and as %s on %s", task, other, id, addr)
			}
			where[task] = addr
		}
	}
	if n := w.refused[wire.RefusalNoCapacity]; n > 0 {
		w.broken("%d starts were refused for want of room", n)
	}
}

// accepts counts the results let out, by task.
func (w *world) accepts() map[string]int {
	sum := map[string]int{}
	for _, k := range w.workers {
		for id, n := range k.AcceptedResults() {
			task, _, _ := strings.Cut(id, "@")
			sum[task] += n
		}
	}
	return sum
}

// job returns a job as the store holds it.
func (w *world) job(id string) *jobs.Job {
	var rec jobs.Bucket
	if w.stored == nil || json.Unmarshal(w.stored, &rec) != nil {
		return nil
	}
	return rec.Jobs[id]
}

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

// simulation runs the real cores of racks and of one bucket over stand-in workers in
// virtual time. Messages are delayed, lost, or held back for as long as a paused
// process would; holders die and others follow with a higher epoch.
type simulation struct {
	event.Queue
	startTime      time.Time
	rand           *rand.Rand
	faultsEnabled  bool // faults happen
	workers        map[string]*fakeworker.Worker
	unreachable    map[string]bool // workers that nobody reaches
	rackHolders    map[string]*rackHolding
	bucketHolder   *bucketHolding
	storedRecord   []byte // the bucket's record, with its revision
	storedRev      int
	evacuatedSince map[string]time.Time // failure domains that are out, since when
	violation      string               // the first promise that was broken
	finalStates    map[string]jobs.State
	refusals       map[wire.Refusal]int
}

type rackHolding struct {
	core        *Core
	rack        string
	epoch       uint64
	dead        bool
	reportCount int
}

type bucketHolding struct {
	core          *jobs.Core
	epoch         uint64
	readRev       int
	dead          bool
	writeInFlight bool
}

const (
	testLeaseTTL     = 6 * time.Second
	testMaxConfigAge = 3 * time.Second
	stepInterval     = 200 * time.Millisecond
	rackCount        = 2
	workersPerRack   = 2
)

var workerSize = wire.Size{CPU: 4000, Mem: 8000, Accel: 1}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		Queue: event.New(time.Unix(1000, 0)), startTime: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 3)),
		workers: map[string]*fakeworker.Worker{}, unreachable: map[string]bool{}, rackHolders: map[string]*rackHolding{},
		evacuatedSince: map[string]time.Time{}, finalStates: map[string]jobs.State{}, refusals: map[wire.Refusal]int{},
	}
	clock := func() wire.WorkerTime { return wire.WorkerTime(w.Now().Sub(w.startTime)) }
	for r := range rackCount {
		for i := range workersPerRack {
			w.workers[fmt.Sprintf("r%d/w%d", r, i)] = fakeworker.NewAt(workerSize, 300*time.Millisecond, clock)
		}
		w.startRackHolder(fmt.Sprintf("r%d", r), 1)
	}
	w.startBucketHolder(1)
	return w
}

// runFor lets a span of time pass, or ends it at the first broken promise.
func (w *simulation) runFor(d time.Duration) {
	until := w.Now().Add(d)
	for w.violation == "" && w.RunNext(until) {
		w.checkRunningTasks()
	}
	w.RunUntil(until)
}

// messageDelay is how long a message takes; ok is false when it's lost.
func (w *simulation) messageDelay() (d time.Duration, ok bool) {
	d = time.Duration(1+w.rand.IntN(20)) * time.Millisecond
	if !w.faultsEnabled {
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

const callTimeout = 500 * time.Millisecond

// call delivers a request and its answer; lost runs when none came in time.
func (w *simulation) call(request func(), answered, lost func()) {
	there, ok := w.messageDelay()
	back, ok2 := w.messageDelay()
	if ok {
		w.AfterFunc(there, request)
	}
	if ok && ok2 && there+back < callTimeout {
		w.AfterFunc(there+back, answered)
		return
	}
	w.AfterFunc(callTimeout, lost)
}

// startRackHolder gives a rack to a new holder.
func (w *simulation) startRackHolder(rack string, ep uint64) {
	h := &rackHolding{rack: rack, epoch: ep, core: New(w.Now(), Options{Rack: rack, Zone: "z" + rack, Epoch: ep, LeaseTTL: testLeaseTTL, MaxConfigAge: testMaxConfigAge,
		BucketOf: func(string) string { return "b" }})}
	w.rackHolders[rack] = h
	var tick func()
	tick = func() {
		if h.dead {
			return
		}
		w.tickRack(h)
		w.AfterFunc(stepInterval, tick)
	}
	w.AfterFunc(stepInterval, tick)
	var sync func()
	sync = func() {
		if h.dead {
			return
		}
		w.exchangeReport(h, sync)
	}
	w.AfterFunc(stepInterval, sync)
}

func (w *simulation) tickRack(h *rackHolding) {
	var addrs []string
	for i := range workersPerRack {
		addrs = append(addrs, fmt.Sprintf("%s/w%d", h.rack, i))
	}
	h.core.SetWorkers(addrs)
	_, out := w.evacuatedSince[h.core.Zone()]
	for _, a := range h.core.Tick(w.Now(), ZoneStatus{Usable: !out, ConfirmedAt: w.Now()}) {
		w.execute(h, a)
	}
	for _, a := range addrs {
		if !w.unreachable[a] {
			h.core.HandleReport(a, w.workers[a].Report())
		}
	}
}

func (w *simulation) execute(h *rackHolding, a Action) {
	switch a := a.(type) {
	case Fence:
		w.sendCommand(h, a.Addr, func(k *fakeworker.Worker) (wire.Report, wire.Refusal) { return k.Fence(a.Msg) },
			func(res CommandResult) { h.core.HandleFenceResult(w.Now(), a.Addr, res) })
	case Renew:
		w.sendCommand(h, a.Addr, func(k *fakeworker.Worker) (wire.Report, wire.Refusal) { return k.Renew(a.Msg) },
			func(res CommandResult) { h.core.HandleRenewResult(w.Now(), a.Addr, res) })
	case Start:
		w.sendCommand(h, a.Addr, func(k *fakeworker.Worker) (wire.Report, wire.Refusal) {
			before := k.Starts(a.Msg.Task.ID)
			rep, no := k.Start(a.Msg)
			if k.Starts(a.Msg.Task.ID) > before {
				w.checkStart(h.core.Zone(), a.Msg.Task.ID)
			}
			return rep, no
		}, func(res CommandResult) { h.core.HandleStartResult(w.Now(), a.Placement, res) })
	case TaskCommand:
		w.sendCommand(h, a.Addr, func(k *fakeworker.Worker) (wire.Report, wire.Refusal) { return k.Act(a.Msg) },
			func(res CommandResult) { h.core.HandleTaskCommandResult(w.Now(), a.Placement, a.Msg.Verb, res) })
	}
}

// checkStart checks that no task starts where operators said no.
func (w *simulation) checkStart(zone, id string) {
	if since, out := w.evacuatedSince[zone]; out && w.Now().Sub(since) > testMaxConfigAge {
		w.recordViolation("%s started in %s, %s after it was taken out", id, zone, w.Now().Sub(since))
	}
}

func (w *simulation) sendCommand(h *rackHolding, addr string, do func(*fakeworker.Worker) (wire.Report, wire.Refusal), done func(CommandResult)) {
	res := CommandResult{NoAnswer: true}
	w.call(func() {
		if w.unreachable[addr] {
			return
		}
		rep, no := do(w.workers[addr])
		w.refusals[no]++
		res = CommandResult{Report: rep, Refusal: no}
	}, func() {
		if !h.dead {
			done(res)
		}
	}, func() {
		if !h.dead {
			done(CommandResult{NoAnswer: true})
		}
	})
}

// exchangeReport exchanges a rack's report for the bucket's answer, then does so again.
func (w *simulation) exchangeReport(h *rackHolding, again func()) {
	h.reportCount++
	rep := h.core.BuildReport("b", true)
	var a jobs.RackReply
	w.call(func() {
		if b := w.bucketHolder; b != nil && !b.dead {
			a = b.core.HandleReport(w.Now(), rep, func(string) bool {
				_, out := w.evacuatedSince[rep.Zone]
				return !out
			})
		}
	}, func() {
		if !h.dead {
			h.core.HandleAnswer(w.Now(), "b", a)
			w.AfterFunc(stepInterval, again)
		}
	}, func() { w.AfterFunc(stepInterval, again) })
}

// startBucketHolder gives the bucket to a new holder, which reads the record.
func (w *simulation) startBucketHolder(ep uint64) {
	var rec jobs.Bucket
	if w.storedRecord != nil {
		if err := json.Unmarshal(w.storedRecord, &rec); err != nil {
			w.recordViolation("record: %v", err)
		}
	}
	b := &bucketHolding{core: jobs.New(rec, ep), epoch: ep, readRev: w.storedRev}
	w.bucketHolder = b
	var commit func()
	commit = func() {
		if b.dead {
			return
		}
		w.commitRecord(b)
		w.AfterFunc(stepInterval, commit)
	}
	w.AfterFunc(stepInterval, commit)
}

// commitRecord writes the record; an answer that is lost is settled by reading back.
func (w *simulation) commitRecord(b *bucketHolding) {
	if b.writeInFlight || !b.core.NeedsWrite() {
		return
	}
	value, err := b.core.BeginWrite(fmt.Sprint(w.Seq()))
	if err != nil {
		w.recordViolation("record: %v", err)
		return
	}
	b.writeInFlight = true
	from := b.readRev
	write := func() {
		if w.storedRev == from {
			w.storedRecord, w.storedRev = value, w.storedRev+1
			w.checkFinalStates()
		}
	}
	var settle func()
	settle = func() {
		if b.dead {
			return
		}
		if string(w.storedRecord) == string(value) {
			b.readRev, b.writeInFlight = w.storedRev, false
			b.core.EndWrite(true)
			return
		}
		if w.storedRev != from {
			w.restartBucketHolder(b)
			return
		}
		w.call(write, settle, settle)
	}
	w.call(write, settle, settle)
}

// restartBucketHolder reads the record anew after another has written it.
func (w *simulation) restartBucketHolder(b *bucketHolding) {
	if w.bucketHolder == b {
		b.dead = true
		w.startBucketHolder(b.epoch + 1)
	}
}

// checkFinalStates checks that a final state stays.
func (w *simulation) checkFinalStates() {
	var rec jobs.Bucket
	if json.Unmarshal(w.storedRecord, &rec) != nil {
		return
	}
	for id, j := range rec.Jobs {
		if old := w.finalStates[id]; old != "" && old != j.State {
			w.recordViolation("job %s was %s and is %s", id, old, j.State)
		}
		if j.State != jobs.StateOpen {
			w.finalStates[id] = j.State
		}
	}
}

func (w *simulation) recordViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%s: ", w.Now().Sub(w.startTime)) + fmt.Sprintf(format, args...)
	}
}

// checkRunningTasks holds the promises against what the workers do now.
func (w *simulation) checkRunningTasks() {
	where := map[string]string{}
	for addr, k := range w.workers {
		for _, id := range k.RunningTasks() {
			task, _, _ := strings.Cut(id, "@")
			if other, twice := where[task]; twice {
				w.recordViolation("%s runs on %s and as %s on %s", task, other, id, addr)
			}
			where[task] = addr
		}
	}
	if n := w.refusals[wire.RefusalNoCapacity]; n > 0 {
		w.recordViolation("%d starts were refused for want of room", n)
	}
}

// acceptedResults counts the results let out, by task.
func (w *simulation) acceptedResults() map[string]int {
	sum := map[string]int{}
	for _, k := range w.workers {
		for id, n := range k.AcceptedResults() {
			task, _, _ := strings.Cut(id, "@")
			sum[task] += n
		}
	}
	return sum
}

// storedJob returns a storedJob as the store holds it.
func (w *simulation) storedJob(id string) *jobs.Job {
	var rec jobs.Bucket
	if w.storedRecord == nil || json.Unmarshal(w.storedRecord, &rec) != nil {
		return nil
	}
	return rec.Jobs[id]
}

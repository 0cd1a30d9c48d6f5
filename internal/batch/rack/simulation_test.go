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

// simulation runs the real cores of racks and of one bucket with stand-ins for workers in virtual time. Messages
// are lost or delayed, some for as long as a process may be paused. Holders die, and others take over with a higher
// epoch.
type simulation struct {
	event.Queue
	startTime      time.Time
	rand           *rand.Rand
	faultsEnabled  bool                          // messages are lost and delayed
	workers        map[string]*fakeworker.Worker // by address
	unreachable    map[string]bool               // addresses of workers that no message reaches
	rackHolders    map[string]*rackHolding       // the current or last holder of each rack
	bucketHolder   *bucketHolding                // the current or last holder of the bucket
	storedRecord   []byte                        // the bucket's record in the store
	storedRev      int                           // its revision
	evacuatedSince map[string]time.Time          // by evacuated failure domain
	violation      string                        // the first broken invariant
	finalStates    map[string]jobs.State         // of the jobs that have ended, as recorded first
	refusals       map[wire.Refusal]int          // number of refused commands by reason; "" counts the others
}

// rackHolding is a process's hold on a rack.
type rackHolding struct {
	core        *Core
	rack        string
	epoch       uint64
	dead        bool // the process has died
	reportCount int  // reports sent to the bucket
}

// bucketHolding is a process's hold on the bucket.
type bucketHolding struct {
	core          *jobs.Core
	epoch         uint64
	readRev       int  // revision of the record that it last read or wrote
	dead          bool // the process has died, or another process has written the record
	writeInFlight bool // a write has no known outcome yet
}

const (
	testLeaseTTL     = 6 * time.Second
	testMaxConfigAge = 3 * time.Second
	stepInterval     = 200 * time.Millisecond // of ticks, reports and writes
	rackCount        = 2
	workersPerRack   = 2
)

// workerSize is the size of each worker.
var workerSize = wire.Size{CPU: 4000, Mem: 8000, Accel: 1}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		Queue: event.New(time.Unix(1000, 0)), startTime: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 3)),
		workers: map[string]*fakeworker.Worker{}, unreachable: map[string]bool{}, rackHolders: map[string]*rackHolding{},
		evacuatedSince: map[string]time.Time{}, finalStates: map[string]jobs.State{}, refusals: map[wire.Refusal]int{},
	}
	clock := func() wire.WorkerTime { return wire.WorkerTime(sim.Now().Sub(sim.startTime)) }
	for r := range rackCount {
		for i := range workersPerRack {
			sim.workers[fmt.Sprintf("r%d/w%d", r, i)] = fakeworker.NewAt(workerSize, 300*time.Millisecond, clock)
		}
		sim.startRackHolder(fmt.Sprintf("r%d", r), 1)
	}
	sim.startBucketHolder(1)
	return sim
}

// runFor runs the simulation for a duration, or up to the first violation.
func (sim *simulation) runFor(d time.Duration) {
	until := sim.Now().Add(d)
	for sim.violation == "" && sim.RunNext(until) {
		sim.checkRunningTasks()
	}
	sim.RunUntil(until)
}

// messageDelay draws how long a message takes; ok is false if it is lost.
func (sim *simulation) messageDelay() (d time.Duration, ok bool) {
	d = time.Duration(1+sim.rand.IntN(20)) * time.Millisecond
	if !sim.faultsEnabled {
		return d, true
	}
	switch n := sim.rand.IntN(100); {
	case n < 4:
		return 0, false
	case n < 7:
		// The sender or the network stalls before the message is delivered.
		return time.Duration(sim.rand.IntN(15000)) * time.Millisecond, true
	}
	return d, true
}

// callTimeout is how long a call waits for its answer.
const callTimeout = 500 * time.Millisecond

// call delivers a request and its answer. If no answer arrives within callTimeout, it calls onNoAnswer.
func (sim *simulation) call(request func(), onAnswer, onNoAnswer func()) {
	requestDelay, requestOK := sim.messageDelay()
	answerDelay, answerOK := sim.messageDelay()
	if requestOK {
		sim.AfterFunc(requestDelay, request)
	}
	if requestOK && answerOK && requestDelay+answerDelay < callTimeout {
		sim.AfterFunc(requestDelay+answerDelay, onAnswer)
		return
	}
	sim.AfterFunc(callTimeout, onNoAnswer)
}

// startRackHolder starts a new holder of a rack.
func (sim *simulation) startRackHolder(rack string, epoch uint64) {
	h := &rackHolding{rack: rack, epoch: epoch, core: New(sim.Now(), Options{Rack: rack, Zone: "z" + rack, Epoch: epoch, LeaseTTL: testLeaseTTL, MaxConfigAge: testMaxConfigAge,
		BucketOf: func(string) string { return "b" }})}
	sim.rackHolders[rack] = h
	var tick func()
	tick = func() {
		if h.dead {
			return
		}
		sim.tickRack(h)
		sim.AfterFunc(stepInterval, tick)
	}
	sim.AfterFunc(stepInterval, tick)
	var sync func()
	sync = func() {
		if h.dead {
			return
		}
		sim.exchangeReport(h, sync)
	}
	sim.AfterFunc(stepInterval, sync)
}

// tickRack ticks a rack's core, executes its actions and passes it the workers' reports.
func (sim *simulation) tickRack(h *rackHolding) {
	var addrs []string
	for i := range workersPerRack {
		addrs = append(addrs, fmt.Sprintf("%s/w%d", h.rack, i))
	}
	h.core.SetWorkers(addrs)
	_, evacuated := sim.evacuatedSince[h.core.Zone()]
	for _, a := range h.core.Tick(sim.Now(), ZoneStatus{Usable: !evacuated, ConfirmedAt: sim.Now()}) {
		sim.execute(h, a)
	}
	for _, a := range addrs {
		if !sim.unreachable[a] {
			h.core.HandleReport(a, sim.workers[a].Report())
		}
	}
}

// execute sends an action to its worker and passes the result to the core.
func (sim *simulation) execute(h *rackHolding, a Action) {
	switch a := a.(type) {
	case Fence:
		sim.sendCommand(h, a.Addr, func(worker *fakeworker.Worker) (wire.Report, wire.Refusal) { return worker.Fence(a.Msg) },
			func(res CommandResult) { h.core.HandleFenceResult(sim.Now(), a.Addr, res) })
	case Renew:
		sim.sendCommand(h, a.Addr, func(worker *fakeworker.Worker) (wire.Report, wire.Refusal) { return worker.Renew(a.Msg) },
			func(res CommandResult) { h.core.HandleRenewResult(sim.Now(), a.Addr, res) })
	case Start:
		sim.sendCommand(h, a.Addr, func(worker *fakeworker.Worker) (wire.Report, wire.Refusal) {
			before := worker.Starts(a.Msg.Task.ID)
			rep, refusal := worker.Start(a.Msg)
			if worker.Starts(a.Msg.Task.ID) > before {
				sim.checkStart(h.core.Zone(), a.Msg.Task.ID)
			}
			return rep, refusal
		}, func(res CommandResult) { h.core.HandleStartResult(sim.Now(), a.Placement, res) })
	case TaskCommand:
		sim.sendCommand(h, a.Addr, func(worker *fakeworker.Worker) (wire.Report, wire.Refusal) { return worker.Act(a.Msg) },
			func(res CommandResult) { h.core.HandleTaskCommandResult(sim.Now(), a.Placement, a.Msg.Verb, res) })
	}
}

// checkStart checks that no task starts in a failure domain that was evacuated more than testMaxConfigAge ago.
func (sim *simulation) checkStart(zone, id string) {
	if since, evacuated := sim.evacuatedSince[zone]; evacuated && sim.Now().Sub(since) > testMaxConfigAge {
		sim.recordViolation("%s started in %s, %s after its evacuation", id, zone, sim.Now().Sub(since))
	}
}

// sendCommand delivers a command to a worker by send and its result to the holder by handle.
func (sim *simulation) sendCommand(h *rackHolding, addr string, send func(*fakeworker.Worker) (wire.Report, wire.Refusal), handle func(CommandResult)) {
	res := CommandResult{NoAnswer: true}
	sim.call(func() {
		if sim.unreachable[addr] {
			return
		}
		rep, refusal := send(sim.workers[addr])
		sim.refusals[refusal]++
		res = CommandResult{Report: rep, Refusal: refusal}
	}, func() {
		if !h.dead {
			handle(res)
		}
	}, func() {
		if !h.dead {
			handle(CommandResult{NoAnswer: true})
		}
	})
}

// exchangeReport sends a rack's report to the bucket's holder and passes the reply to the rack's core, then calls
// again.
func (sim *simulation) exchangeReport(h *rackHolding, again func()) {
	h.reportCount++
	rep := h.core.BuildReport("b", true)
	var reply jobs.RackReply
	sim.call(func() {
		if holder := sim.bucketHolder; holder != nil && !holder.dead {
			reply = holder.core.HandleReport(sim.Now(), rep, func(string) bool {
				_, evacuated := sim.evacuatedSince[rep.Zone]
				return !evacuated
			})
		}
	}, func() {
		if !h.dead {
			h.core.HandleReply(sim.Now(), "b", reply)
			sim.AfterFunc(stepInterval, again)
		}
	}, func() { sim.AfterFunc(stepInterval, again) })
}

// startBucketHolder starts a new holder of the bucket, which reads the record.
func (sim *simulation) startBucketHolder(epoch uint64) {
	var rec jobs.Bucket
	if sim.storedRecord != nil {
		if err := json.Unmarshal(sim.storedRecord, &rec); err != nil {
			sim.recordViolation("record: %v", err)
		}
	}
	h := &bucketHolding{core: jobs.New(rec, epoch), epoch: epoch, readRev: sim.storedRev}
	sim.bucketHolder = h
	var commit func()
	commit = func() {
		if h.dead {
			return
		}
		sim.commitRecord(h)
		sim.AfterFunc(stepInterval, commit)
	}
	sim.AfterFunc(stepInterval, commit)
}

// commitRecord writes the record. If the answer is lost, the record is read back and the write repeated if needed.
func (sim *simulation) commitRecord(h *bucketHolding) {
	if h.writeInFlight || !h.core.NeedsWrite() {
		return
	}
	value, err := h.core.BeginWrite(fmt.Sprint(sim.Seq()))
	if err != nil {
		sim.recordViolation("record: %v", err)
		return
	}
	h.writeInFlight = true
	expectedRev := h.readRev
	write := func() {
		if sim.storedRev == expectedRev {
			sim.storedRecord, sim.storedRev = value, sim.storedRev+1
			sim.checkFinalStates()
		}
	}
	var resolve func()
	resolve = func() {
		if h.dead {
			return
		}
		if string(sim.storedRecord) == string(value) {
			h.readRev, h.writeInFlight = sim.storedRev, false
			h.core.EndWrite(true)
			return
		}
		if sim.storedRev != expectedRev {
			sim.restartBucketHolder(h)
			return
		}
		sim.call(write, resolve, resolve)
	}
	sim.call(write, resolve, resolve)
}

// restartBucketHolder replaces a holder after another process has written the record, so that the record is read
// again.
func (sim *simulation) restartBucketHolder(h *bucketHolding) {
	if sim.bucketHolder == h {
		h.dead = true
		sim.startBucketHolder(h.epoch + 1)
	}
}

// checkFinalStates checks that no final state in the record has changed.
func (sim *simulation) checkFinalStates() {
	var rec jobs.Bucket
	if json.Unmarshal(sim.storedRecord, &rec) != nil {
		return
	}
	for id, job := range rec.Jobs {
		if old := sim.finalStates[id]; old != "" && old != job.State {
			sim.recordViolation("job %s was %s and is %s", id, old, job.State)
		}
		if job.State != jobs.StateOpen {
			sim.finalStates[id] = job.State
		}
	}
}

// recordViolation records a violation with the time since the start, unless there was one before.
func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("%s: ", sim.Now().Sub(sim.startTime)) + fmt.Sprintf(format, args...)
	}
}

// checkRunningTasks checks that no task runs twice at this time, and that no worker has refused a start for lack of
// resources.
func (sim *simulation) checkRunningTasks() {
	runsOn := map[string]string{}
	for addr, worker := range sim.workers {
		for _, id := range worker.RunningTasks() {
			task, _, _ := strings.Cut(id, "@")
			if other, alreadyRuns := runsOn[task]; alreadyRuns {
				sim.recordViolation("%s runs on %s and as %s on %s", task, other, id, addr)
			}
			runsOn[task] = addr
		}
	}
	if n := sim.refusals[wire.RefusalNoCapacity]; n > 0 {
		sim.recordViolation("%d starts were refused for lack of resources", n)
	}
}

// acceptedResults returns how often the result of each task was published.
func (sim *simulation) acceptedResults() map[string]int {
	count := map[string]int{}
	for _, worker := range sim.workers {
		for id, n := range worker.AcceptedResults() {
			task, _, _ := strings.Cut(id, "@")
			count[task] += n
		}
	}
	return count
}

// storedJob returns a job as the store has it, or nil.
func (sim *simulation) storedJob(id string) *jobs.Job {
	var rec jobs.Bucket
	if sim.storedRecord == nil || json.Unmarshal(sim.storedRecord, &rec) != nil {
		return nil
	}
	return rec.Jobs[id]
}

package rack

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// The seed is fixed so that every run has the same result.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
}

// TestExactlyOnce simulates faults: holders of racks and of the bucket die, messages are lost or delayed, workers are
// unreachable for longer than their lease, failure domains are evacuated and brought back, and jobs are cancelled. No
// result may be published twice, no task may run on two workers or be lost, and none may start in an evacuated
// failure domain.
func TestExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		specs := drawJobSpecs(t)
		sim.faultsEnabled = rapid.Bool().Draw(t, "faults enabled")
		submitted := map[string]jobs.Spec{}
		for _, s := range specs {
			submitted[s.ID] = s
			sim.submitUntilStored(s)
		}
		cancelled := drawFaults(t, sim, specs)
		sim.runFor(40 * time.Second)
		sim.endFaults()
		sim.runFor(5 * time.Minute)
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
		published := sim.acceptedResults()
		for id, s := range submitted {
			checkJobEnd(t, sim, s, cancelled[id], published)
		}
	})
}

// drawJobSpecs draws the jobs to submit.
func drawJobSpecs(t *rapid.T) []jobs.Spec {
	var specs []jobs.Spec
	for i := range rapid.IntRange(1, 4).Draw(t, "jobs") {
		specs = append(specs, jobs.Spec{
			ID: fmt.Sprintf("job%d", i), Kind: "audit", N: rapid.IntRange(1, 8).Draw(t, "n"),
			Size: wire.Size{CPU: rapid.IntRange(500, 4000).Draw(t, "cpu"), Mem: 1000},
			Run:  time.Duration(rapid.IntRange(100, 12000).Draw(t, "run")) * time.Millisecond,
		})
	}
	return specs
}

// drawFaults draws and schedules faults, evacuations and a cancellation. It returns the ids of cancelled jobs.
func drawFaults(t *rapid.T, sim *simulation, specs []jobs.Spec) map[string]bool {
	at := func(what string) time.Duration {
		return time.Duration(rapid.IntRange(500, 35000).Draw(t, what)) * time.Millisecond
	}
	for range rapid.IntRange(0, 4).Draw(t, "rack holder deaths") {
		rack := fmt.Sprintf("r%d", rapid.IntRange(0, rackCount-1).Draw(t, "rack"))
		sim.AfterFunc(at("rack holder death"), func() { sim.killRackHolder(rack) })
	}
	for range rapid.IntRange(0, 3).Draw(t, "bucket holder deaths") {
		sim.AfterFunc(at("bucket holder death"), sim.killBucketHolder)
	}
	for range rapid.IntRange(0, 2).Draw(t, "unreachable workers") {
		addr := fmt.Sprintf("r%d/w%d", rapid.IntRange(0, rackCount-1).Draw(t, "rack"), rapid.IntRange(0, workersPerRack-1).Draw(t, "worker"))
		sim.AfterFunc(at("unreachable"), func() { sim.unreachable[addr] = true })
		sim.AfterFunc(at("reachable again"), func() { delete(sim.unreachable, addr) })
	}
	for range rapid.IntRange(0, 2).Draw(t, "evacuations") {
		zone := fmt.Sprintf("zr%d", rapid.IntRange(0, rackCount-1).Draw(t, "zone"))
		sim.AfterFunc(at("evacuated"), func() { sim.evacuatedSince[zone] = sim.Now() })
		sim.AfterFunc(at("back in use"), func() { delete(sim.evacuatedSince, zone) })
	}
	cancelled := map[string]bool{}
	if rapid.Bool().Draw(t, "cancel") {
		id := specs[0].ID
		cancelled[id] = true
		sim.AfterFunc(at("cancelled"), func() { _ = sim.bucketHolder.core.Cancel(sim.Now(), id) })
	}
	return cancelled
}

// submitUntilStored submits a job repeatedly until the store has it, as its user would.
func (sim *simulation) submitUntilStored(s jobs.Spec) {
	if sim.storedJob(s.ID) != nil {
		return
	}
	if holder := sim.bucketHolder; holder != nil && !holder.dead {
		if err := holder.core.Submit(sim.Now(), s); err != nil {
			sim.recordViolation("submission: %v", err)
		}
	}
	sim.AfterFunc(stepInterval, func() { sim.submitUntilStored(s) })
}

// killRackHolder ends a rack's holder. Another takes over after a random time below 7 s, which stands for the time
// until the lease of the former holder's process has expired.
func (sim *simulation) killRackHolder(rack string) {
	holder := sim.rackHolders[rack]
	if holder.dead {
		return
	}
	holder.dead = true
	sim.AfterFunc(time.Duration(sim.rand.IntN(7000))*time.Millisecond, func() { sim.startRackHolder(rack, holder.epoch+1) })
}

// killBucketHolder ends the bucket's holder. Another takes over after a random time below 7 s.
func (sim *simulation) killBucketHolder() {
	holder := sim.bucketHolder
	if holder.dead {
		return
	}
	holder.dead = true
	sim.AfterFunc(time.Duration(sim.rand.IntN(7000))*time.Millisecond, func() { sim.startBucketHolder(holder.epoch + 1) })
}

// endFaults makes messages reliable, all workers reachable and all failure domains usable.
func (sim *simulation) endFaults() {
	sim.faultsEnabled = false
	clear(sim.unreachable)
	clear(sim.evacuatedSince)
}

// checkJobEnd checks that a job has ended, that each result was published exactly once if its task is recorded as
// finished and never otherwise, and that no placement is left.
func checkJobEnd(t *rapid.T, sim *simulation, s jobs.Spec, cancelled bool, published map[string]int) {
	job := sim.storedJob(s.ID)
	if job == nil {
		t.Fatalf("job %s is lost", s.ID)
	}
	if !cancelled && job.State != jobs.StateDone {
		t.Fatalf("job %s is %s %s, %d of %d done, placed %v", s.ID, job.State, job.Why, job.Done.Count(), s.N, job.Place)
	}
	for i := range s.N {
		task := fmt.Sprintf("%s/%d", s.ID, i)
		want := 0
		if job.Done.Test(uint(i)) {
			want = 1
		}
		if published[task] != want {
			t.Fatalf("task %s: recorded as finished %d times, its result was published %d times", task, want, published[task])
		}
	}
	if len(job.Place) > 0 {
		t.Fatalf("job %s is %s and still has placements %v", s.ID, job.State, job.Place)
	}
}

// TestEvictionResumesFromCheckpoint covers a task that is evicted because its failure domain is evacuated. It must
// resume elsewhere from its checkpoint, not from the beginning.
func TestEvictionResumesFromCheckpoint(t *testing.T) {
	sim := newSimulation(1)
	sim.submitUntilStored(jobs.Spec{ID: "audit", Kind: "audit", N: 1, Size: wire.Size{CPU: 1000, Mem: 1000}, Run: 20 * time.Second})
	sim.runFor(12 * time.Second)
	for i := range rackCount {
		zone := fmt.Sprintf("zr%d", i)
		for j := range workersPerRack {
			if len(sim.workers[fmt.Sprintf("r%d/w%d", i, j)].RunningTasks()) > 0 {
				sim.evacuatedSince[zone] = sim.Now()
			}
		}
	}
	if len(sim.evacuatedSince) != 1 {
		t.Fatalf("the task runs in %d failure domains", len(sim.evacuatedSince))
	}
	sim.runFor(13 * time.Second)
	if j := sim.storedJob("audit"); sim.violation != "" || j.State != jobs.StateDone {
		t.Errorf("%s; after 25 s of a task of 20 s it is %s", sim.violation, j.State)
	}
}

// TestFailingWorkerCooldown covers a worker that fails every task at once, so that it always has free resources. It
// must get a cooldown after a few failures, and no job may be parked because of it.
func TestFailingWorkerCooldown(t *testing.T) {
	sim := newSimulation(1)
	sim.workers["r0/w0"].SetFailing(true)
	sim.submitUntilStored(jobs.Spec{ID: "books", Kind: "photo", N: 60, Size: wire.Size{CPU: 500, Mem: 500}, Run: 2 * time.Second})
	sim.runFor(2 * time.Minute)
	starts := 0
	for index := range 200 {
		for no := range 400 {
			starts += sim.workers["r0/w0"].Starts(fmt.Sprintf("books/%d@%d", index, no))
		}
	}
	j := sim.storedJob("books")
	if sim.violation != "" || j.State != jobs.StateDone {
		t.Errorf("%s; job %s %s, %d done", sim.violation, j.State, j.Why, j.Done.Count())
	}
	t.Logf("%d of 60 tasks were started on the failing worker", starts)
}

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

// The seed is fixed so that every run gives the same verdict.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
}

// Holders of racks and of the bucket die, messages are lost or come after a pause,
// workers are cut off for longer than their lease, failure domains go out and come
// back, jobs are cancelled. A user must never see a photo book go out twice, a task on
// two workers, one lost, or one started where operators said no.
func TestExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"))
		specs := drawJobSpecs(t)
		w.faultsEnabled = rapid.Bool().Draw(t, "mess")
		submitted := map[string]jobs.Spec{}
		for _, s := range specs {
			submitted[s.ID] = s
			w.submitUntilStored(s)
		}
		cancelled := drawFaults(t, w, specs)
		w.runFor(40 * time.Second)
		w.endFaults()
		w.runFor(5 * time.Minute)
		if w.violation != "" {
			t.Fatal(w.violation)
		}
		accepts := w.acceptedResults()
		for id, s := range submitted {
			checkJobEnd(t, w, s, cancelled[id], accepts)
		}
	})
}

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

func drawFaults(t *rapid.T, w *simulation, specs []jobs.Spec) map[string]bool {
	at := func(what string) time.Duration {
		return time.Duration(rapid.IntRange(500, 35000).Draw(t, what)) * time.Millisecond
	}
	for range rapid.IntRange(0, 4).Draw(t, "deaths") {
		rack := fmt.Sprintf("r%d", rapid.IntRange(0, rackCount-1).Draw(t, "rack"))
		w.AfterFunc(at("death"), func() { w.killRackHolder(rack) })
	}
	for range rapid.IntRange(0, 3).Draw(t, "bucket deaths") {
		w.AfterFunc(at("bucket death"), w.killBucketHolder)
	}
	for range rapid.IntRange(0, 2).Draw(t, "cuts") {
		addr := fmt.Sprintf("r%d/w%d", rapid.IntRange(0, rackCount-1).Draw(t, "rack"), rapid.IntRange(0, workersPerRack-1).Draw(t, "worker"))
		w.AfterFunc(at("cut"), func() { w.unreachable[addr] = true })
		w.AfterFunc(at("mended"), func() { delete(w.unreachable, addr) })
	}
	for range rapid.IntRange(0, 2).Draw(t, "moves") {
		zone := fmt.Sprintf("zr%d", rapid.IntRange(0, rackCount-1).Draw(t, "zone"))
		w.AfterFunc(at("out"), func() { w.evacuatedSince[zone] = w.Now() })
		w.AfterFunc(at("back"), func() { delete(w.evacuatedSince, zone) })
	}
	cancelled := map[string]bool{}
	if rapid.Bool().Draw(t, "cancel") {
		id := specs[0].ID
		cancelled[id] = true
		w.AfterFunc(at("cancelled"), func() { _ = w.bucketHolder.core.Cancel(w.Now(), id) })
	}
	return cancelled
}

// submitUntilStored brings a job in again and again until the store holds it, as its user would.
func (w *simulation) submitUntilStored(s jobs.Spec) {
	if w.storedJob(s.ID) != nil {
		return
	}
	if b := w.bucketHolder; b != nil && !b.dead {
		if err := b.core.Submit(w.Now(), s); err != nil {
			w.recordViolation("submission: %v", err)
		}
	}
	w.AfterFunc(stepInterval, func() { w.submitUntilStored(s) })
}

// killRackHolder ends a rack's holder; another follows when its lease has lapsed.
func (w *simulation) killRackHolder(rack string) {
	h := w.rackHolders[rack]
	if h.dead {
		return
	}
	h.dead = true
	w.AfterFunc(time.Duration(w.rand.IntN(7000))*time.Millisecond, func() { w.startRackHolder(rack, h.epoch+1) })
}

func (w *simulation) killBucketHolder() {
	b := w.bucketHolder
	if b.dead {
		return
	}
	b.dead = true
	w.AfterFunc(time.Duration(w.rand.IntN(7000))*time.Millisecond, func() { w.startBucketHolder(b.epoch + 1) })
}

// endFaults ends all faults.
func (w *simulation) endFaults() {
	w.faultsEnabled = false
	clear(w.unreachable)
	clear(w.evacuatedSince)
}

func checkJobEnd(t *rapid.T, w *simulation, s jobs.Spec, cancelled bool, accepts map[string]int) {
	j := w.storedJob(s.ID)
	if j == nil {
		t.Fatalf("job %s is lost", s.ID)
	}
	if !cancelled && j.State != jobs.StateDone {
		t.Fatalf("job %s is %s %s, %d of %d done, placed %v", s.ID, j.State, j.Why, j.Done.Count(), s.N, j.Place)
	}
	for i := range s.N {
		task := fmt.Sprintf("%s/%d", s.ID, i)
		want := 0
		if j.Done.Test(uint(i)) {
			want = 1
		}
		if accepts[task] != want {
			t.Fatalf("task %s: recorded as finished %d times, its result went out %d times", task, want, accepts[task])
		}
	}
	if len(j.Place) > 0 {
		t.Fatalf("job %s is %s and still has placements %v", s.ID, j.State, j.Place)
	}
}

// A task is evicted because its failure domain goes out. It must go on elsewhere from
// its checkpoint, not from its beginning.
func TestEvictionResumesFromCheckpoint(t *testing.T) {
	w := newSimulation(1)
	w.submitUntilStored(jobs.Spec{ID: "audit", Kind: "audit", N: 1, Size: wire.Size{CPU: 1000, Mem: 1000}, Run: 20 * time.Second})
	w.runFor(12 * time.Second)
	for i := range rackCount {
		zone := fmt.Sprintf("zr%d", i)
		for j := range workersPerRack {
			if len(w.workers[fmt.Sprintf("r%d/w%d", i, j)].RunningTasks()) > 0 {
				w.evacuatedSince[zone] = w.Now()
			}
		}
	}
	if len(w.evacuatedSince) != 1 {
		t.Fatalf("the task runs in %d failure domains", len(w.evacuatedSince))
	}
	w.runFor(13 * time.Second)
	if j := w.storedJob("audit"); w.violation != "" || j.State != jobs.StateDone {
		t.Errorf("%s; after 25 s of a task of 20 s it is %s", w.violation, j.State)
	}
}

// A worker fails everything at once, so it is always free. It must rest after a few
// failures, and no job may be parked for its sake.
func TestFailingWorkerCooldown(t *testing.T) {
	w := newSimulation(1)
	w.workers["r0/w0"].SetFailing(true)
	w.submitUntilStored(jobs.Spec{ID: "books", Kind: "photo", N: 60, Size: wire.Size{CPU: 500, Mem: 500}, Run: 2 * time.Second})
	w.runFor(2 * time.Minute)
	failed := 0
	for id := range 200 {
		for no := range 400 {
			failed += w.workers["r0/w0"].Starts(fmt.Sprintf("books/%d@%d", id, no))
		}
	}
	j := w.storedJob("books")
	if w.violation != "" || j.State != jobs.StateDone {
		t.Errorf("%s; job %s %s, %d done", w.violation, j.State, j.Why, j.Done.Count())
	}
	t.Logf("%d of 60 tasks were started on the bad worker", failed)
}

package drive_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/fake/multi"
)

func runsFor(d time.Duration) func(string) (time.Duration, sched.End) {
	return func(string) (time.Duration, sched.End) { return d, sched.EndDone }
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// runCluster runs a test in virtual time and checks that no worker saw what must not be.
func runCluster(t *testing.T, work func(string) (time.Duration, sched.End), test func(f *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 3, 6, newRand(1), work)
		time.Sleep(3 * time.Second)
		test(f)
		f.stop()
		for _, fault := range f.workers.Faults() {
			t.Error(fault)
		}
	})
}

// A job of two steps goes the whole way, and its second hand-in changes nothing.
func TestJobCompletes(t *testing.T) {
	runCluster(t, runsFor(time.Second), func(f *testCluster) {
		if r := f.submit("a", newStep(4), newStep(2, 0)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		if r := f.submit("a", newStep(4), newStep(2, 0)); r.Result != drive.ResultDone {
			t.Fatalf("again: %+v", r)
		}
		f.awaitState(5*time.Second, "a", sched.StateCompleted)
		for task, n := range f.workers.Starts() {
			if n != 1 {
				t.Errorf("%s was started %d times", task, n)
			}
		}
	})
}

func TestReplies(t *testing.T) {
	runCluster(t, runsFor(time.Second), func(f *testCluster) {
		for _, tt := range []struct {
			name string
			ask  drive.Request
			want drive.Result
		}{
			{"no queue", drive.Request{Verb: drive.VerbState, Host: "h", Path: "/x/1"}, drive.ResultNoQueue},
			{"other host", drive.Request{Verb: drive.VerbState, Host: "x", Path: "/q/1"}, drive.ResultNoQueue},
			{"no job", drive.Request{Verb: drive.VerbState, Host: "h", Path: "/q/1"}, drive.ResultNoJob},
			{"cancel no job", drive.Request{Verb: drive.VerbCancel, Host: "h", Path: "/q/1"}, drive.ResultNoJob},
			{"count", drive.Request{Verb: drive.VerbState, Host: "h", Path: "/q/"}, drive.ResultCount},
			{"no id", drive.Request{Verb: drive.VerbSubmit, Host: "h", Path: "/q/", Job: []byte("{}")}, drive.ResultBad},
			{"no steps", drive.Request{Verb: drive.VerbSubmit, Host: "h", Path: "/q/1", Job: []byte("{}")}, drive.ResultBad},
			{"no JSON", drive.Request{Verb: drive.VerbSubmit, Host: "h", Path: "/q/1", Job: []byte("{")}, drive.ResultBad},
		} {
			if got := f.request(time.Second, tt.ask); got.Result != tt.want {
				t.Errorf("%s: %+v, want %s", tt.name, got, tt.want)
			}
		}
	})
}

// The holder's process is killed while tasks run. Another takes over and finishes the job;
// what runs goes on and nothing runs twice.
func TestHolderKilled(t *testing.T) {
	runCluster(t, runsFor(3*time.Second), func(f *testCluster) {
		f.submit("a", newStep(5), newStep(5, 0))
		time.Sleep(time.Second)
		f.holder().kill()
		f.awaitState(20*time.Second, "a", sched.StateCompleted)
		for task, n := range f.workers.Starts() {
			if n != 1 {
				t.Errorf("%s was started %d times", task, n)
			}
		}
	})
}

// The store is down while tasks run and end. Nothing is lost: the ends wait on the workers,
// hand-ins are refused soon, and on its return the job is done.
func TestStoreOutage(t *testing.T) {
	for _, mode := range []multi.Mode{multi.ModeBusy, multi.ModeSilent} {
		t.Run(string(mode), func(t *testing.T) {
			runCluster(t, runsFor(2*time.Second), func(f *testCluster) {
				f.submit("a", newStep(5), newStep(5, 0))
				f.store.SetMode(mode)
				time.Sleep(3 * time.Second)
				if r := f.submit("b", newStep(1)); r.Result != drive.ResultRefused && r.Result != drive.ResultUnknown {
					t.Errorf("hand-in with the store away: %+v", r)
				}
				time.Sleep(3 * time.Second)
				f.store.SetMode("")
				f.awaitState(10*time.Second, "a", sched.StateCompleted)
			})
		})
	}
}

// The store turns the holder away, takes its key and serves the others: one of these takes
// over, and the former holder starts nothing more.
func TestHolderLosesStore(t *testing.T) {
	runCluster(t, runsFor(2*time.Second), func(f *testCluster) {
		f.submit("a", newStep(5), newStep(5, 0))
		old := f.holder()
		old.setMode(multi.ModeSilent)
		f.store.Revoke("lead/holder")
		time.Sleep(4 * time.Second)
		if now := f.holder(); now == old {
			t.Error("the holder that is turned away still holds")
		}
		f.awaitState(10*time.Second, "a", sched.StateCompleted)
		old.setMode("")
	})
}

// The holder's failure domain is cut off for long. Another host takes over on the far side; the
// former holder, to which all workers over there look lapsed, must not run their tasks on
// the workers that it still reaches.
func TestHolderPartitioned(t *testing.T) {
	runCluster(t, runsFor(20*time.Second), func(f *testCluster) {
		f.submit("a", newStep(30))
		time.Sleep(time.Second)
		f.setCutZone(f.holder().zone)
		time.Sleep(12 * time.Second)
		f.setCutZone("")
		f.awaitState(60*time.Second, "a", sched.StateCompleted)
	})
}

// A cancelled job is shown as cancelled once that is stored, and nothing of it starts or runs on.
func TestCancelStopsTasks(t *testing.T) {
	runCluster(t, runsFor(10*time.Second), func(f *testCluster) {
		f.submit("a", newStep(5))
		time.Sleep(time.Second)
		if r := f.request(time.Second, drive.Request{Verb: drive.VerbCancel, Host: "h", Path: "/q/a"}); r.Result != drive.ResultDone {
			t.Fatalf("cancel: %+v", r)
		}
		f.awaitState(time.Second, "a", sched.StateCancelled)
		time.Sleep(time.Second)
		if n := f.workers.Running(); n != 0 {
			t.Errorf("%d tasks run on", n)
		}
	})
}

// Everything goes wrong at once, in random schedules: holders are killed, turned away and
// lose answers, the store is down, late and forgetful, workers crash, are cut off and carry
// orders out late, jobs are cancelled. No task runs twice, none starts after its success was
// acknowledged, and every accepted job ends.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { randomFaults(t, seed) })
		})
	}
}

func randomFaults(t *testing.T, seed uint64) {
	rng, work := newRand(seed), newRand(seed+200) // work is used under the crew's lock only
	f := newTestCluster(t, 3, 8, newRand(seed+100), func(string) (time.Duration, sched.End) {
		how := sched.EndDone
		if work.IntN(20) == 0 {
			how = sched.EndFailed
		}
		return time.Duration(200+work.IntN(3000)) * time.Millisecond, how
	})
	var accepted, cancelled []string
	for i := range 150 {
		time.Sleep(200 * time.Millisecond)
		id := fmt.Sprintf("j%d", i)
		if f.submit(id, newStep(1+rng.IntN(4)), newStep(1+rng.IntN(3), 0)).Result == drive.ResultDone {
			accepted = append(accepted, id)
			if rng.IntN(10) == 0 {
				r := f.request(2*time.Second, drive.Request{Verb: drive.VerbCancel, Host: "h", Path: "/q/" + id})
				if r.Result == drive.ResultDone {
					cancelled = append(cancelled, id)
				}
			}
		}
		if i%4 == 0 {
			f.injectFault(rng)
		}
	}
	f.clearFaults()
	time.Sleep(40 * time.Second)
	for _, id := range accepted {
		if r := f.state(id); !r.State.Final() {
			t.Errorf("job %s: %+v", id, r)
		}
	}
	for _, id := range cancelled {
		if r := f.state(id); !r.State.Final() {
			t.Errorf("cancelled job %s: %+v", id, r)
		}
	}
	if len(accepted) < 60 {
		t.Errorf("only %d of 150 jobs were accepted", len(accepted))
	}
	f.stop()
	for _, fault := range f.workers.Faults() {
		t.Error(fault)
	}
}

func (f *testCluster) injectFault(rng *rand.Rand) {
	h := f.hosts[rng.IntN(len(f.hosts))]
	if d := f.holder(); d != nil && rng.IntN(2) == 0 {
		h = d
	}
	worker := fmt.Sprintf("w%d", rng.IntN(8))
	after := func(do func()) { time.AfterFunc(time.Duration(500+rng.IntN(5000))*time.Millisecond, do) }
	switch rng.IntN(10) {
	case 0:
		h.kill()
		h.start()
	case 1:
		h.setMode([]multi.Mode{multi.ModeBusy, multi.ModeSilent}[rng.IntN(2)])
		if rng.IntN(2) == 0 {
			f.store.Revoke("lead/holder")
		}
		after(func() { h.setMode("") })
	case 2:
		f.store.SetMode(multi.ModeBusy)
		after(func() { f.store.SetMode("") })
	case 3:
		f.store.SetLoss(0.3, time.Duration(1+rng.IntN(5))*time.Second)
		after(func() { f.store.SetLoss(0, 0) })
	case 4:
		f.store.Compact()
	case 5, 6:
		f.workers.SetDark(worker, true)
		after(func() { f.workers.SetDark(worker, false) })
	case 7:
		f.workers.Crash(worker)
		f.listWorkers()
	case 8:
		f.workers.SetLate(0.2)
		after(func() { f.workers.SetLate(0) })
	case 9:
		f.setCutZone(h.zone)
		after(func() { f.setCutZone("") })
	}
}

// clearFaults ends every fault.
func (f *testCluster) clearFaults() {
	time.Sleep(6 * time.Second)
	f.setCutZone("")
	f.store.SetMode("")
	f.store.SetLoss(0, 0)
	f.workers.SetLate(0)
	for _, h := range f.hosts {
		h.setMode("")
	}
	for _, m := range f.workers.Members() {
		f.workers.SetDark(m.ID, false)
	}
}

// A queue's tasks may only run where a service of the operators says so, and that service isn't
// asked yet: every start would be refused by its worker, and the job would look accepted for
// good. The hand-in is refused at once instead, with a time to come back.
func TestUnsupportedQueueRefused(t *testing.T) {
	runCluster(t, runsFor(time.Second), func(f *testCluster) {
		f.configure(sched.Config{Version: 2, Queues: []sched.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Tries: 3, Advised: true}}})
		time.Sleep(time.Second)
		if r := f.submit("a", newStep(1)); r.Result != drive.ResultRefused || r.After < 30*time.Second {
			t.Errorf("hand-in: %+v", r)
		}
		if r := f.state("a"); r.Result != drive.ResultNoJob {
			t.Errorf("state: %+v", r)
		}
	})
}

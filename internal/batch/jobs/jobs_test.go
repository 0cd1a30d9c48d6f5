package jobs

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

var (
	now  = time.Unix(1000, 0)
	unit = wire.Size{CPU: 1000, Mem: 1000} // size of a task
)

// allowAll lets every kind of job use a rack.
func allowAll(string) bool { return true }

// commitRecord makes one successful write.
func commitRecord(t *testing.T, c *Core) {
	t.Helper()
	if _, err := c.BeginWrite("id"); err != nil {
		t.Fatal(err)
	}
	c.EndWrite(true)
}

// newReport returns a report of a rack whose offer has room for n tasks.
func newReport(rack string, n int) RackReport {
	r := RackReport{Rack: rack, Ep: 1, Usable: true, Offer: Offer{Max: unit}, Back: map[Placement]time.Duration{}}
	for range n {
		r.Offer.Free = append(r.Offer.Free, unit)
	}
	return r
}

// newPlacedJob returns a Core with a committed job of n tasks on rack a, and these tasks.
func newPlacedJob(t *testing.T, n int) (*Core, []Task) {
	t.Helper()
	c := New(Bucket{}, 1)
	commitRecord(t, c)
	if err := c.Submit(now, Spec{ID: "job", Kind: "audit", N: n, Size: unit, Run: time.Second}); err != nil {
		t.Fatal(err)
	}
	commitRecord(t, c)
	if a := c.HandleReport(now, newReport("a", n), allowAll); len(a.Run) > 0 {
		t.Fatalf("tasks to run before their placement is committed: %v", a.Run)
	}
	commitRecord(t, c)
	return c, c.HandleReport(now, newReport("a", 0), allowAll).Run
}

// TestNoReplyBeforeFirstWrite guards against a reply that is based on an outdated record. The
// former holder of a bucket dies with a write in flight, and the new holder reads the record
// before that write takes effect. A task that the write moves would then run on both racks.
func TestNoReplyBeforeFirstWrite(t *testing.T) {
	c, _ := newPlacedJob(t, 1)
	next := New(c.committed, 2)
	if a := next.HandleReport(now, newReport("a", 1), allowAll); a.OK {
		t.Errorf("reply before this holding has written the record: %+v", a)
	}
	commitRecord(t, next)
	if a := next.HandleReport(now, newReport("a", 0), allowAll); !a.OK || len(a.Run) != 1 {
		t.Errorf("reply after this holding has written the record: %+v", a)
	}
}

// TestStaleRackHolderIgnored guards against a delayed report of a rack's former holder. It
// returns a task that the current holder has started; if it counted, the task would be placed
// again and run twice.
func TestStaleRackHolderIgnored(t *testing.T) {
	c, run := newPlacedJob(t, 1)
	current := newReport("a", 0)
	current.Ep = 2
	c.HandleReport(now, current, allowAll)
	stale := newReport("a", 0)
	stale.Back[run[0].Place] = 0
	a := c.HandleReport(now, stale, allowAll)
	if n, _ := c.CountWaiting(); a.OK || n > 0 {
		t.Errorf("the report of a former holder was applied: %+v", a)
	}
}

// TestSupersededPlacementIgnored guards against a task that finishes twice. The task is
// presumed lost and placed again, then the first placement is reported as finished. If that
// counted, two results would be published: two photo books would be sent out.
func TestSupersededPlacementIgnored(t *testing.T) {
	c, run := newPlacedJob(t, 1)
	returned := newReport("a", 0)
	returned.Back[run[0].Place] = 0
	c.HandleReport(now, returned, allowAll)
	commitRecord(t, c)
	c.HandleReport(now, newReport("b", 1), allowAll)
	commitRecord(t, c)
	superseded := newReport("a", 0)
	superseded.Finished = []Placement{run[0].Place}
	a := c.HandleReport(now, superseded, allowAll)
	if j, _ := c.CommittedJob("job"); len(a.Counts) > 0 || j.Done.Count() > 0 || len(a.Recorded) != 1 {
		t.Errorf("a superseded placement counts as finished: %+v", a)
	}
}

// TestCancelRacesFinish covers a job whose last task finishes while the job is being cancelled.
// What is handled first decides the final state of the job.
func TestCancelRacesFinish(t *testing.T) {
	for _, cancelFirst := range []bool{true, false} {
		c, run := newPlacedJob(t, 1)
		finished := newReport("a", 0)
		finished.Finished = []Placement{run[0].Place}
		cancel := func() { _ = c.Cancel(now, "job") }
		finish := func() { c.HandleReport(now, finished, allowAll) }
		want := StateDone
		if cancelFirst {
			want = StateCancelled
			cancel()
			finish()
		} else {
			finish()
			cancel()
		}
		commitRecord(t, c)
		if j, _ := c.CommittedJob("job"); j.State != want {
			t.Errorf("cancelled first %t: state %s", cancelFirst, j.State)
		}
	}
}

// TestInfeasibleJobParked covers a job that is too large for every worker that it may use. It must
// be parked with the reason, but only after every rack has reported, and must not delay other jobs.
func TestInfeasibleJobParked(t *testing.T) {
	c := New(Bucket{}, 1)
	commitRecord(t, c)
	big := Spec{ID: "big", Kind: "audit", N: 1, Size: wire.Size{CPU: 99000, Mem: 1}, Run: time.Second, Rank: RankUrgent}
	small := Spec{ID: "small", Kind: "audit", N: 1, Size: unit, Run: time.Second}
	for _, s := range []Spec{big, small} {
		if err := c.Submit(now, s); err != nil {
			t.Fatal(err)
		}
	}
	anywhere := func(string, string) bool { return true }
	c.HandleReport(now, newReport("a", 1), allowAll)
	c.ParkAndExpire(now, []string{"a", "b"}, anywhere)
	commitRecord(t, c)
	if j, _ := c.CommittedJob("big"); j.State != StateOpen {
		t.Errorf("state while a rack is silent: %s", j.State)
	}
	if run := c.HandleReport(now, newReport("a", 0), allowAll).Run; len(run) != 1 || run[0].Place.Job != "small" {
		t.Errorf("the infeasible job delays another job; tasks to run: %v", run)
	}
	c.HandleReport(now, newReport("b", 0), allowAll)
	c.ParkAndExpire(now, []string{"a", "b"}, anywhere)
	commitRecord(t, c)
	if j, _ := c.CommittedJob("big"); j.State != StateParked || j.Why == "" {
		t.Errorf("state after reports of all racks: %s, reason %q", j.State, j.Why)
	}
}

// TestSubmit checks that a submission may be repeated, as after a lost answer, and that a different
// job with the same id, or an invalid one, is refused.
func TestSubmit(t *testing.T) {
	c := New(Bucket{}, 1)
	s := Spec{ID: "job", Kind: "audit", N: 1, Size: unit, Run: time.Second}
	for range 2 {
		if err := c.Submit(now, s); err != nil {
			t.Error(err)
		}
	}
	s.N = 2
	if err := c.Submit(now, s); !errors.Is(err, ErrIDTaken) {
		t.Errorf("submitting a different job with the same id: %v", err)
	}
	for _, bad := range []Spec{{}, {ID: "a/b", Kind: "k", N: 1, Size: unit, Run: 1}, {ID: "x", Kind: "k", N: MaxTasks + 1, Size: unit, Run: 1}, {ID: "x", Kind: "k", N: 1, Size: unit, Run: 1, Rank: "top"}} {
		if err := c.Submit(now, bad); !errors.Is(err, ErrInvalidSpec) {
			t.Errorf("submitting the invalid job %+v: %v", bad, err)
		}
	}
}

// FuzzParsePlacement checks that the text of a parsed placement is parsed as the same placement.
func FuzzParsePlacement(f *testing.F) {
	f.Add("audit-7/3@12")
	f.Add("/@")
	f.Fuzz(func(t *testing.T, s string) {
		if p, ok := ParsePlacement(s); ok {
			if again, ok := ParsePlacement(p.String()); !ok || again != p {
				t.Errorf("%q is parsed as %+v, whose text is parsed as %+v", s, p, again)
			}
		}
	})
}

// TestPlacementPrecedence covers more waiting tasks than fit. The long-running job (a condition
// watch) must be placed first, then the urgent one, whatever the order of submission.
func TestPlacementPrecedence(t *testing.T) {
	c := New(Bucket{}, 1)
	commitRecord(t, c)
	for i, s := range []Spec{{ID: "low", Rank: RankLow}, {ID: "normal"}, {ID: "urgent", Rank: RankUrgent}, {ID: "watch", Standing: true}} {
		s.Kind, s.N, s.Size, s.Run = "audit", 1, unit, time.Second
		if err := c.Submit(now.Add(time.Duration(i)*time.Second), s); err != nil {
			t.Fatal(err)
		}
	}
	commitRecord(t, c)
	c.HandleReport(now, newReport("a", 2), allowAll)
	commitRecord(t, c)
	run := c.HandleReport(now, newReport("a", 0), allowAll).Run
	if len(run) != 2 || run[0].Place.Job != "watch" || run[1].Place.Job != "urgent" {
		t.Errorf("tasks placed first: %v", run)
	}
	if n, urgent := c.CountWaiting(); n != 2 || urgent != 0 {
		t.Errorf("%d tasks wait, %d of them urgent", n, urgent)
	}
}

package jobs

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/wire"
)

var (
	now  = time.Unix(1000, 0)
	unit = wire.Size{CPU: 1000, Mem: 1000}
)

func allowAll(string) bool { return true }

func commitRecord(t *testing.T, c *Core) {
	t.Helper()
	if _, err := c.BeginWrite("id"); err != nil {
		t.Fatal(err)
	}
	c.EndWrite(true)
}

// newReport is a report of a rack with room for n tasks.
func newReport(rack string, n int) RackReport {
	r := RackReport{Rack: rack, Ep: 1, Usable: true, Offer: Offer{Max: unit}, Back: map[Placement]time.Duration{}}
	for range n {
		r.Offer.Free = append(r.Offer.Free, unit)
	}
	return r
}

// newPlacedJob returns a written bucket with a job of n tasks placed on rack a.
func newPlacedJob(t *testing.T, n int) (*Core, []Task) {
	t.Helper()
	c := New(Bucket{}, 1)
	commitRecord(t, c)
	if err := c.Submit(now, Spec{ID: "job", Kind: "audit", N: n, Size: unit, Run: time.Second}); err != nil {
		t.Fatal(err)
	}
	commitRecord(t, c)
	if a := c.HandleReport(now, newReport("a", n), allowAll); len(a.Run) > 0 {
		t.Fatalf("named before the store holds it: %v", a.Run)
	}
	commitRecord(t, c)
	return c, c.HandleReport(now, newReport("a", 0), allowAll).Run
}

// A bucket's holder dies with a write on its way. The next one reads the record before
// that write takes effect; what it would tell a rack then is out of date, and a task
// that the write moves would run in both places.
func TestNoReplyBeforeFirstWrite(t *testing.T) {
	c, _ := newPlacedJob(t, 1)
	next := New(c.committed, 2)
	if a := next.HandleReport(now, newReport("a", 1), allowAll); a.OK {
		t.Errorf("it answers before its own write: %+v", a)
	}
	commitRecord(t, next)
	if a := next.HandleReport(now, newReport("a", 0), allowAll); !a.OK || len(a.Run) != 1 {
		t.Errorf("after its own write: %+v", a)
	}
}

// A former holder of a rack reports late that it doesn't run a task which the present
// one has started. Believed, the task would be placed elsewhere and run twice.
func TestStaleRackHolderIgnored(t *testing.T) {
	c, run := newPlacedJob(t, 1)
	present := newReport("a", 0)
	present.Ep = 2
	c.HandleReport(now, present, allowAll)
	late := newReport("a", 0)
	late.Back[run[0].Place] = 0
	a := c.HandleReport(now, late, allowAll)
	if n, _ := c.CountWaiting(); a.OK || n > 0 {
		t.Errorf("a former holder's report is taken in: %+v", a)
	}
}

// A task is given up for lost and placed again; then the first placement turns out to
// have finished. Two photo books would go out if it counted.
func TestSupersededPlacementIgnored(t *testing.T) {
	c, run := newPlacedJob(t, 1)
	lost := newReport("a", 0)
	lost.Back[run[0].Place] = 0
	c.HandleReport(now, lost, allowAll)
	commitRecord(t, c)
	c.HandleReport(now, newReport("b", 1), allowAll)
	commitRecord(t, c)
	ghost := newReport("a", 0)
	ghost.Finished = []Placement{run[0].Place}
	a := c.HandleReport(now, ghost, allowAll)
	if j, _ := c.CommittedJob("job"); len(a.Counts) > 0 || j.Done.Count() > 0 || len(a.Recorded) != 1 {
		t.Errorf("a former placement counts: %+v", a)
	}
}

// A cancellation races the last task's end. The first one decides, and stays.
func TestCancelRacesFinish(t *testing.T) {
	for _, cancelFirst := range []bool{true, false} {
		c, run := newPlacedJob(t, 1)
		end := newReport("a", 0)
		end.Finished = []Placement{run[0].Place}
		cancel := func() { _ = c.Cancel(now, "job") }
		finish := func() { c.HandleReport(now, end, allowAll) }
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
			t.Errorf("cancelled first %t: %s", cancelFirst, j.State)
		}
	}
}

// A job is too large for every worker that it may use. It must be parked with the
// reason, not before every rack has spoken, and block nobody.
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
		t.Errorf("parked while a rack is silent: %s", j.State)
	}
	if run := c.HandleReport(now, newReport("a", 0), allowAll).Run; len(run) != 1 || run[0].Place.Job != "small" {
		t.Errorf("it blocks another: %v", run)
	}
	c.HandleReport(now, newReport("b", 0), allowAll)
	c.ParkAndExpire(now, []string{"a", "b"}, anywhere)
	commitRecord(t, c)
	if j, _ := c.CommittedJob("big"); j.State != StateParked || j.Why == "" {
		t.Errorf("never parked: %s %q", j.State, j.Why)
	}
}

// A submission is repeated, because its answer was lost; another job takes the same id.
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
		t.Errorf("another job with the id: %v", err)
	}
	for _, bad := range []Spec{{}, {ID: "a/b", Kind: "k", N: 1, Size: unit, Run: 1}, {ID: "x", Kind: "k", N: MaxTasks + 1, Size: unit, Run: 1}, {ID: "x", Kind: "k", N: 1, Size: unit, Run: 1, Rank: "top"}} {
		if err := c.Submit(now, bad); !errors.Is(err, ErrInvalidSpec) {
			t.Errorf("%+v: %v", bad, err)
		}
	}
}

func FuzzParsePlacement(f *testing.F) {
	f.Add("audit-7/3@12")
	f.Add("/@")
	f.Fuzz(func(t *testing.T, s string) {
		if p, ok := ParsePlacement(s); ok {
			if again, ok := ParsePlacement(p.String()); !ok || again != p {
				t.Errorf("%q is read as %+v and that as %+v", s, p, again)
			}
		}
	})
}

// Room is scarce while many tasks wait. The condition watch must be placed first, then
// what is urgent, whatever came before.
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
		t.Errorf("placed first: %v", run)
	}
	if n, urgent := c.CountWaiting(); n != 2 || urgent != 0 {
		t.Errorf("%d wait, %d of them urgent", n, urgent)
	}
}

package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// fakeClocks are the clocks of a machine.
type fakeClocks struct {
	monotonic time.Duration
	wall      time.Time
}

func (f *fakeClocks) read() (time.Duration, time.Time) { return f.monotonic, f.wall }

// pass lets time pass.
func (f *fakeClocks) pass(d time.Duration) {
	f.monotonic += d
	f.suspend(d)
}

// suspend suspends the machine.
func (f *fakeClocks) suspend(d time.Duration) { f.wall = f.wall.Add(d) }

func TestClock(t *testing.T) {
	for _, tt := range []struct {
		name string
		step func(f *fakeClocks)
		want time.Duration
	}{
		{"time passes", func(f *fakeClocks) { f.pass(time.Second) }, time.Second},
		{"suspended", func(f *fakeClocks) { f.suspend(time.Minute) }, time.Minute},
		{"wall clock set back", func(f *fakeClocks) {
			f.wall = f.wall.Add(-time.Hour)
			f.pass(time.Second)
		}, time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeClocks{wall: time.Unix(1e9, 0)}
			c := newClock(f.read)
			for i := range 3 {
				tt.step(f)
				if got, want := c.now(), time.Duration(i+1)*tt.want; got != want {
					t.Errorf("reading %s, want %s", got, want)
				}
			}
			f.suspend(time.Minute)
			if got, want := c.now(), 3*tt.want+time.Minute; got != want {
				t.Errorf("reading %s after another minute suspended, want %s", got, want)
			}
		})
	}
}

// Guards against a start that an agent makes long after its deadline, as its machine was suspended with it: the worker may
// have restarted, or been closed, meanwhile.
func TestStartInSuspendedAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		far := &recorder{out: sched.OutcomeDone}
		f := &fakeClocks{wall: time.Now()}
		s := NewService(far)
		s.clock = newClock(f.read)
		var opened OpenReply
		if err := s.Open(OpenArgs{"x"}, &opened); err != nil {
			t.Fatal(err)
		}
		o := testOrder(sched.VerbStart, "w")
		c := Call{ID: 1, Deadline: opened.Clock + maxOrderTransit, Order: &o}
		f.suspend(time.Minute)
		if err := s.Send(SendArgs{Session: "x", Calls: []Call{c}}, new(int)); err != nil {
			t.Fatal(err)
		}
		var got ReceiveReply
		if err := s.Receive(ReceiveArgs{"x"}, &got); err != nil {
			t.Fatal(err)
		}
		if _, orders := far.counts(); orders != 0 || len(got.Answers) != 1 || got.Answers[0].Outcome != sched.OutcomeUnsent {
			t.Errorf("%d starts made, answers %+v; want it unsent", orders, got.Answers)
		}
		s.Close()
	})
}

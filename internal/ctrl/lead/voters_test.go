package lead_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/fake/txkv"
)

// candidate is a process that may become the holder.
type candidate struct {
	*lead.Elector
	tenures chan *lead.Tenure
	mode    atomic.Pointer[txkv.Mode] // how the store treats it; nil: it is served
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// newCandidate starts a process at an address.
func newCandidate(service *txkv.Service, addr string) *candidate {
	c := &candidate{tenures: make(chan *lead.Tenure, 1)}
	client := service.Client(func() txkv.Mode {
		if m := c.mode.Load(); m != nil {
			return *m
		}
		return ""
	})
	c.Elector = lead.New(lead.Options{Store: client, Name: addr, Addr: addr, LeaseTTL: 1200 * time.Millisecond, Log: logr.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.wg.Go(func() {
		c.Run(ctx, func(t *lead.Tenure) {
			c.tenures <- t
			<-t.Context().Done()
		})
	})
	return c
}

// setSilent sets whether the store is silent for the process.
func (c *candidate) setSilent(silent bool) {
	mode := txkv.Mode("")
	if silent {
		mode = txkv.ModeSilent
	}
	c.mode.Store(&mode)
}

// stop ends the process without releasing its key.
func (c *candidate) stop() {
	c.cancel()
	c.wg.Wait()
}

// Guards against a successor that takes former holders for released: the next one has to know all of them.
func TestFormerElectoratesKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &txkv.Service{}
		a := newCandidate(service, "a")
		first := <-a.tenures
		if first.FormerReleasedAt().IsZero() {
			t.Error("the first holder has former ones")
		}
		if err := first.SetVoters([]lead.Voter{{Addr: "b", ID: "1"}, {Addr: "c", ID: "2"}}); err != nil {
			t.Fatal(err)
		}
		a.stop()
		b := newCandidate(service, "b")
		second := <-b.tenures
		if err := second.SetVoters([]lead.Voter{{Addr: "d", ID: "3"}}); err != nil {
			t.Fatal(err)
		}
		b.stop()
		c := newCandidate(service, "c")
		third := <-c.tenures
		if got := third.FormerElectorates(); len(got) != 2 || got[0].Holder != a.Self() || got[1].Holder != b.Self() || !third.FormerReleasedAt().IsZero() {
			t.Fatalf("former electorates %v, want those of both", got)
		}
		if got, want := third.Electorates()[0].Voters, []lead.Voter{b.Self(), {Addr: "d", ID: "3"}}; !slices.Equal(got, want) {
			t.Errorf("voters %v after the claim, want %v", got, want)
		}
		third.ReleaseFormer(time.Now())
		if err := third.SetVoters(third.Electorates()[0].Voters); err != nil {
			t.Fatal(err)
		}
		c.stop()
		d := newCandidate(service, "d")
		defer d.stop()
		if got := (<-d.tenures).FormerElectorates(); len(got) != 1 || got[0].Holder != c.Self() {
			t.Errorf("former electorates %v, want that of the third holder", got)
		}
	})
}

// Guards against a holder that is confirmed by voters that the store doesn't name, or no longer: a write of them may or
// may not have been carried out.
func TestElectoratesBeingStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &txkv.Service{}
		a := newCandidate(service, "a")
		defer a.stop()
		tenure := <-a.tenures
		if err := tenure.SetVoters([]lead.Voter{{Addr: "b", ID: "1"}}); err != nil {
			t.Fatal(err)
		}
		a.setSilent(true)
		done := make(chan error)
		go func() { done <- tenure.SetVoters([]lead.Voter{{Addr: "c", ID: "2"}}) }()
		time.Sleep(5 * time.Second)
		if got := tenure.Electorates(); len(got) != 2 || got[0].Voters[0].Addr != "b" || got[1].Voters[0].Addr != "c" {
			t.Errorf("electorates %v, want the stored one and the one that is being stored", got)
		}
		a.setSilent(false)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if got := tenure.Electorates(); len(got) != 1 || got[0].Voters[0].Addr != "c" {
			t.Errorf("electorates %v, want the one that was stored", got)
		}
	})
}

// Guards against a holder that goes on though it has heard of its successor.
func TestPromiseEndsOlderTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newCandidate(&txkv.Service{}, "a")
		defer a.stop()
		tenure := <-a.tenures
		a.setSilent(true)
		a.Promise(tenure.Term())
		if tenure.Context().Err() != nil {
			t.Fatal("the tenure has ended by its own term")
		}
		a.Promise(tenure.Term() + 1)
		if tenure.Context().Err() == nil || a.NewestTerm() != tenure.Term()+1 {
			t.Errorf("the tenure goes on, with the newest term %d", a.NewestTerm())
		}
	})
}

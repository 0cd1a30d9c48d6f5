package lead_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/fake/txkv"
)

// runElection starts one process for each capacity, with a load in the store and the holder's key vacant. It returns the
// index of the process that claims the key and the time until then, and fails the test if another one claims it later.
func runElection(t *testing.T, load string, capacities ...int) (int, time.Duration) {
	s := &txkv.Service{}
	if load != "" {
		s.Put("lead/load", []byte(load))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	start := time.Now()
	claimed := make(chan int, len(capacities))
	for i, capacity := range capacities {
		elector := lead.New(lead.Options{Store: s.Client(nil), Name: fmt.Sprint(i), LeaseTTL: time.Second, Log: logr.Discard(), Capacity: func() int { return capacity }})
		wg.Go(func() {
			elector.Run(ctx, func(t *lead.Tenure) {
				claimed <- i
				<-t.Context().Done()
			})
		})
	}
	first := <-claimed
	took := time.Since(start)
	time.Sleep(3 * time.Second)
	if len(claimed) > 0 {
		t.Errorf("process %d claimed the key held by process %d", <-claimed, first)
	}
	cancel()
	wg.Wait()
	return first, took
}

// When all processes see a vacant key at the same time, one with enough capacity for the load must claim it before those
// that would be overloaded. If no process has enough capacity, or load or capacity isn't known, the key must not stay
// vacant for longer.
func TestClaimDelay(t *testing.T) {
	const atOnce = 200 * time.Millisecond
	for _, tt := range []struct {
		name       string
		load       string
		capacities []int
		first      int // -1: any
		within     time.Duration
	}{
		{"load not known", "", []int{1, 1, 1, 1}, -1, atOnce},
		{"no load", "0", []int{1, 1, 1, 1}, -1, atOnce},
		{"invalid load", "x", []int{1, 1, 1, 1}, -1, atOnce},
		{"capacities not known", "350", []int{0, 0, 0, 0}, -1, atOnce},
		{"all have enough capacity", "350", []int{350, 400, 666}, -1, atOnce},
		{"one has enough capacity", "350", []int{91, 91, 91, 91, 91, 666, 91}, 5, atOnce},
		{"none has enough capacity", "350", []int{91, 91, 200, 91, 91}, 2, time.Second},
		{"next to no capacity", "350", []int{1}, 0, 700 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, took := runElection(t, tt.load, tt.capacities...)
				if tt.first >= 0 && first != tt.first {
					t.Errorf("process %d claimed the key, want process %d", first, tt.first)
				}
				if took > tt.within {
					t.Errorf("claim took %s, want %s at most", took, tt.within)
				}
			})
		})
	}
}

// The load becomes known only after a process has started to watch the key, as the workers have joined since. The process
// must delay its claim as if it had known the load before, and must learn of a new holder at once.
func TestClaimDelayLoadKnownLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &txkv.Service{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		s.Put("lead/holder", []byte(`{"name":"old","term":1}`))
		s.Put("lead/term", []byte("1"))
		elector := lead.New(lead.Options{Store: s.Client(nil), Name: "weak", LeaseTTL: time.Second, Log: logr.Discard(), Capacity: func() int { return 91 }})
		wg.Go(func() { elector.Run(ctx, func(t *lead.Tenure) { <-t.Context().Done() }) })
		time.Sleep(time.Second)
		s.Put("lead/load", []byte("350"))
		s.RemoveKey("lead/holder")
		time.Sleep(300 * time.Millisecond)
		if h, _ := elector.Holder(); h.Name != "" {
			t.Errorf("holder %q during the claim delay, want none", h.Name)
		}
		s.Put("lead/holder", []byte(`{"name":"strong","term":2}`))
		time.Sleep(20 * time.Millisecond)
		if h, _ := elector.Holder(); h.Name != "strong" {
			t.Errorf("holder %q, want strong", h.Name)
		}
		s.RemoveKey("lead/holder")
		time.Sleep(1200 * time.Millisecond)
		if h, _ := elector.Holder(); h.Name != "weak" {
			t.Errorf("holder %q, want weak", h.Name)
		}
		cancel()
		wg.Wait()
	})
}

// The capacity of a machine may drop after its process has started. The process must claim with its present capacity, or
// a machine that has become slow wins the race for a lost holder's key and is overloaded.
func TestClaimDelaySlowedProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &txkv.Service{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		s.Put("lead/holder", []byte(`{"name":"old","term":1}`))
		s.Put("lead/term", []byte("1"))
		s.Put("lead/load", []byte("350"))
		var slowed atomic.Bool
		var unslowed *lead.Elector
		for i := range 8 {
			elector := lead.New(lead.Options{Store: s.Client(nil), Name: fmt.Sprint(i), LeaseTTL: time.Second, Log: logr.Discard(), Capacity: func() int {
				if i > 0 && slowed.Load() {
					return 91
				}
				return 666
			}})
			if i == 0 {
				unslowed = elector
			}
			wg.Go(func() { elector.Run(ctx, func(t *lead.Tenure) { <-t.Context().Done() }) })
		}
		time.Sleep(time.Second)
		slowed.Store(true)
		s.RemoveKey("lead/holder")
		time.Sleep(2 * time.Second)
		if h, _ := unslowed.Holder(); h.Name != "0" {
			t.Errorf("holder %q, want 0, the only process that isn't slowed", h.Name)
		}
		cancel()
		wg.Wait()
	})
}

// A process that is about to stop, or has handed over, suspends its claims. It must watch the key in the meantime, as its
// callers are refused until it knows the next holder; a process that slept through the suspension and polled the store
// only then would refuse them for all that time.
func TestSuspendedClaimsWatchHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &txkv.Service{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		elector := lead.New(lead.Options{Store: s.Client(nil), Name: "suspended", LeaseTTL: time.Second, Log: logr.Discard()})
		elector.SuspendClaims(5 * time.Second)
		wg.Go(func() { elector.Run(ctx, func(t *lead.Tenure) { <-t.Context().Done() }) })
		time.Sleep(time.Second)
		s.Put("lead/holder", []byte(`{"name":"next","term":2}`))
		time.Sleep(20 * time.Millisecond)
		if h, _ := elector.Holder(); h.Name != "next" {
			t.Errorf("holder %q, want next", h.Name)
		}
		s.RemoveKey("lead/holder")
		time.Sleep(2 * time.Second)
		if h, _ := elector.Holder(); h.Name != "" {
			t.Errorf("holder %q while claims are suspended, want none", h.Name)
		}
		time.Sleep(2500 * time.Millisecond)
		if h, _ := elector.Holder(); h.Name != "suspended" {
			t.Errorf("holder %q after the suspension, want suspended", h.Name)
		}
		cancel()
		wg.Wait()
	})
}

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
	"bramleysail.example/bramleysail/internal/fake/multi"
)

// runElection starts processes that carry so much, with a load in the store, and returns who claims, by
// its number, and after what time. The key is vacant from the start on.
func runElection(t *testing.T, load string, carries ...int) (int, time.Duration) {
	s := &multi.Service{}
	if load != "" {
		s.Put("lead/load", []byte(load))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	began := time.Now()
	won := make(chan int, len(carries))
	for i, c := range carries {
		l := lead.New(lead.Options{Store: s.Client(nil), Name: fmt.Sprint(i), LeaseTTL: time.Second, Log: logr.Discard(), Capacity: func() int { return c }})
		wg.Go(func() {
			l.Run(ctx, func(t *lead.Tenure) {
				won <- i
				<-t.Context().Done()
			})
		})
	}
	first := <-won
	took := time.Since(began)
	time.Sleep(3 * time.Second)
	if len(won) > 0 {
		t.Errorf("%d took the key of %d", <-won, first)
	}
	cancel()
	wg.Wait()
	return first, took
}

// All processes start at once, or see the holder lost: whoever can carry the load claims, before
// those that would starve under it. Where nobody can or nothing is known, the key mustn't stay
// vacant for it.
func TestClaimDelay(t *testing.T) {
	const atOnce = 200 * time.Millisecond
	for _, tt := range []struct {
		name    string
		load    string
		carries []int
		first   int // -1: any
		within  time.Duration
	}{
		{"no load known", "", []int{1, 1, 1, 1}, -1, atOnce},
		{"load of none", "0", []int{1, 1, 1, 1}, -1, atOnce},
		{"load not understood", "x", []int{1, 1, 1, 1}, -1, atOnce},
		{"nobody knows what it carries", "350", []int{0, 0, 0, 0}, -1, atOnce},
		{"all carry it", "350", []int{350, 400, 666}, -1, atOnce},
		{"one carries it", "350", []int{91, 91, 91, 91, 91, 666, 91}, 5, atOnce},
		{"nobody carries it", "350", []int{91, 91, 200, 91, 91}, 2, time.Second},
		{"one that carries next to nothing", "350", []int{1}, 0, 700 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, took := runElection(t, tt.load, tt.carries...)
				if tt.first >= 0 && first != tt.first {
					t.Errorf("%d claims, want %d", first, tt.first)
				}
				if took > tt.within {
					t.Errorf("it takes %s, want %s at most", took, tt.within)
				}
			})
		})
	}
}

// The load becomes known only after a process has begun to follow: the workers have joined since.
// It is as patient then as with the load known before, and hears of the new holder at once.
func TestClaimDelayLoadKnownLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &multi.Service{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		s.Put("lead/holder", []byte(`{"name":"old","term":1}`))
		s.Put("lead/term", []byte("1"))
		l := lead.New(lead.Options{Store: s.Client(nil), Name: "weak", LeaseTTL: time.Second, Log: logr.Discard(), Capacity: func() int { return 91 }})
		wg.Go(func() { l.Run(ctx, func(t *lead.Tenure) { <-t.Context().Done() }) })
		time.Sleep(time.Second)
		s.Put("lead/load", []byte("350"))
		s.Revoke("lead/holder")
		time.Sleep(300 * time.Millisecond)
		if h, _ := l.Holder(); h.Name != "" {
			t.Errorf("%s claims", h.Name)
		}
		s.Put("lead/holder", []byte(`{"name":"strong","term":2}`))
		time.Sleep(20 * time.Millisecond)
		if h, _ := l.Holder(); h.Name != "strong" {
			t.Errorf("holder %q, want strong", h.Name)
		}
		s.Revoke("lead/holder")
		time.Sleep(1200 * time.Millisecond)
		if h, _ := l.Holder(); h.Name != "weak" {
			t.Errorf("holder %q, want weak", h.Name)
		}
		cancel()
		wg.Wait()
	})
}

// A machine that has turned slow wins the race for the key of a lost holder, as it carries the load by what it
// was when its process started, and starves under it.
func TestClaimDelaySlowedProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &multi.Service{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		s.Put("lead/holder", []byte(`{"name":"old","term":1}`))
		s.Put("lead/term", []byte("1"))
		s.Put("lead/load", []byte("350"))
		var slowed atomic.Bool
		var sound *lead.Elector
		for i := range 8 {
			l := lead.New(lead.Options{Store: s.Client(nil), Name: fmt.Sprint(i), LeaseTTL: time.Second, Log: logr.Discard(), Capacity: func() int {
				if i > 0 && slowed.Load() {
					return 91
				}
				return 666
			}})
			if i == 0 {
				sound = l
			}
			wg.Go(func() { l.Run(ctx, func(t *lead.Tenure) { <-t.Context().Done() }) })
		}
		time.Sleep(time.Second)
		slowed.Store(true)
		s.Revoke("lead/holder")
		time.Sleep(2 * time.Second)
		if h, _ := sound.Holder(); h.Name != "0" {
			t.Errorf("holder %q, want the one that isn't slowed", h.Name)
		}
		cancel()
		wg.Wait()
	})
}

// A process that is about to stop, or has handed over, rests from claiming. Its callers are refused until it
// knows of the next holder: it slept through its rest and polled the store only then.
func TestSuspendedClaimsWatchHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &multi.Service{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		l := lead.New(lead.Options{Store: s.Client(nil), Name: "resting", LeaseTTL: time.Second, Log: logr.Discard()})
		l.SuspendClaims(5 * time.Second)
		wg.Go(func() { l.Run(ctx, func(t *lead.Tenure) { <-t.Context().Done() }) })
		time.Sleep(time.Second)
		s.Put("lead/holder", []byte(`{"name":"next","term":2}`))
		time.Sleep(20 * time.Millisecond)
		if h, _ := l.Holder(); h.Name != "next" {
			t.Errorf("holder %q, want next", h.Name)
		}
		s.Revoke("lead/holder")
		time.Sleep(2 * time.Second)
		if h, _ := l.Holder(); h.Name != "" {
			t.Errorf("%s claims while it rests", h.Name)
		}
		time.Sleep(2500 * time.Millisecond)
		if h, _ := l.Holder(); h.Name != "resting" {
			t.Errorf("holder %q after the rest", h.Name)
		}
		cancel()
		wg.Wait()
	})
}

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

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
	"bramleysail.example/bramleysail/internal/fake/multi"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// clientTimeout is the time after which a host's client gives a call of the store up.
const clientTimeout = time.Second

// silentStore is a way to the store on which some renewals get no answer, as on a connection that has gone
// silentStore: the next one is made on a new connection.
type silentStore struct {
	store.Multi
	unanswered atomic.Int64 // renewals to come that get none
}

func (s *silentStore) Renew(ctx context.Context, lease string) error {
	if s.unanswered.Add(-1) >= 0 {
		wait.For(ctx, clientTimeout)
		return store.ErrUnknown
	}
	return s.Multi.Renew(ctx, lease)
}

// The store answers each call within half a lease, which is slow and no more: the holder keeps its key, and its last
// confirmation is never older than a call and the pause between two.
func TestSlowRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &multi.Service{}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var wg sync.WaitGroup
		held := make(chan *lead.Tenure, 10)
		l := lead.New(lead.Options{Store: service.Client(nil), Name: "a", Addr: "a", LeaseTTL: 1200 * time.Millisecond, Log: logr.Discard()})
		wg.Go(func() {
			l.Run(ctx, func(t *lead.Tenure) {
				held <- t
				<-t.Context().Done()
			})
		})
		tenure := <-held
		time.Sleep(time.Second)
		const delay = 600 * time.Millisecond
		service.SetDelay(delay)
		time.Sleep(2 * time.Second)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if age := time.Since(tenure.ConfirmedAt()); age > delay+300*time.Millisecond {
				t.Fatalf("last confirmed %v ago", age)
			}
		}
		if len(held) > 0 {
			t.Error("the holder lost its key")
		}
		cancel()
		wg.Wait()
	})
}

// A holder's connection to the store goes silent, without a reset. Its renewal hung for as long as a call may
// take, which is nearly the whole lease: it lost its key, and all workers were taken over by
// another host for nothing. The next renewal, on a new connection, comes in time.
func TestSilentRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &multi.Service{}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var wg sync.WaitGroup
		var ways []*silentStore
		var terms sync.Map
		for i := range 2 {
			way := &silentStore{Multi: service.Client(nil)}
			ways = append(ways, way)
			l := lead.New(lead.Options{Store: way, Name: fmt.Sprint(i), Addr: fmt.Sprint(i), LeaseTTL: 1200 * time.Millisecond, Log: logr.Discard()})
			wg.Go(func() {
				l.Run(ctx, func(t *lead.Tenure) {
					terms.Store(t.Term(), true)
					<-t.Context().Done()
				})
			})
		}
		for range 20 {
			time.Sleep(1700 * time.Millisecond)
			for _, w := range ways {
				w.unanswered.Store(1)
			}
		}
		cancel()
		wg.Wait()
		n := 0
		terms.Range(func(any, any) bool { n++; return true })
		if n != 1 {
			t.Errorf("%d terms while single renewals got no answer, want one", n)
		}
	})
}

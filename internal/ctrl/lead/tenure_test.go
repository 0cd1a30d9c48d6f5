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
	"bramleysail.example/bramleysail/internal/fake/txkv"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// clientTimeout is the time after which a host's client abandons a call to the store.
const clientTimeout = time.Second

// silentStore is a store client on which some renewals get no answer, as on a connection that has stopped responding.
// The next renewal works, as on a new connection.
type silentStore struct {
	store.TxnStore
	unanswered atomic.Int64 // number of renewals to come that get no answer
}

// RenewLease implements store.TxnStore.
func (s *silentStore) RenewLease(ctx context.Context, lease string) error {
	if s.unanswered.Add(-1) >= 0 {
		wait.For(ctx, clientTimeout)
		return store.ErrOutcomeUnknown
	}
	return s.TxnStore.RenewLease(ctx, lease)
}

// A slow store answers each call after half the lease's TTL. The holder must keep its key, and its last confirmation must
// never be older than the duration of a call plus the interval between two renewals.
func TestSlowRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &txkv.Service{}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var wg sync.WaitGroup
		tenures := make(chan *lead.Tenure, 10)
		elector := lead.New(lead.Options{Store: service.Client(nil), Name: "a", Addr: "a", LeaseTTL: 1200 * time.Millisecond, Log: logr.Discard()})
		wg.Go(func() {
			elector.Run(ctx, func(t *lead.Tenure) {
				tenures <- t
				<-t.Context().Done()
			})
		})
		tenure := <-tenures
		time.Sleep(time.Second)
		const delay = 600 * time.Millisecond
		service.SetCallDelay(delay)
		time.Sleep(2 * time.Second)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if age := time.Since(tenure.ConfirmedAt()); age > delay+300*time.Millisecond {
				t.Fatalf("last confirmation is %v old", age)
			}
		}
		if len(tenures) > 0 {
			t.Error("the holder lost its key")
		}
		cancel()
		wg.Wait()
	})
}

// A holder's connection to the store stops responding without a reset, so that a renewal hangs until the client's
// timeout, which is nearly the whole lease. The holder must not lose its key, which would make another host take over all
// workers without need: the next renewal, on a new connection, must be in time.
func TestSilentRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &txkv.Service{}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var wg sync.WaitGroup
		var clients []*silentStore
		var terms sync.Map
		for i := range 2 {
			client := &silentStore{TxnStore: service.Client(nil)}
			clients = append(clients, client)
			elector := lead.New(lead.Options{Store: client, Name: fmt.Sprint(i), Addr: fmt.Sprint(i), LeaseTTL: 1200 * time.Millisecond, Log: logr.Discard()})
			wg.Go(func() {
				elector.Run(ctx, func(t *lead.Tenure) {
					terms.Store(t.Term(), true)
					<-t.Context().Done()
				})
			})
		}
		for range 20 {
			time.Sleep(1700 * time.Millisecond)
			for _, client := range clients {
				client.unanswered.Store(1)
			}
		}
		cancel()
		wg.Wait()
		n := 0
		terms.Range(func(any, any) bool { n++; return true })
		if n != 1 {
			t.Errorf("%d terms while single renewals got no answer, want 1", n)
		}
	})
}

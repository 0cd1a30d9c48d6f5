package store_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	fakestore "bramleysail.example/bramleysail/internal/fake/store"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// op is the input or the output of one operation on a register: a read, or a compare-and-swap.
type op struct {
	swap      bool   // input: a compare-and-swap, not a read
	from, to  string // input of a swap: the expected and the new value
	succeeded bool   // output of a swap
	read      string // output of a read: the value
}

// register is the sequential model of one register with reads and compare-and-swaps.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		i, o := in.(op), out.(op)
		switch {
		case !i.swap:
			return o.read == state, state
		case o.succeeded:
			return i.from == state, i.to
		}
		// A swap that reports a conflict has changed nothing; the state isn't the value it expected.
		return i.from != state, state
	},
}

// TestSwapWithRetry lets several writers race on one key while answers are lost after the write
// took effect. It guards against lost answers that are resolved wrongly: two operators are both
// told that their change succeeded, or one is told that its change failed while it is in force. The
// history of all operations must be linearizable as that of one register.
func TestSwapWithRetry(t *testing.T) {
	defer goleak.VerifyNone(t)
	fake := &fakestore.Store{}
	srv := httptest.NewServer(fake.Handler())
	defer srv.Close()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	began := time.Now()
	for w := range 4 {
		wg.Go(func() {
			s := store.NewHTTP(srv.URL, 5*time.Second)
			for i := range 12 {
				if i%3 == 0 {
					fake.LoseAnswers(1)
				}
				id := fmt.Sprintf("<%d-%d>", w, i)
				read := porcupine.Operation{ClientId: w, Input: op{}, Call: int64(time.Since(began))}
				e, err := s.Get(context.Background(), "k")
				if err != nil && !errors.Is(err, store.ErrNotFound) {
					t.Error(err)
					return
				}
				read.Output, read.Return = op{read: string(e.Value)}, int64(time.Since(began))
				value := string(e.Value) + id
				swap := porcupine.Operation{ClientId: w, Input: op{swap: true, from: string(e.Value), to: value}, Call: int64(time.Since(began))}
				err = store.SwapWithRetry(context.Background(), s, "k", []byte(value), e.Rev, func(stored []byte) bool { return strings.Contains(string(stored), id) })
				if err != nil && !errors.Is(err, store.ErrConflict) {
					t.Error(err)
					return
				}
				swap.Output, swap.Return = op{succeeded: err == nil}, int64(time.Since(began))
				mu.Lock()
				history = append(history, read, swap)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if !porcupine.CheckOperations(register, history) {
		t.Error("the history is not linearizable as that of one register")
	}
}

// TestOutage makes the service unreachable for a while. Calls in that time must return an unknown
// outcome, and a lease that couldn't be renewed meanwhile must not be lost for that reason alone.
func TestOutage(t *testing.T) {
	fake := &fakestore.Store{}
	srv := httptest.NewServer(fake.Handler())
	defer srv.Close()
	s := store.NewHTTP(srv.URL, time.Second)
	ctx := context.Background()
	lease, err := s.OpenLease(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Acquire(ctx, lease, "m/a", []byte("x")); err != nil {
		t.Fatal(err)
	}
	fake.SetDown(true)
	if err := s.Swap(ctx, "k", []byte("v"), 0); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Errorf("swap while the service is unreachable: %v, want ErrOutcomeUnknown", err)
	}
	fake.SetDown(false)
	if err := s.RenewLease(ctx, lease); err != nil {
		t.Errorf("renewing the lease after the outage: %v", err)
	}
	if err := s.CloseLease(ctx, lease); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Get(ctx, "m/a"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("reading a key whose lease is closed: %v, want ErrNotFound", err)
	}
	if err := s.RenewLease(ctx, lease); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("renewing a closed lease: %v, want ErrLeaseNotFound", err)
	}
}

package wait_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
)

func TestFor(t *testing.T) {
	for _, tt := range []struct {
		name     string
		ctxEnded bool
		d        time.Duration
		want     bool
	}{
		{"future", false, time.Millisecond, true},
		{"now", false, 0, true},
		{"past", false, -time.Second, true},
		{"future, context ended", true, time.Hour, false},
		{"now, context ended", true, 0, false},
		{"past, context ended", true, -time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tt.ctxEnded {
					cancel()
				}
				if got := wait.For(ctx, tt.d); got != tt.want {
					t.Errorf("For(%v) = %v, want %v", tt.d, got, tt.want)
				}
			})
		})
	}
}

// TestForPastByMany guards against expired timers in a synctest bubble: goroutines that select on such
// timers at the same time crash the race detector's runtime.
func TestForPastByMany(t *testing.T) {
	const goroutines = 200
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() {
				for range goroutines {
					wait.For(t.Context(), -time.Millisecond)
				}
			})
		}
		wg.Wait()
	})
}

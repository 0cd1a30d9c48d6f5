package wait_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
)

func TestTicker(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name string
		busy []time.Duration // between two receives
		want []time.Duration // when the received ticks were due
	}{
		{"receiver waits", []time.Duration{0, 0, 0}, []time.Duration{10 * ms, 20 * ms, 30 * ms}},
		{"receiver is busy for less than an interval", []time.Duration{0, 9 * ms, 9 * ms}, []time.Duration{10 * ms, 20 * ms, 30 * ms}},
		{"a tick is kept, further ones are dropped", []time.Duration{0, 35 * ms, 0}, []time.Duration{10 * ms, 20 * ms, 50 * ms}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				tick := wait.NewTicker(10 * ms)
				defer tick.Stop()
				var got []time.Duration
				for _, busy := range tt.busy {
					time.Sleep(busy)
					got = append(got, (<-tick.C()).Sub(began))
				}
				if !slices.Equal(got, tt.want) {
					t.Errorf("ticks due at %v, want %v", got, tt.want)
				}
			})
		})
	}
}

func TestTickerStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tick := wait.NewTicker(time.Second)
		tick.Stop()
		select {
		case <-tick.C():
			t.Error("a stopped ticker has ticked")
		case <-time.After(time.Minute):
		}
	})
}

// Guards against ticks that are delivered by their receivers: in a synctest bubble, two at once crash the race detector's
// runtime.
func TestTickersOfBusyReceivers(t *testing.T) {
	const receivers, ticks = 200, 200
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range receivers {
			wg.Go(func() {
				tick := wait.NewTicker(time.Millisecond)
				defer tick.Stop()
				for range ticks {
					<-tick.C()
					time.Sleep(3 * time.Millisecond)
					select {
					case <-tick.C():
					default:
					}
				}
			})
		}
		wg.Wait()
	})
}

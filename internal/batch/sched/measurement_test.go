package sched_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against a holder whose tenure ends with each write of the model, as a worker reports a measurement that isn't possible.
func TestImpossibleMeasurement(t *testing.T) {
	for _, tt := range []struct {
		use  float64
		tail time.Duration
	}{
		{1e308, 10 * time.Millisecond}, {math.Inf(1), 10 * time.Millisecond}, {math.NaN(), 10 * time.Millisecond}, {-1e308, 10 * time.Millisecond},
		{3000, math.MinInt64}, {3000, math.MaxInt64},
	} {
		t.Run(fmt.Sprint(tt.use, tt.tail), func(t *testing.T) {
			b, critical, bestEffort := newColocated(t)
			for range 5 {
				b.reportMeasurements(critical, bestEffort, tt.tail, tt.use)
				b.planOrders(sched.VerbThrottle)
			}
			if _, err := b.core.EncodeModel(); err != nil {
				t.Error(err)
			}
		})
	}
}

package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an answer that is given up although it came in time and is only read late, and against a wait for one that
// doesn't come.
func TestAnswerBound(t *testing.T) {
	for _, tt := range []struct {
		name  string
		begin time.Duration // when the answer begins; 0: never
		late  time.Duration // lateness of the first look beyond its time
		want  time.Duration // when the context ends
	}{
		{"no answer", 0, 0, time.Second},
		{"answer in time", 900 * time.Millisecond, 0, 3 * time.Second},
		{"answer too late", 1100 * time.Millisecond, 0, time.Second},
		{"look is late, answer was read meanwhile", 1100 * time.Millisecond, 200 * time.Millisecond, 3 * time.Second},
		{"look is late, no answer", 0, 200 * time.Millisecond, 1400 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				begin := time.Second
				if tt.late > 0 {
					begin = time.Minute // the first look is made below
				}
				ctx, b := WithAnswerBound(context.Background(), begin, 3*time.Second)
				defer b.Stop()
				if tt.begin > 0 {
					time.AfterFunc(tt.begin, b.Begin)
				}
				if tt.late > 0 {
					time.AfterFunc(time.Second+tt.late, func() { b.look(tt.late) })
				}
				<-ctx.Done()
				if got := time.Since(start); got != tt.want {
					t.Errorf("the context ends after %v, want %v", got, tt.want)
				}
			})
		})
	}
}

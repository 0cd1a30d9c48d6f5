package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether ctx has not ended. It doesn't wait if d is zero or less.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}

// Wake wakes the goroutine that receives from c. If none is waiting, the next receive returns at once. Wake
// never blocks. The capacity of c must be 1.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

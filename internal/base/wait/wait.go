package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx lasted that long. A d of zero or less is over at once.
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

// Wake wakes whoever waits on c, a channel with room for one, or has it woken as it next waits; it never blocks.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

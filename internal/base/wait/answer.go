package wait

import (
	"context"
	"sync/atomic"
	"time"
)

// minLateness is how late a look for an answer has to be for this process to count as short of processor time.
const minLateness = 20 * time.Millisecond

// AnswerBound bounds the wait for an answer: its beginning has to come within one time, all of it within a longer one.
//
// A process that is short of processor time reads late what came in time. An answer that has begun is waited for, and as
// long as the looks for it are late themselves, it may have begun.
type AnswerBound struct {
	ctx    context.Context // ends the looks
	cancel context.CancelFunc
	begun  atomic.Bool
}

// WithAnswerBound returns a context that ends with parent, after total, or after begin if Begin wasn't called by then. Stop
// must be called.
func WithAnswerBound(parent context.Context, begin, total time.Duration) (context.Context, *AnswerBound) {
	ctx, cancel := context.WithTimeout(parent, total)
	b := &AnswerBound{ctx: ctx, cancel: cancel}
	b.lookAfter(begin)
	return ctx, b
}

// Begin notes that the answer has begun.
func (b *AnswerBound) Begin() { b.begun.Store(true) }

// Stop ends the context.
func (b *AnswerBound) Stop() { b.cancel() }

// lookAfter looks after a time whether the answer has begun.
func (b *AnswerBound) lookAfter(d time.Duration) {
	due := time.Now().Add(d)
	t := time.AfterFunc(d, func() { b.look(time.Since(due)) })
	context.AfterFunc(b.ctx, func() { t.Stop() })
}

// look ends the context unless the answer has begun, or the look is so late that it may have.
func (b *AnswerBound) look(late time.Duration) {
	switch {
	case b.begun.Load():
	case late < minLateness:
		b.cancel()
	default:
		b.lookAfter(late)
	}
}

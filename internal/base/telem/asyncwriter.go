package telem

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer of log lines that never blocks its callers: lines wait in a queue of
// bounded length, and those that find it full are dropped, counted, and told about later.
type AsyncWriter struct {
	queue     chan []byte
	dropped   atomic.Int64
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

const (
	// queueLength is how many lines may wait: a second's worth on a busy day.
	queueLength = 2000
	// flushInterval is how long lines are gathered to be written together.
	flushInterval = 20 * time.Millisecond
)

// NewAsyncWriter returns a writer to w; Close writes what waits.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	l := &AsyncWriter{queue: make(chan []byte, queueLength), closing: make(chan struct{}), done: make(chan struct{})}
	go l.writeLoop(w)
	return l
}

// Write takes one line; it always succeeds.
func (l *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case l.queue <- line:
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the lines that wait and ends the writer. Nothing may be written after it.
func (l *AsyncWriter) Close() error {
	l.closeOnce.Do(func() {
		close(l.closing)
		close(l.queue)
	})
	<-l.done
	return nil
}

func (l *AsyncWriter) writeLoop(w io.Writer) {
	defer close(l.done)
	b := bufio.NewWriter(w)
	for line := range l.queue {
		if n := l.dropped.Swap(0); n > 0 {
			fmt.Fprintf(b, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
		}
		_, _ = b.Write(line) // there is nowhere to tell of a log that can't be written
		if len(l.queue) == 0 {
			_ = b.Flush()
			select {
			case <-l.closing:
			case <-time.After(flushInterval):
			}
		}
	}
	_ = b.Flush()
}

package telem

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer of log lines that never blocks its callers. Lines wait in a queue of
// bounded length. When the queue is full, lines are dropped; their number is logged later.
type AsyncWriter struct {
	queue     chan []byte   // lines to write
	dropped   atomic.Int64  // lines dropped since the last line that logged their number
	closing   chan struct{} // closed by Close, so that the write loop doesn't wait any longer
	done      chan struct{} // closed when the write loop has ended
	closeOnce sync.Once
}

const (
	// queueLength is how many lines may wait: those of one second under high load.
	queueLength = 2000
	// flushInterval is how long lines are collected to be written together.
	flushInterval = 20 * time.Millisecond
)

// NewAsyncWriter returns a writer that writes lines to w in the background until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	l := &AsyncWriter{queue: make(chan []byte, queueLength), closing: make(chan struct{}), done: make(chan struct{})}
	go l.writeLoop(w)
	return l
}

// Write queues one line, or drops it if the queue is full. It never returns an error.
func (l *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case l.queue <- line:
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines and ends the background writing. Write must not be called after it.
func (l *AsyncWriter) Close() error {
	l.closeOnce.Do(func() {
		close(l.closing)
		close(l.queue)
	})
	<-l.done
	return nil
}

// writeLoop writes queued lines until the queue is closed. It flushes whenever the queue is empty.
func (l *AsyncWriter) writeLoop(w io.Writer) {
	defer close(l.done)
	b := bufio.NewWriter(w)
	for line := range l.queue {
		if n := l.dropped.Swap(0); n > 0 {
			fmt.Fprintf(b, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
		}
		_, _ = b.Write(line) // a failure to write the log can't be reported anywhere
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

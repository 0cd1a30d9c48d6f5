package world3

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the record of a case: what was sent, answered and run, and what broke a rule.
type Record struct {
	mu     sync.Mutex
	f      *os.File
	start  time.Time
	broken int
}

// NewRecord begins record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{f: f, start: time.Now()}, nil
}

// Note writes a line.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Broken writes a line for a broken rule.
func (r *Record) Broken(format string, args ...any) {
	r.Note("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

// Count returns how many lines tell of a broken rule.
func (r *Record) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// Trouble reports whether the script brings about its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

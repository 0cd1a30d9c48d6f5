package world3

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Site is a small deployment: the store, the runners and the entry processes.
type Site struct {
	Store *Store
	Fleet *Fleet
	Hosts []*Host
	Rec   *Record
	dir   string
}

// The route by which clients reach the service.
var (
	Service = "adopt"
	Queue   = Route{Name: "r-books", Host: "books.example", Prefix: "/books/", Service: "adopt", Priority: 0, MaxAttempts: 4, StretchFactor: 2, TargetLatencyMs: 1000}
)

// exitUnable is the exit code of a case that couldn't run.
const exitUnable = 2

// NewSite prepares a deployment whose record stands in the folder that the first argument names.
func NewSite(hosts, runners, cpu, mem int, b Bounds) *Site {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		os.Exit(exitUnable)
	}
	s := &Site{Store: NewStore()}
	var err error
	if s.Rec, err = NewRecord(os.Args[1]); err != nil {
		s.unable(err)
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		s.unable(err)
	}
	s.Fleet = NewFleet(runners, Service, cpu, mem, s.Store, b, s.Rec)
	if s.Hosts, err = NewHosts(hosts, s.dir, s.Store, b, s.Rec); err != nil {
		s.unable(err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		s.unable(fmt.Errorf("stopped by a signal"))
	}()
	return s
}

// Start starts the runners and the entry processes and waits until all are ready.
func (s *Site) Start() {
	WriteConfig(s.Store, 3, []Route{Queue}, Service, s.Fleet.Guards)
	for _, r := range s.Fleet.Runners {
		if err := r.Start(); err != nil {
			s.unable(err)
		}
	}
	for _, h := range s.Hosts {
		if err := h.Start(); err != nil {
			s.unable(err)
		}
	}
	for _, h := range s.Hosts {
		if !h.AwaitReady(20 * time.Second) {
			s.unable(fmt.Errorf("%s isn't ready", h.Name))
		}
	}
	s.Rec.Note("all ready")
}

// close ends the entry processes and keeps their logs if REVIEW_LOGS names a folder.
func (s *Site) close() {
	for _, h := range s.Hosts {
		h.Kill()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir)) // the logs only help to find the cause
	}
	_ = os.RemoveAll(s.dir) // a temporary folder
}

// unable ends a case that couldn't run.
func (s *Site) unable(err error) {
	fmt.Fprintln(os.Stderr, err)
	if s.Rec != nil {
		s.Rec.Note("couldn't run: %v", err)
	}
	s.close()
	os.Exit(exitUnable)
}

// Finish ends the case: with 1 if a rule was broken, and else with 0.
func (s *Site) Finish() {
	broken := s.Rec.Count()
	s.Rec.Note("rule broken %d times", broken)
	s.close()
	if broken > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

// Holder returns the entry process that the store names as the holder, or nil.
func (s *Site) Holder() *Host {
	value := string(s.Store.Value("lead/holder"))
	for _, h := range s.Hosts {
		if value != "" && containsName(value, h.Name) {
			return h
		}
	}
	return nil
}

// containsName reports whether a record of the holder names a process.
func containsName(value, name string) bool {
	quoted := fmt.Sprintf("%q", name)
	for i := 0; i+len(quoted) <= len(value); i++ {
		if value[i:i+len(quoted)] == quoted {
			return true
		}
	}
	return false
}

package once

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/google/uuid"
)

// State is how far a request got, as far as a process knows.
type State string

// The states of a request.
const (
	StateBegun   State = "begun"   // it may be sent from now on
	StateDone    State = "done"    // its whole answer is known
	StateUnknown State = "unknown" // it may have run; nobody knows
)

// Verdict is the answer to Begin.
type Verdict string

// The verdicts; only Fresh allows the request to be sent.
const (
	Fresh    Verdict = "fresh"
	Running  Verdict = "running"
	Done     Verdict = "done"
	Unknown  Verdict = "unknown"  // it may have run before
	Mismatch Verdict = "mismatch" // the id belongs to a different request
)

// Answer is what a repeat is told of a finished request.
type Answer struct {
	Status int
	Type   string // of the body's content
	Body   []byte
	Whole  bool // false when the body was too large to be kept
}

// Record is what is known of one request.
type Record struct {
	ID     string
	Print  uint64 // of the request's content
	By     string // the entry process that sends it
	State  State
	Answer Answer
	At     time.Time // when it became known here; not passed on
}

const shards = 32

// Table holds the records of one process; New makes one. It is safe for concurrent use.
type Table struct {
	seed   maphash.Seed
	keep   time.Duration
	shards [shards]shard

	mu    sync.Mutex
	blank time.Time // ids made before this time may be missing; zero when none is
}

type shard struct {
	mu   sync.Mutex
	rows map[string]Record
	next time.Time // when old records are dropped next
}

// New returns an empty table that keeps each record for keep.
func New(keep time.Duration) *Table {
	t := &Table{seed: maphash.MakeSeed(), keep: keep}
	for i := range t.shards {
		t.shards[i].rows = map[string]Record{}
	}
	return t
}

func (t *Table) shard(id string) *shard {
	return &t.shards[maphash.String(t.seed, id)%shards]
}

// Begin enters the request unless it is known; alive says whether an entry process
// is still there. With a verdict of Done the record holds the answer.
//
// With repeats, a request that the same process has begun before is fresh again. A
// home has to say so: it may have learned of the request from that process's records
// before the process's own call arrives. The process itself tells its callers'
// repeats apart by its own table.
func (t *Table) Begin(now time.Time, id string, print uint64, by string, repeats bool, alive func(string) bool) (Verdict, Record) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(now, t.keep)
	r, ok := s.rows[id]
	if !ok {
		if t.missing(now, id) {
			return Unknown, Record{}
		}
		s.rows[id] = Record{ID: id, Print: print, By: by, State: StateBegun, At: now}
		return Fresh, Record{}
	}
	if r.State == StateBegun && r.By == by && r.Print == print && repeats {
		return Fresh, r
	}
	return judge(r, print, alive), r
}

func judge(r Record, print uint64, alive func(string) bool) Verdict {
	switch {
	case r.Print != print:
		return Mismatch
	case r.State == StateDone:
		return Done
	case r.State == StateUnknown:
		return Unknown
	case alive(r.By):
		return Running
	}
	// Its process is gone and may have sent it before.
	return Unknown
}

// Finish notes how a request ended; a request that is known to be done stays so.
func (t *Table) Finish(now time.Time, r Record) {
	s := t.shard(r.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.rows[r.ID]; ok && old.State == StateDone {
		return
	}
	r.At = now
	s.rows[r.ID] = r
}

// Drop forgets a request that was begun by the process and certainly not sent.
func (t *Table) Drop(id, by string) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[id]; ok && r.By == by && r.State == StateBegun {
		delete(s.rows, id)
	}
}

// Merge takes in records from another process; what is known further along wins.
func (t *Table) Merge(now time.Time, rows []Record) {
	for _, r := range rows {
		s := t.shard(r.ID)
		s.mu.Lock()
		old, ok := s.rows[r.ID]
		if !ok || old.State != StateDone && r.State != StateBegun {
			r.At = now
			s.rows[r.ID] = r
		}
		s.mu.Unlock()
	}
}

// Select returns the records whose id is wanted.
func (t *Table) Select(want func(id string) bool) []Record {
	var rows []Record
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, r := range s.rows {
			if want(id) {
				rows = append(rows, r)
			}
		}
		s.mu.Unlock()
	}
	return rows
}

// SetBlank notes that records made up to now may be lost, because more processes
// were lost at once than hold a record.
func (t *Table) SetBlank(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.blank) {
		t.blank = now
	}
}

// Restore notes that no record is missing any more, and reports whether one may have been.
func (t *Table) Restore() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := !t.blank.IsZero()
	t.blank = time.Time{}
	return was
}

// Blank returns how long ago SetBlank's time was, or 0 when the memory is whole, as it is once no record of then
// would be kept any more.
func (t *Table) Blank(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.blank.IsZero() || now.Sub(t.blank) > t.keep {
		return 0
	}
	return max(now.Sub(t.blank), 1)
}

// skew is how far the clocks of callers may be off for an id's own time to be trusted.
const skew = 2 * time.Second

// missing reports whether an unknown id may be that of a lost record. Ids that tell
// their time of making (UUID version 7) and were made since are certainly new.
func (t *Table) missing(now time.Time, id string) bool {
	t.mu.Lock()
	blank := t.blank
	t.mu.Unlock()
	if blank.IsZero() || now.Sub(blank) > t.keep {
		return false
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return true
	}
	sec, nsec := u.Time().UnixTime()
	return !time.Unix(sec, nsec).After(blank.Add(skew))
}

const dropEvery = time.Second

// drop forgets the records older than keep; the lock is held.
func (s *shard) drop(now time.Time, keep time.Duration) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(dropEvery)
	for id, r := range s.rows {
		if now.Sub(r.At) > keep {
			delete(s.rows, id)
		}
	}
}

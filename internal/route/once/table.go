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

// The verdicts; only VerdictNew allows the request to be sent.
const (
	VerdictNew      Verdict = "fresh"
	VerdictRunning  Verdict = "running"
	VerdictDone     Verdict = "done"
	VerdictUnknown  Verdict = "unknown"  // it may have run before
	VerdictMismatch Verdict = "mismatch" // the id belongs to a different request
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

const numShards = 32

// Table holds the records of one process; New makes one. It is safe for concurrent use.
type Table struct {
	seed      maphash.Seed
	retention time.Duration
	shards    [numShards]shard

	mu              sync.Mutex
	incompleteUntil time.Time // ids made before this time may be missing; zero when none is
}

type shard struct {
	mu         sync.Mutex
	records    map[string]Record
	nextExpiry time.Time // when old records are dropped next
}

// NewTable returns an empty table that keeps each record for keep.
func NewTable(keep time.Duration) *Table {
	t := &Table{seed: maphash.MakeSeed(), retention: keep}
	for i := range t.shards {
		t.shards[i].records = map[string]Record{}
	}
	return t
}

func (t *Table) shardOf(id string) *shard {
	return &t.shards[maphash.String(t.seed, id)%numShards]
}

// Begin enters the request unless it is known; alive says whether an entry process
// is still there. With a verdict of Done the record holds the answer.
//
// With repeats, a request that the same process has begun before is fresh again. A
// home has to say so: it may have learned of the request from that process's records
// before the process's own call arrives. The process itself tells its callers'
// repeats apart by its own table.
func (t *Table) Begin(now time.Time, id string, print uint64, by string, repeats bool, alive func(string) bool) (Verdict, Record) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRecords(now, t.retention)
	r, ok := s.records[id]
	if !ok {
		if t.mayBeLost(now, id) {
			return VerdictUnknown, Record{}
		}
		s.records[id] = Record{ID: id, Print: print, By: by, State: StateBegun, At: now}
		return VerdictNew, Record{}
	}
	if r.State == StateBegun && r.By == by && r.Print == print && repeats {
		return VerdictNew, r
	}
	return repeatVerdict(r, print, alive), r
}

func repeatVerdict(r Record, print uint64, alive func(string) bool) Verdict {
	switch {
	case r.Print != print:
		return VerdictMismatch
	case r.State == StateDone:
		return VerdictDone
	case r.State == StateUnknown:
		return VerdictUnknown
	case alive(r.By):
		return VerdictRunning
	}
	// Its process is gone and may have sent it before.
	return VerdictUnknown
}

// Finish notes how a request ended; a request that is known to be done stays so.
func (t *Table) Finish(now time.Time, r Record) {
	s := t.shardOf(r.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.records[r.ID]; ok && old.State == StateDone {
		return
	}
	r.At = now
	s.records[r.ID] = r
}

// DropUnsent forgets a request that was begun by the process and certainly not sent.
func (t *Table) DropUnsent(id, by string) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok && r.By == by && r.State == StateBegun {
		delete(s.records, id)
	}
}

// Merge takes in records from another process; what is known further along wins.
func (t *Table) Merge(now time.Time, rows []Record) {
	for _, r := range rows {
		s := t.shardOf(r.ID)
		s.mu.Lock()
		old, ok := s.records[r.ID]
		if !ok || old.State != StateDone && r.State != StateBegun {
			r.At = now
			s.records[r.ID] = r
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
		for id, r := range s.records {
			if want(id) {
				rows = append(rows, r)
			}
		}
		s.mu.Unlock()
	}
	return rows
}

// MarkIncomplete notes that records made up to now may be lost, because more processes
// were lost at once than hold a record.
func (t *Table) MarkIncomplete(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.incompleteUntil) {
		t.incompleteUntil = now
	}
}

// MarkComplete notes that no record is missing any more, and reports whether one may have been.
func (t *Table) MarkComplete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := !t.incompleteUntil.IsZero()
	t.incompleteUntil = time.Time{}
	return was
}

// IncompleteSince returns how long ago SetBlank's time was, or 0 when the memory is whole, as it is once no record of then
// would be kept any more.
func (t *Table) IncompleteSince(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incompleteUntil.IsZero() || now.Sub(t.incompleteUntil) > t.retention {
		return 0
	}
	return max(now.Sub(t.incompleteUntil), 1)
}

// maxClockSkew is how far the clocks of callers may be off for an id's own time to be trusted.
const maxClockSkew = 2 * time.Second

// mayBeLost reports whether an unknown id may be that of a lost record. Ids that tell
// their time of making (UUID version 7) and were made since are certainly new.
func (t *Table) mayBeLost(now time.Time, id string) bool {
	t.mu.Lock()
	blank := t.incompleteUntil
	t.mu.Unlock()
	if blank.IsZero() || now.Sub(blank) > t.retention {
		return false
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return true
	}
	sec, nsec := u.Time().UnixTime()
	return !time.Unix(sec, nsec).After(blank.Add(maxClockSkew))
}

const expiryInterval = time.Second

// expireRecords forgets the records older than keep; the lock is held.
func (s *shard) expireRecords(now time.Time, keep time.Duration) {
	if now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = now.Add(expiryInterval)
	for id, r := range s.records {
		if now.Sub(r.At) > keep {
			delete(s.records, id)
		}
	}
}

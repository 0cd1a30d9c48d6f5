package once

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/google/uuid"
)

// State is how far a request has got, as one process knows it.
type State string

// The states of a request.
const (
	StateBegun   State = "begun"   // registered; it may be sent from now on
	StateDone    State = "done"    // answered; the answer is recorded
	StateUnknown State = "unknown" // it may have run; no process knows its outcome
)

// Verdict is the decision of Begin on whether a request may be sent.
type Verdict string

// The verdicts; only VerdictNew allows the request to be sent.
const (
	VerdictNew      Verdict = "fresh"    // the id was not known and is now registered
	VerdictRunning  Verdict = "running"  // a process that is still a member sends it
	VerdictDone     Verdict = "done"     // it has been answered
	VerdictUnknown  Verdict = "unknown"  // it may have run before
	VerdictMismatch Verdict = "mismatch" // the id belongs to a different request
)

// Answer is what is stored of a target's answer, for repeats of the request.
type Answer struct {
	Status int    // HTTP status
	Type   string // Content-Type of the body
	Body   []byte // empty when it was too large to be stored
	Whole  bool   // false when the body was too large to be stored
}

// Record is what a process knows of one request.
type Record struct {
	ID     string    // id of the request
	Print  uint64    // fingerprint of its content
	By     string    // member id of the entry process that sends it
	State  State     // how far it has got
	Answer Answer    // set in StateDone
	At     time.Time // when this process recorded it; each process sets its own time
}

// numShards is the number of parts of a Table that are locked separately.
const numShards = 32

// Table holds the records known to one process; NewTable makes one. It is safe for concurrent use.
type Table struct {
	seed      maphash.Seed  // of the hash that assigns ids to shards
	retention time.Duration // how long each record is kept
	shards    [numShards]shard

	mu              sync.Mutex // guards incompleteUntil
	incompleteUntil time.Time  // records made before this time may be missing; zero when none is
}

// shard is one part of a Table.
type shard struct {
	mu         sync.Mutex
	records    map[string]Record // by request id
	nextExpiry time.Time         // when expired records are removed next
}

// NewTable returns an empty table that keeps each record for the retention time.
func NewTable(retention time.Duration) *Table {
	t := &Table{seed: maphash.MakeSeed(), retention: retention}
	for i := range t.shards {
		t.shards[i].records = map[string]Record{}
	}
	return t
}

func (t *Table) shardOf(id string) *shard {
	return &t.shards[maphash.String(t.seed, id)%numShards]
}

// Begin registers the request unless its id is known; alive reports whether an entry process
// is still a member. With VerdictDone the record holds the answer.
//
// With allowRebegin, a request that the same process has begun before counts as new again.
// The home of an id sets it, as it may have got the record from that process's table before
// the process's own call arrives. The process itself detects its callers' repeats by its own
// table.
func (t *Table) Begin(now time.Time, id string, fingerprint uint64, by string, allowRebegin bool, alive func(string) bool) (Verdict, Record) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRecords(now, t.retention)
	r, ok := s.records[id]
	if !ok {
		if t.mayBeLost(now, id) {
			return VerdictUnknown, Record{}
		}
		s.records[id] = Record{ID: id, Print: fingerprint, By: by, State: StateBegun, At: now}
		return VerdictNew, Record{}
	}
	if r.State == StateBegun && r.By == by && r.Print == fingerprint && allowRebegin {
		return VerdictNew, r
	}
	return repeatVerdict(r, fingerprint, alive), r
}

// repeatVerdict decides on a request whose id is known.
func repeatVerdict(r Record, fingerprint uint64, alive func(string) bool) Verdict {
	switch {
	case r.Print != fingerprint:
		return VerdictMismatch
	case r.State == StateDone:
		return VerdictDone
	case r.State == StateUnknown:
		return VerdictUnknown
	case alive(r.By):
		return VerdictRunning
	}
	// The process that began it is no longer a member and may have sent it before it was lost.
	return VerdictUnknown
}

// Finish records how a request ended. A record in StateDone stays as it is.
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

// DropUnsent removes the record of a request that was begun by the process and certainly not sent.
func (t *Table) DropUnsent(id, by string) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok && r.By == by && r.State == StateBegun {
		delete(s.records, id)
	}
}

// Merge adds records from another process. Of two records of one request, the one in the
// further state is kept.
func (t *Table) Merge(now time.Time, records []Record) {
	for _, r := range records {
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

// Select returns the records whose id matches.
func (t *Table) Select(match func(id string) bool) []Record {
	var records []Record
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, r := range s.records {
			if match(id) {
				records = append(records, r)
			}
		}
		s.mu.Unlock()
	}
	return records
}

// MarkIncomplete notes that records made up to now may be missing, because more processes
// were lost at once than hold copies of a record.
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
	incomplete := !t.incompleteUntil.IsZero()
	t.incompleteUntil = time.Time{}
	return incomplete
}

// IncompleteSince returns how long ago the time passed to MarkIncomplete was, or 0 when the
// table is complete. It is complete again once records of that time are past their retention.
func (t *Table) IncompleteSince(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incompleteUntil.IsZero() || now.Sub(t.incompleteUntil) > t.retention {
		return 0
	}
	return max(now.Sub(t.incompleteUntil), 1)
}

// maxClockSkew is how far callers' clocks may be off without making the creation time in an
// id unusable.
const maxClockSkew = 2 * time.Second

// mayBeLost reports whether an unknown id may be that of a missing record. An id that holds
// its creation time (UUID version 7) and was created after the loss is certainly new.
func (t *Table) mayBeLost(now time.Time, id string) bool {
	t.mu.Lock()
	until := t.incompleteUntil
	t.mu.Unlock()
	if until.IsZero() || now.Sub(until) > t.retention {
		return false
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return true
	}
	sec, nsec := u.Time().UnixTime()
	return !time.Unix(sec, nsec).After(until.Add(maxClockSkew))
}

// expiryInterval is the time between two removals of expired records from a shard.
const expiryInterval = time.Second

// expireRecords removes the records that are older than the retention time; the lock is held.
func (s *shard) expireRecords(now time.Time, retention time.Duration) {
	if now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = now.Add(expiryInterval)
	for id, r := range s.records {
		if now.Sub(r.At) > retention {
			delete(s.records, id)
		}
	}
}

package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrRefused says that the service refused the call, so nothing was done.
	ErrRefused = errors.New("store: refused")
	// ErrCompacted says that the history after the given revision is no longer there.
	ErrCompacted = errors.New("store: history gone")
)

// MaxTxnOps is the largest number of conditions and writes in one transaction.
const MaxTxnOps = 32

// Condition demands that a key was last written at Rev, where 0 means absent.
type Condition struct {
	Key string
	Rev uint64
}

// Write sets a key, or deletes it; a Lease, if given, takes the key along when it ends.
type Write struct {
	Key    string
	Value  []byte
	Lease  string
	Delete bool
}

// Txn is a set of writes that take effect together if every condition holds.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Change is a key as it was written, or its deletion.
type Change struct {
	Entry
	Deleted bool
}

// TxnStore is a key-value service with transactions, leases and a history to watch;
// every method counts as one call there (Range as one a page) and is safe for concurrent use.
type TxnStore interface {
	// Get reads one key; ErrNotFound when it is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// Range reads every key that begins with prefix. Its pages are no snapshot: Rev is
	// the service's revision at the first of them, the place to watch from.
	Range(ctx context.Context, prefix string) (Listing, error)
	// Watch waits up to wait for changes after a revision and returns them with the
	// revision to go on from; ErrCompacted when they are no longer known.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Commit carries out a transaction and returns its revision; ErrConflict when a
	// condition fails, ErrLapsed when a lease is gone, ErrUnknown when no answer came.
	Commit(ctx context.Context, t Txn) (uint64, error)
	// OpenLease creates a lease that expires when it isn't renewed for ttl.
	OpenLease(ctx context.Context, ttl time.Duration) (string, error)
	// RenewLease extends the lease by its ttl; ErrLapsed when it is gone.
	RenewLease(ctx context.Context, lease string) error
	// CloseLease ends the lease at once and deletes the keys it holds.
	CloseLease(ctx context.Context, lease string) error
}

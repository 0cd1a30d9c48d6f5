package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrRefused is returned when the service refused the call; nothing was changed.
	ErrRefused = errors.New("store: refused")
	// ErrCompacted is returned when the service no longer has the changes after the given revision.
	ErrCompacted = errors.New("store: history gone")
)

// MaxTxnOps is the largest number of conditions and writes in one transaction.
const MaxTxnOps = 32

// Condition requires that a key's revision is Rev.
type Condition struct {
	Key string
	Rev uint64 // 0: the key is absent
}

// Write sets or deletes a key.
type Write struct {
	Key    string
	Value  []byte
	Lease  string // lease that the key is deleted with; empty: none
	Delete bool   // deletes the key instead of setting it
}

// Txn is a transaction: its writes take effect together, and only if all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Change is one write or deletion of a key. Rev is the revision of the write or deletion.
type Change struct {
	Entry
	Deleted bool
}

// TxnStore is a client of a key-value service with transactions, leases and a history of changes
// to watch. Each method makes one call to the service, except Range, which makes one for each
// page. All methods are safe for concurrent use.
type TxnStore interface {
	// Get reads one key. It returns ErrNotFound if the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// GetIfChanged reads one key, unless its revision is rev. It reports whether it isn't, and returns ErrNotFound if the key
	// is absent.
	GetIfChanged(ctx context.Context, key string, rev uint64) (e Entry, changed bool, err error)
	// Range reads every key that begins with prefix. It reads page by page, so the result is not a
	// snapshot: Rev is the service's revision at the first page, from which a watch has to start.
	Range(ctx context.Context, prefix string) (Listing, error)
	// RangeAfter does the same with the keys that follow the key after.
	RangeAfter(ctx context.Context, prefix, after string) (Listing, error)
	// Watch waits up to wait for changes after a revision and returns them with the revision from
	// which to continue. It returns ErrCompacted if the service no longer has these changes.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Commit executes a transaction and returns its revision. It returns ErrConflict if a condition
	// fails, ErrLeaseNotFound if a lease has expired or was closed, and ErrOutcomeUnknown if no
	// answer came.
	Commit(ctx context.Context, t Txn) (uint64, error)
	// OpenLease creates a lease that expires if it isn't renewed within ttl, and returns its id.
	OpenLease(ctx context.Context, ttl time.Duration) (string, error)
	// RenewLease restarts the lease's ttl. It returns ErrLeaseNotFound if the lease has expired or
	// was closed.
	RenewLease(ctx context.Context, lease string) error
	// CloseLease ends the lease at once and deletes the keys bound to it.
	CloseLease(ctx context.Context, lease string) error
}

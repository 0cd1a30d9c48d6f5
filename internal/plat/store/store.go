package store

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
)

var (
	// ErrNotFound is returned when the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict is returned when a write's condition failed, such as the expected revision of
	// a compare-and-swap; nothing was changed.
	ErrConflict = errors.New("store: revision conflict")
	// ErrLeaseNotFound is returned when the service doesn't know the lease: it has expired or was closed.
	ErrLeaseNotFound = errors.New("store: lease lapsed")
	// ErrOutcomeUnknown is returned when no usable answer came, so a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
)

// MaxValueSize is the size in bytes of the largest value that the service stores.
const MaxValueSize = 1 << 20

// Entry is one key as read from the service.
type Entry struct {
	Key   string
	Value []byte
	Rev   uint64 // revision at which the key was last written
	Lease string // lease that the key is deleted with; empty: none
}

// Listing is the result of List and Range.
type Listing struct {
	Entries []Entry
	Rev     uint64 // of List: revision of the last change among the keys read; of Range: of the service at the read
}

// Store is a client of the key-value service with single-key operations. Each method makes one
// call to the service, and all are safe for concurrent use.
type Store interface {
	// Get reads one key. It returns ErrNotFound if the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads every key that begins with prefix. If after and wait are above 0, it first waits up to wait
	// for a revision above after.
	List(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
	// Swap writes value if the key's revision is still rev; 0 means that the key is absent. It
	// returns ErrConflict otherwise.
	Swap(ctx context.Context, key string, value []byte, rev uint64) error
	// Delete removes the key if its revision is still rev, and returns ErrConflict otherwise.
	Delete(ctx context.Context, key string, rev uint64) error
	// OpenLease creates a lease that expires if it isn't renewed within ttl, and returns its id.
	OpenLease(ctx context.Context, ttl time.Duration) (string, error)
	// RenewLease restarts the lease's ttl. It returns ErrLeaseNotFound if the lease has expired or
	// was closed.
	RenewLease(ctx context.Context, lease string) error
	// CloseLease ends the lease at once and deletes the keys bound to it.
	CloseLease(ctx context.Context, lease string) error
	// Acquire writes a key and binds it to the lease: it is deleted when the lease ends. It returns
	// ErrConflict if the key is bound to another lease.
	Acquire(ctx context.Context, lease, key string, value []byte) error
}

// SwapWithRetry repeats a Swap until its outcome is known. On a conflict it reads the key
// and calls includes to learn whether the stored value includes this write.
//
// The failure it guards against: the answer is lost after the write took effect, and
// the writer takes the conflict of its retry for another writer's success, so that it reports
// a failure for a change that is in force. Retrying is safe because the expected revision
// lets at most one of the attempts succeed. Other writers may have changed the value on top of
// this write before it is read back, so includes should recognize the write in their
// values as well.
func SwapWithRetry(ctx context.Context, s Store, key string, value []byte, rev uint64, includes func(stored []byte) bool) error {
	for {
		err := s.Swap(ctx, key, value, rev)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrConflict):
			return resolveConflict(ctx, s, key, includes)
		case !errors.Is(err, ErrOutcomeUnknown):
			return err
		}
		if !wait.For(ctx, retryDelay) {
			return errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
		}
	}
}

// ValueEquals returns an includes function for SwapWithRetry that recognizes only the value
// itself. That is enough where the caller reads everything again after any conflict, even a
// false one.
func ValueEquals(value []byte) func([]byte) bool {
	return func(stored []byte) bool { return string(stored) == string(value) }
}

// retryDelay is the delay before a call with an unknown outcome is repeated.
const retryDelay = 50 * time.Millisecond

// resolveConflict reads the key after a conflict and returns nil if includes finds this write in
// the stored value, and ErrConflict otherwise.
func resolveConflict(ctx context.Context, s Store, key string, includes func([]byte) bool) error {
	for {
		e, err := s.Get(ctx, key)
		switch {
		case err == nil && includes(e.Value):
			return nil
		case err == nil, errors.Is(err, ErrNotFound):
			return ErrConflict
		case !errors.Is(err, ErrOutcomeUnknown):
			return err
		}
		if !wait.For(ctx, retryDelay) {
			return errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
		}
	}
}

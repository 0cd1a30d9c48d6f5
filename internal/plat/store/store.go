package store

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
)

var (
	// ErrNotFound says that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict says that the compare-and-swap saw another revision and changed nothing.
	ErrConflict = errors.New("store: revision conflict")
	// ErrLeaseNotFound says that the lease is unknown to the service: it has expired or was closed.
	ErrLeaseNotFound = errors.New("store: lease lapsed")
	// ErrOutcomeUnknown says that no answer came back, so a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
)

// MaxValueSize is the largest value, in bytes, that the service holds.
const MaxValueSize = 1 << 20

// Entry is one key as read, with the revision at which it was last written.
type Entry struct {
	Key   string
	Value []byte
	Rev   uint64
	Lease string
}

// Listing is the answer to a List: the entries and the service's revision at that time.
type Listing struct {
	Entries []Entry
	Rev     uint64
}

// Store is what this project needs of the platform's key-value service;
// every method counts as one call there and is safe for concurrent use.
type Store interface {
	// Get reads one key; ErrNotFound when it is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads every key below prefix, waiting up to wait for a revision above after.
	List(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
	// Swap writes value if the key's revision is still rev, where 0 means absent.
	Swap(ctx context.Context, key string, value []byte, rev uint64) error
	// Delete removes the key if its revision is still rev.
	Delete(ctx context.Context, key string, rev uint64) error
	// OpenLease creates a lease that expires when it isn't renewed for ttl.
	OpenLease(ctx context.Context, ttl time.Duration) (string, error)
	// RenewLease extends the lease by its ttl; ErrLapsed when it is gone.
	RenewLease(ctx context.Context, lease string) error
	// CloseLease ends the lease at once and deletes the keys it holds.
	CloseLease(ctx context.Context, lease string) error
	// Acquire writes a key that is deleted together with the lease; ErrConflict when another lease holds it.
	Acquire(ctx context.Context, lease, key string, value []byte) error
}

// SwapWithRetry makes a Swap whose answer was lost certain: it repeats the same
// compare-and-swap and, on a conflict, reads back and asks mine whether the stored
// value contains this write.
//
// The failure it guards against: the answer is lost after the write took effect, and
// the writer, taking the conflict of its repeat for a rival's win, reports a failure
// for a change that is in force. Repeating is safe because the revision in the
// condition lets at most one of the copies through. By the time of the reading back
// others may have built on this write; so mine should know it in their values too.
func SwapWithRetry(ctx context.Context, s Store, key string, value []byte, rev uint64, mine func(stored []byte) bool) error {
	for {
		err := s.Swap(ctx, key, value, rev)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrConflict):
			return resolveConflict(ctx, s, key, mine)
		case !errors.Is(err, ErrOutcomeUnknown):
			return err
		}
		if !wait.For(ctx, retryDelay) {
			return errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
		}
	}
}

// ValueEquals returns a mine for Settle that knows only the value itself. It's enough where a
// conflict, true or not, leads to reading everything anew.
func ValueEquals(value []byte) func([]byte) bool {
	return func(stored []byte) bool { return string(stored) == string(value) }
}

const retryDelay = 50 * time.Millisecond

func resolveConflict(ctx context.Context, s Store, key string, mine func([]byte) bool) error {
	for {
		e, err := s.Get(ctx, key)
		switch {
		case err == nil && mine(e.Value):
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

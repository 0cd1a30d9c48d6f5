package txkv

import (
	"context"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// Mode is how the service treats a caller.
type Mode string

// The modes. In the mode of the zero value, calls are served.
const (
	ModeBusy   Mode = "busy"   // refuses calls without carrying them out
	ModeSilent Mode = "silent" // neither answers calls nor carries them out
)

// Service is the key-value service. Its zero value has no keys and is ready to use.
type Service struct {
	mu           sync.Mutex             // guards the fields below
	rev          uint64                 // revision of the last write
	entries      map[string]store.Entry // by key
	history      []store.Change         // in order of revision
	compactedRev uint64                 // the history up to this revision has been dropped
	leases       map[string]*lease      // by ID
	lastLeaseID  int
	changed      chan struct{} // closed at the next change of the keys or the history; may be nil
	mode         Mode          // for all clients; if zero, the client's own mode applies
	lossShare    float64       // share of transactions whose answer is lost
	lateDelay    time.Duration // if above 0, half of these are carried out only after this time
	callDelay    time.Duration // added to callTime
	calls        int           // number of calls so far, refused and unanswered ones included
}

// lease is an open lease.
type lease struct {
	ttl       time.Duration // from a renewal to the expiry
	expiresAt time.Time
}

// Client is one host's client of the service. It implements store.TxnStore.
type Client struct {
	service *Service
	mode    func() Mode // asked at each call; nil means that calls are served
}

// Client returns a client of the service. mode is asked at each call; nil means that calls are served.
func (s *Service) Client(mode func() Mode) *Client {
	return &Client{s, mode}
}

// SetMode sets the mode for all clients. A mode other than zero takes precedence over those of the clients.
func (s *Service) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// SetCallDelay makes each served call take longer by d.
func (s *Service) SetCallDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callDelay = d
}

// SetLostAnswers sets the share of transactions whose answer is lost. They are carried out at once; if late is
// above 0, half of them are carried out only after that time, if their conditions hold then.
func (s *Service) SetLostAnswers(share float64, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossShare, s.lateDelay = share, late
}

// Compact drops the history, so that watches from an earlier revision fail.
func (s *Service) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRev = s.rev
	s.notify()
}

// RemoveKey deletes a key without notice to the client that wrote it.
func (s *Service) RemoveKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[key]; ok {
		s.apply([]store.Write{{Key: key, Delete: true}})
	}
}

// Calls returns the number of calls so far, refused and unanswered ones included.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key on behalf of an operator or a worker. The mode and the delays do not apply.
func (s *Service) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]store.Write{{Key: key, Value: value}})
}

// notify wakes the watches that wait for a change.
func (s *Service) notify() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// apply carries out writes as one revision and adds them to the history. The caller holds the lock.
func (s *Service) apply(writes []store.Write) {
	if s.entries == nil {
		s.entries = map[string]store.Entry{}
	}
	s.rev++
	for _, w := range writes {
		if w.Delete {
			if _, ok := s.entries[w.Key]; ok {
				delete(s.entries, w.Key)
				s.history = append(s.history, store.Change{Entry: store.Entry{Key: w.Key, Rev: s.rev}, Deleted: true})
			}
			continue
		}
		e := store.Entry{Key: w.Key, Value: append([]byte(nil), w.Value...), Rev: s.rev, Lease: w.Lease}
		s.entries[w.Key] = e
		s.history = append(s.history, store.Change{Entry: e})
	}
	s.notify()
}

// expireLeases ends the leases that have expired.
func (s *Service) expireLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys.
func (s *Service) endLease(id string) {
	delete(s.leases, id)
	var writes []store.Write
	for k, e := range s.entries {
		if e.Lease == id {
			writes = append(writes, store.Write{Key: k, Delete: true})
		}
	}
	if len(writes) > 0 {
		s.apply(writes)
	}
}

// beginCall counts a call and waits for its duration. If the call is served, it returns nil with the lock held.
func (c *Client) beginCall(ctx context.Context) error {
	s := c.service
	s.mu.Lock()
	s.calls++
	delay := s.callDelay
	mode := s.mode
	s.mu.Unlock()
	if mode == "" && c.mode != nil {
		mode = c.mode()
	}
	switch mode {
	case ModeBusy:
		return store.ErrRefused
	case ModeSilent:
		wait.For(ctx, callTimeout)
		return store.ErrOutcomeUnknown
	}
	if !wait.For(ctx, delay+callTime) {
		return store.ErrOutcomeUnknown
	}
	s.mu.Lock()
	s.expireLeases()
	return nil
}

const (
	// callTime is the duration of a served call without callDelay.
	callTime = 4 * time.Millisecond
	// callTimeout is how long a caller waits for an answer that doesn't come.
	callTimeout = time.Second
	// expiryInterval is how often a waiting watch ends the leases that have expired.
	expiryInterval = 50 * time.Millisecond
)

// Get implements store.TxnStore.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := c.beginCall(ctx); err != nil {
		return store.Entry{}, err
	}
	defer c.service.mu.Unlock()
	e, ok := c.service.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

// GetIfChanged implements store.TxnStore.
func (c *Client) GetIfChanged(ctx context.Context, key string, rev uint64) (store.Entry, bool, error) {
	e, err := c.Get(ctx, key)
	if err != nil || e.Rev == rev {
		return store.Entry{}, false, err
	}
	return e, true, nil
}

// Range implements store.TxnStore.
func (c *Client) Range(ctx context.Context, prefix string) (store.Listing, error) {
	return c.RangeAfter(ctx, prefix, "")
}

// RangeAfter implements store.TxnStore.
func (c *Client) RangeAfter(ctx context.Context, prefix, after string) (store.Listing, error) {
	if err := c.beginCall(ctx); err != nil {
		return store.Listing{}, err
	}
	defer c.service.mu.Unlock()
	listing := store.Listing{Rev: c.service.rev}
	for k, e := range c.service.entries {
		if strings.HasPrefix(k, prefix) && k > after {
			listing.Entries = append(listing.Entries, e)
		}
	}
	sort.Slice(listing.Entries, func(i, k int) bool { return listing.Entries[i].Key < listing.Entries[k].Key })
	return listing, nil
}

// Watch implements store.TxnStore. A watch that is waiting when the service becomes silent returns
// only when its limit has passed, because a silent service closes no connection.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, limit time.Duration) ([]store.Change, uint64, error) {
	deadline := time.Now().Add(limit)
	for {
		if err := c.beginCall(ctx); errors.Is(err, store.ErrOutcomeUnknown) {
			wait.For(ctx, time.Until(deadline))
			return nil, after, err
		} else if err != nil {
			return nil, after, err
		}
		if after < c.service.compactedRev {
			c.service.mu.Unlock()
			return nil, after, store.ErrCompacted
		}
		var changes []store.Change
		for _, h := range c.service.history {
			if h.Rev > after && strings.HasPrefix(h.Key, prefix) {
				changes = append(changes, h)
			}
		}
		rev := c.service.rev
		if c.service.changed == nil {
			c.service.changed = make(chan struct{})
		}
		changed := c.service.changed
		c.service.mu.Unlock()
		if len(changes) > 0 || time.Now().After(deadline) {
			return changes, rev, nil
		}
		t := time.NewTimer(expiryInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil, after, store.ErrOutcomeUnknown
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// Commit implements store.TxnStore.
func (c *Client) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if err := c.beginCall(ctx); err != nil {
		return 0, err
	}
	s := c.service
	defer s.mu.Unlock()
	if rand.Float64() < s.lossShare {
		if s.lateDelay > 0 && rand.IntN(2) == 0 {
			time.AfterFunc(s.lateDelay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				_, _ = s.commit(txn) // the caller no longer waits for the result
			})
		} else {
			_, _ = s.commit(txn) // the answer is lost
		}
		return 0, store.ErrOutcomeUnknown
	}
	return s.commit(txn)
}

// commit carries out a transaction if its leases exist and its conditions hold. The caller holds the lock.
func (s *Service) commit(txn store.Txn) (uint64, error) {
	for _, w := range txn.Writes {
		if w.Lease != "" && s.leases[w.Lease] == nil {
			return 0, store.ErrLeaseNotFound
		}
	}
	for _, c := range txn.Conditions {
		if s.entries[c.Key].Rev != c.Rev {
			return 0, store.ErrConflict
		}
	}
	s.apply(txn.Writes)
	return s.rev, nil
}

// OpenLease implements store.TxnStore.
func (c *Client) OpenLease(ctx context.Context, ttl time.Duration) (string, error) {
	if err := c.beginCall(ctx); err != nil {
		return "", err
	}
	defer c.service.mu.Unlock()
	if c.service.leases == nil {
		c.service.leases = map[string]*lease{}
	}
	c.service.lastLeaseID++
	id := strconv.Itoa(c.service.lastLeaseID)
	c.service.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	return id, nil
}

// RenewLease implements store.TxnStore.
func (c *Client) RenewLease(ctx context.Context, id string) error {
	if err := c.beginCall(ctx); err != nil {
		return err
	}
	defer c.service.mu.Unlock()
	l := c.service.leases[id]
	if l == nil {
		return store.ErrLeaseNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}

// CloseLease implements store.TxnStore.
func (c *Client) CloseLease(ctx context.Context, id string) error {
	if err := c.beginCall(ctx); err != nil {
		return err
	}
	defer c.service.mu.Unlock()
	if c.service.leases[id] == nil {
		return store.ErrLeaseNotFound
	}
	c.service.endLease(id)
	return nil
}

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

// The modes; the zero value serves.
const (
	ModeBusy   Mode = "busy"   // refuses, so that nothing is done
	ModeSilent Mode = "silent" // doesn't answer, and does nothing
)

// Service holds the keys; its zero value is ready.
type Service struct {
	mu           sync.Mutex
	rev          uint64
	entries      map[string]store.Entry
	history      []store.Change
	compactedRev uint64 // history up to here is gone
	leases       map[string]*lease
	lastLeaseID  int
	changed      chan struct{}
	mode         Mode
	lossShare    float64       // share of writes that are done and not answered
	lateDelay    time.Duration // after which some unanswered writes are done instead
	callDelay    time.Duration
	calls        int
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Client is one host's way to the service.
type Client struct {
	service *Service
	mode    func() Mode
}

// Client returns a way to the service whose mode is asked at each call; nil serves.
func (s *Service) Client(mode func() Mode) *Client {
	return &Client{s, mode}
}

// SetMode treats all callers alike.
func (s *Service) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// SetCallDelay has each call take d.
func (s *Service) SetCallDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callDelay = d
}

// SetLostAnswers has a share of writes go unanswered; with late above 0, half of these are done only
// after that time, if their condition still holds.
func (s *Service) SetLostAnswers(share float64, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossShare, s.lateDelay = share, late
}

// Compact drops the history, so that watches from before fail.
func (s *Service) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRev = s.rev
	s.notify()
}

// RemoveKey deletes a key without its holder being told.
func (s *Service) RemoveKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[key]; ok {
		s.apply([]store.Write{{Key: key, Delete: true}})
	}
}

// Calls returns the number of calls so far.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key as an operator or a worker does.
func (s *Service) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]store.Write{{Key: key, Value: value}})
}

func (s *Service) notify() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// apply writes under the lock.
func (s *Service) apply(do []store.Write) {
	if s.entries == nil {
		s.entries = map[string]store.Entry{}
	}
	s.rev++
	for _, w := range do {
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

// expireLeases drops the keys of leases that have run out.
func (s *Service) expireLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *Service) endLease(id string) {
	delete(s.leases, id)
	var do []store.Write
	for k, e := range s.entries {
		if e.Lease == id {
			do = append(do, store.Write{Key: k, Delete: true})
		}
	}
	if len(do) > 0 {
		s.apply(do)
	}
}

// beginCall begins a call and leaves the lock held if it is served.
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
	// callTime is the time of a call.
	callTime = 4 * time.Millisecond
	// callTimeout is how long a caller waits for an answer that doesn't come.
	callTimeout = time.Second
	// expiryInterval is how often a watch looks for leases that have run out.
	expiryInterval = 50 * time.Millisecond
)

// Get implements store.Multi.
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

// Range implements store.Multi.
func (c *Client) Range(ctx context.Context, prefix string) (store.Listing, error) {
	if err := c.beginCall(ctx); err != nil {
		return store.Listing{}, err
	}
	defer c.service.mu.Unlock()
	p := store.Listing{Rev: c.service.rev}
	for k, e := range c.service.entries {
		if strings.HasPrefix(k, prefix) {
			p.Entries = append(p.Entries, e)
		}
	}
	sort.Slice(p.Entries, func(i, k int) bool { return p.Entries[i].Key < p.Entries[k].Key })
	return p, nil
}

// Watch implements store.Multi. One that waits as the service falls silent hangs to its end: a
// silent service cuts nothing off.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, limit time.Duration) ([]store.Change, uint64, error) {
	end := time.Now().Add(limit)
	for {
		if err := c.beginCall(ctx); errors.Is(err, store.ErrOutcomeUnknown) {
			wait.For(ctx, time.Until(end))
			return nil, after, err
		} else if err != nil {
			return nil, after, err
		}
		if after < c.service.compactedRev {
			c.service.mu.Unlock()
			return nil, after, store.ErrCompacted
		}
		var got []store.Change
		for _, h := range c.service.history {
			if h.Rev > after && strings.HasPrefix(h.Key, prefix) {
				got = append(got, h)
			}
		}
		rev := c.service.rev
		if c.service.changed == nil {
			c.service.changed = make(chan struct{})
		}
		changed := c.service.changed
		c.service.mu.Unlock()
		if len(got) > 0 || time.Now().After(end) {
			return got, rev, nil
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

// Commit implements store.Multi.
func (c *Client) Commit(ctx context.Context, t store.Txn) (uint64, error) {
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
				_, _ = s.commit(t) // nobody waits for it any more
			})
		} else {
			_, _ = s.commit(t) // its answer is lost
		}
		return 0, store.ErrOutcomeUnknown
	}
	return s.commit(t)
}

func (s *Service) commit(t store.Txn) (uint64, error) {
	for _, w := range t.Writes {
		if w.Lease != "" && s.leases[w.Lease] == nil {
			return 0, store.ErrLeaseNotFound
		}
	}
	for _, c := range t.Conditions {
		if s.entries[c.Key].Rev != c.Rev {
			return 0, store.ErrConflict
		}
	}
	s.apply(t.Writes)
	return s.rev, nil
}

// OpenLease implements store.Multi.
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

// RenewLease implements store.Multi.
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

// CloseLease implements store.Multi.
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

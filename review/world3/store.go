package world3

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	storeLatency  = 2 * time.Millisecond
	maxTxnEntries = 32
	pageItems     = 500
	pageBytes     = 1 << 20
	ttlMin        = time.Second
	maxValueBytes = 1 << 20
	maxKeyBytes   = 200
)

// item is a key with its value, as the store shows it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// event is a change of a key.
type event struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl time.Duration
	end time.Time
}

// Verdict is what happens to a call of an entry process at the store.
type Verdict string

// The verdicts.
const (
	Serve   Verdict = ""        // the call is served
	Silent  Verdict = "silent"  // it is not done and gets no answer
	Refuse  Verdict = "refuse"  // it is refused with 503
	NoReply Verdict = "noreply" // it is done at once and gets no answer
)

// Store is a stand-in of the platform's metadata store. Each entry process has a listener of its own, by which Gate tells
// them apart.
type Store struct {
	// Gate, if set, decides what happens to a call of an entry process. It is called without locks held.
	Gate func(host string, r *http.Request) Verdict
	// Slow is by how much longer each answer takes, as a time.Duration.
	Slow atomic.Int64

	mu      sync.Mutex
	rev     uint64
	items   map[string]*item
	events  []event
	leases  map[uint64]*lease
	changed chan struct{}
}

// NewStore returns an empty store, whose leases expire until the process ends.
func NewStore() *Store {
	s := &Store{rev: 1, items: map[string]*item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

// expire ends the leases that are over.
func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The caller holds s.mu.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.rev++
		for _, k := range keys {
			s.remove(k)
		}
		s.notify()
	}
}

// remove removes a key at the present revision. The caller holds s.mu.
func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, event{Key: key, Revision: s.rev, Deleted: true})
}

// put sets a key at the present revision. The caller holds s.mu.
func (s *Store) put(key string, value []byte, leaseID uint64) {
	created := s.rev
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	it := &item{key, value, s.rev, created, leaseID}
	s.items[key] = it
	s.events = append(s.events, event{Key: key, Value: value, Revision: s.rev, Created: created, Lease: leaseID})
}

// notify wakes the watches. The caller holds s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Set writes a key as the operator or a runner does.
func (s *Store) Set(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, b, 0)
	s.notify()
}

// Delete removes a key as the operator or a runner does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] != nil {
		s.rev++
		s.remove(key)
		s.notify()
	}
}

// Value returns the value of a key; nil: there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.items[key]; it != nil {
		return it.Value
	}
	return nil
}

// Listen serves the store to one entry process and returns the address.
func (s *Store) Listen(host string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		verdict := Serve
		if s.Gate != nil {
			verdict = s.Gate(host, r)
		}
		switch verdict {
		case Refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case Silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case NoReply:
			s.ServeHTTP(discard{http.Header{}}, r)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		s.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// discard is a ResponseWriter whose answer is lost.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency + time.Duration(s.Slow.Load()))
	switch {
	case r.URL.Path == "/kv-key":
		s.get(w, r)
	case r.URL.Path == "/kv-range":
		s.list(w, r)
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/kv-txn":
		s.txn(w, r)
	case r.URL.Path == "/kv-lease":
		s.openLease(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.keep(w, strings.TrimPrefix(r.URL.Path, "/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		s.closeLease(w, strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.items[r.URL.Query().Get("key")]
	if it == nil {
		reply(w, http.StatusNotFound, map[string]any{"storeRevision": s.rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{*it, s.rev})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page, size, more := []item{}, 0, false
	for _, k := range keys {
		if len(page) == pageItems || size > pageBytes {
			more = true
			break
		}
		page = append(page, *s.items[k])
		size += len(s.items[k].Value)
	}
	reply(w, http.StatusOK, map[string]any{"items": page, "hasMore": more, "storeRevision": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil || ms > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		found := []event{}
		i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[i:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				found = append(found, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply(w, http.StatusOK, map[string]any{"events": found, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		SetKeys []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"setKeys"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expect)+len(in.SetKeys)+len(in.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, items := false, []any{}
	for _, e := range in.Expect {
		it := s.items[e.Key]
		switch {
		case it == nil:
			conflict = conflict || e.Revision != 0
			items = append(items, map[string]any{"key": e.Key, "revision": 0})
		default:
			conflict = conflict || it.Revision != e.Revision
			items = append(items, *it)
		}
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	for _, k := range in.SetKeys {
		switch {
		case reserved(k.Key):
			w.WriteHeader(http.StatusForbidden)
			return
		case len(k.Key) > maxKeyBytes || len(k.Value) > maxValueBytes:
			w.WriteHeader(http.StatusBadRequest)
			return
		case k.Lease != 0 && s.leases[k.Lease] == nil:
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	if len(in.SetKeys)+len(in.Remove) > 0 {
		s.rev++
		for _, k := range in.SetKeys {
			s.put(k.Key, k.Value, k.Lease)
		}
		for _, k := range in.Remove {
			s.remove(k)
		}
		s.notify()
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

// reserved reports whether only the operator and the runners write a key.
func reserved(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

func (s *Store) openLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := max(time.Duration(in.TTLMs)*time.Millisecond, ttlMin)
	s.rev++
	id := s.rev
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *Store) keep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64) // an invalid id names no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil || time.Now().After(l.end) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) closeLease(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64) // an invalid id names no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[n] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(n)
	reply(w, http.StatusOK, map[string]any{})
}

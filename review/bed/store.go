package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode is how the store treats the calls of hosts.
type storeMode string

const (
	storeServes storeMode = ""       // serves them
	storeBusy   storeMode = "busy"   // answers 503 and does nothing
	storeSilent storeMode = "silent" // neither carries them out nor answers
)

const (
	storeAnswerTime = 4 * time.Millisecond
	storePageItems  = 500
	maxTxnRows      = 32
	entryTTL        = 3 * heartbeatInterval // a runner's entry without a heartbeat for so long is removed
)

// kvItem is a key in the store's JSON.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// kvLease is a lease; its keys go with it.
type kvLease struct {
	ttl  time.Duration
	ends time.Time
}

// kvStore stands in for the platform's metadata store.
type kvStore struct {
	mu        sync.Mutex
	rev       uint64
	items     map[string]kvItem
	history   []kvItem
	leases    map[uint64]*kvLease
	lastLease uint64
	changed   chan struct{}
	modes     map[int]storeMode // by host
	beats     map[string]time.Time
	txns      int // transactions that were carried out
}

func newStore() *kvStore {
	return &kvStore{rev: 1, items: map[string]kvItem{}, leases: map[uint64]*kvLease{}, changed: make(chan struct{}), modes: map[int]storeMode{}, beats: map[string]time.Time{}}
}

// setMode sets how the store treats a host; -1: all hosts and the runners.
func (s *kvStore) setMode(host int, m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if host >= 0 {
		s.modes[host] = m
		return
	}
	for i := -1; i < maxHosts; i++ {
		s.modes[i] = m
	}
	// While the store is down, leases and entries pause.
	if m == storeServes {
		now := time.Now()
		for _, l := range s.leases {
			l.ends = now.Add(l.ttl)
		}
		for k := range s.beats {
			s.beats[k] = now
		}
	}
}

// put writes a key for the operator or, as a heartbeat, for a runner. It reports whether the store serves the writer.
func (s *kvStore) put(key string, value any, beat bool) bool {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if beat && s.modes[-1] != storeServes {
		return false
	}
	if beat {
		s.beats[key] = time.Now()
	}
	s.apply(map[string]kvItem{key: {Value: b}}, nil)
	return true
}

// get returns a key's value.
func (s *kvStore) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// apply carries out writes as one revision. The caller holds the lock.
func (s *kvStore) apply(set map[string]kvItem, remove []string) {
	s.rev++
	for k, it := range set {
		it.Key, it.Revision, it.Created = k, s.rev, s.items[k].Created
		if it.Created == 0 {
			it.Created = s.rev
		}
		s.items[k] = it
		s.history = append(s.history, it)
	}
	for _, k := range remove {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, kvItem{Key: k, Revision: s.rev, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends what has expired. The caller holds the lock.
func (s *kvStore) expire() {
	if s.modes[-1] != storeServes {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
	for k, at := range s.beats {
		if now.Sub(at) > entryTTL {
			delete(s.beats, k)
			s.apply(nil, []string{k})
		}
	}
}

// endLease ends a lease. The caller holds the lock.
func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

// handler serves the store to one host.
func (s *kvStore) handler(host int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) { s.serveWatch(w, r, host) })
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) { s.serveKeep(w, r, false) })
	mux.HandleFunc("DELETE /kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) { s.serveKeep(w, r, true) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		s.mu.Lock()
		s.expire()
		mode := s.modes[host]
		s.mu.Unlock()
		switch mode {
		case storeBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case storeSilent:
			<-r.Context().Done()
		default:
			mux.ServeHTTP(w, r)
		}
	})
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"storeRevision": rev})
		return
	}
	answer(w, http.StatusOK, struct {
		kvItem
		StoreRevision uint64 `json:"storeRevision"`
	}{it, rev})
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items         []kvItem `json:"items"`
		HasMore       bool     `json:"hasMore"`
		StoreRevision uint64   `json:"storeRevision"`
	}{[]kvItem{}, len(keys) > storePageItems, s.rev}
	for _, k := range keys[:min(len(keys), storePageItems)] {
		page.Items = append(page.Items, s.items[k])
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, page)
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request, host int) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []kvItem{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, q.Get("prefix")) {
				events = append(events, s.history[i])
			}
		}
		rev, changed, mode := s.rev, s.changed, s.modes[host]
		s.mu.Unlock()
		if mode == storeServes && (len(events) > 0 || time.Now().After(end)) {
			slices.Reverse(events)
			answer(w, http.StatusOK, struct {
				Events        []kvItem `json:"events"`
				StoreRevision uint64   `json:"storeRevision"`
			}{events, rev})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
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
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expect)+len(in.SetKeys)+len(in.Remove) > maxTxnRows {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	set := map[string]kvItem{}
	for _, k := range in.SetKeys {
		if strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if k.Lease != 0 && s.leases[k.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		set[k.Key] = kvItem{Value: k.Value, Lease: k.Lease}
	}
	items, failed := []kvItem{}, false
	for _, e := range in.Expect {
		it := s.items[e.Key]
		failed = failed || it.Revision != e.Revision
		it.Key = e.Key
		items = append(items, it)
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	if len(set)+len(in.Remove) > 0 {
		s.apply(set, in.Remove)
		s.txns++
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *kvStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTLMs < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = &kvLease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttlMs": in.TTLMs})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, r *http.Request, end bool) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		answer(w, http.StatusNotFound, struct{}{})
		return
	case end:
		s.endLease(id)
	default:
		l.ends = time.Now().Add(l.ttl)
	}
	answer(w, http.StatusOK, struct{}{})
}

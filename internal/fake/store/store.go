package store

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

const indexHeader = "X-Consul-Index"

// Store is the stand-in; its zero value is an empty service ready to serve HTTP.
type Store struct {
	mu            sync.Mutex
	rev           uint64
	rows          map[string]row
	changedAt     map[string]uint64
	sessions      map[string]*session
	changed       chan struct{}
	down          bool
	callDelay     time.Duration
	answersToLose int
	reads         int
	writes        int
}

type row struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

type session struct {
	ttl       time.Duration
	expiresAt time.Time
}

// SetDown makes every call fail (true) or be served again (false).
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		// A service that comes back gives every lease its time again, as the
		// holders could not renew meanwhile.
		for _, ss := range s.sessions {
			ss.expiresAt = time.Now().Add(ss.ttl)
		}
	}
	s.notify()
}

// SetCallDelay makes every call take at least d.
func (s *Store) SetCallDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callDelay = d
}

// LoseAnswers makes the next n writes take effect and their answers be lost.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Calls returns how many reads (watches included) and writes have arrived.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Handler returns the HTTP interface, with POST /fault beside it to bring about faults.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/kv/*", s.handleRead)
	r.Put("/v1/kv/*", s.handleWrite)
	r.Delete("/v1/kv/*", s.handleWrite)
	r.Put("/v1/session/create", s.handleCreateSession)
	r.Put("/v1/session/{verb}/{id}", s.handleSession)
	r.Get("/calls", func(w http.ResponseWriter, _ *http.Request) {
		reads, writes := s.Calls()
		_ = json.NewEncoder(w).Encode(struct {
			Reads, Writes int
		}{reads, writes})
	})
	r.Post("/fault", func(w http.ResponseWriter, r *http.Request) {
		var f struct {
			Down  bool
			Delay string
			Lose  int
		}
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d, _ := time.ParseDuration(f.Delay)
		s.SetDown(f.Down)
		s.SetCallDelay(d)
		s.LoseAnswers(f.Lose)
	})
	return r
}

// beginCall counts the call and reports whether the service is up; the lock is held on return.
func (s *Store) beginCall(w http.ResponseWriter, count *int) bool {
	s.mu.Lock()
	*count++
	d := s.callDelay
	if d > 0 {
		s.mu.Unlock()
		time.Sleep(d)
		s.mu.Lock()
	}
	if s.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if s.rows == nil {
		s.rows = map[string]row{}
		s.changedAt = map[string]uint64{}
		s.sessions = map[string]*session{}
		s.rev = 1
	}
	s.expireSessions()
	return true
}

// expireSessions drops the sessions whose time is up, with the keys they hold.
func (s *Store) expireSessions() {
	now := time.Now()
	for id, ss := range s.sessions {
		if now.After(ss.expiresAt) {
			s.endSession(id)
		}
	}
}

func (s *Store) endSession(id string) {
	delete(s.sessions, id)
	for k, r := range s.rows {
		if r.Session == id {
			delete(s.rows, k)
			s.recordChange(k)
		}
	}
}

func (s *Store) recordChange(key string) {
	s.rev++
	s.changedAt[key] = s.rev
	s.notify()
}

func (s *Store) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Store) changeSignal() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// expiryInterval is how often a waiting watch looks for lapsed sessions.
const expiryInterval = 100 * time.Millisecond

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	q := r.URL.Query()
	_, recurse := q["recurse"]
	after, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	until := time.Now().Add(wait)
	if !s.beginCall(w, &s.reads) {
		s.mu.Unlock()
		return
	}
	rows, rev := s.findRows(key, recurse)
	for rev <= after && time.Now().Before(until) && !s.down {
		ch := s.changeSignal()
		s.mu.Unlock()
		select {
		case <-ch:
		case <-r.Context().Done():
			return
		case <-time.After(min(expiryInterval, time.Until(until))):
		}
		s.mu.Lock()
		s.expireSessions()
		rows, rev = s.findRows(key, recurse)
	}
	down := s.down
	s.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(indexHeader, strconv.FormatUint(rev, 10))
	if len(rows) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(rows)
}

// findRows returns the rows asked for and the revision of the last change among them, deletions included.
func (s *Store) findRows(key string, recurse bool) ([]row, uint64) {
	var rows []row
	for k, r := range s.rows {
		if k == key || recurse && strings.HasPrefix(k, key) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	rev := uint64(1)
	for k, at := range s.changedAt {
		if k == key || recurse && strings.HasPrefix(k, key) {
			rev = max(rev, at)
		}
	}
	return rows, rev
}

func (s *Store) handleWrite(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ok := s.beginCall(w, &s.writes)
	defer s.mu.Unlock()
	if !ok {
		return
	}
	done := s.applyWrite(key, value, r)
	s.sendAnswer(w, strconv.FormatBool(done))
}

func (s *Store) applyWrite(key string, value []byte, r *http.Request) bool {
	old, exists := s.rows[key]
	q := r.URL.Query()
	owner := old.Session
	if id := q.Get("acquire"); id != "" {
		if s.sessions[id] == nil || exists && old.Session != "" && old.Session != id {
			return false
		}
		owner = id
	}
	if c := q.Get("cas"); c != "" {
		rev, _ := strconv.ParseUint(c, 10, 64)
		if old.ModifyIndex != rev {
			return false
		}
	}
	s.recordChange(key)
	if r.Method == http.MethodDelete {
		delete(s.rows, key)
		return true
	}
	s.rows[key] = row{key, value, s.rev, owner}
	return true
}

// sendAnswer sends the text unless this sendAnswer is one of those to be lost.
func (s *Store) sendAnswer(w http.ResponseWriter, text string) {
	if s.answersToLose > 0 {
		s.answersToLose--
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (s *Store) handleCreateSession(w http.ResponseWriter, r *http.Request) {
	var in struct{ TTL string }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(in.TTL)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ok := s.beginCall(w, &s.writes)
	defer s.mu.Unlock()
	if !ok {
		return
	}
	id := uuid.NewString()
	s.sessions[id] = &session{ttl, time.Now().Add(ttl)}
	s.sendAnswer(w, `{"ID":"`+id+`"}`)
}

func (s *Store) handleSession(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	ok := s.beginCall(w, &s.writes)
	defer s.mu.Unlock()
	if !ok {
		return
	}
	ss := s.sessions[id]
	if ss == nil {
		http.Error(w, "no such session", http.StatusNotFound)
		return
	}
	if chi.URLParam(r, "verb") == "destroy" {
		s.endSession(id)
	} else {
		ss.expiresAt = time.Now().Add(ss.ttl)
	}
	s.sendAnswer(w, "true")
}

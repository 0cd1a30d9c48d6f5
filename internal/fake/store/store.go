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

// indexHeader is the response header with the revision of the last change of what was read.
const indexHeader = "X-Consul-Index"

// Store is the key-value service. Its zero value is empty and ready to serve HTTP.
type Store struct {
	mu            sync.Mutex          // guards the fields below
	rev           uint64              // revision of the last change
	rows          map[string]row      // by key
	changedAt     map[string]uint64   // revision of each key's last change, deletions included
	sessions      map[string]*session // by ID
	changed       chan struct{}       // closed at the next change; nil if no watch waits
	down          bool                // calls are refused
	callDelay     time.Duration       // added to each call
	answersToLose int                 // number of writes whose answers are still to be lost
	reads         int                 // number of reads so far, watches included
	writes        int                 // number of writes so far, calls on sessions included
}

// row is a key in the encoding of the HTTP interface.
type row struct {
	Key         string
	Value       []byte
	ModifyIndex uint64 // revision of the last change
	Session     string // ID of the session whose end deletes the key; empty if there is none
}

// session is an open session; it ends if it is not renewed.
type session struct {
	ttl       time.Duration // from a renewal to the expiry
	expiresAt time.Time
}

// SetDown makes every call fail, or be served again. Waiting watches see the change at once.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		// Every session gets its full TTL again, because its owner could not
		// renew it while the service was down.
		for _, sess := range s.sessions {
			sess.expiresAt = time.Now().Add(sess.ttl)
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

// LoseAnswers makes the next n writes take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Calls returns the number of reads, watches included, and of writes that have arrived.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Handler returns the HTTP interface. In addition to the platform's routes, GET /calls returns the
// numbers of calls and POST /fault injects faults.
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

// expireSessions ends the sessions that have expired.
func (s *Store) expireSessions() {
	now := time.Now()
	for id, sess := range s.sessions {
		if now.After(sess.expiresAt) {
			s.endSession(id)
		}
	}
}

// endSession ends a session and deletes its keys.
func (s *Store) endSession(id string) {
	delete(s.sessions, id)
	for k, r := range s.rows {
		if r.Session == id {
			delete(s.rows, k)
			s.recordChange(k)
		}
	}
}

// recordChange assigns a new revision to the change of a key and wakes the watches.
func (s *Store) recordChange(key string) {
	s.rev++
	s.changedAt[key] = s.rev
	s.notify()
}

// notify wakes the waiting watches.
func (s *Store) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// changeSignal returns a channel that is closed at the next change.
func (s *Store) changeSignal() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// expiryInterval is how often a waiting watch ends the sessions that have expired.
const expiryInterval = 100 * time.Millisecond

// handleRead serves a read of a key or prefix. With a wait, it is a watch: it answers when the revision
// exceeds the index, when the wait has passed or when the service is down.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	q := r.URL.Query()
	_, recurse := q["recurse"]
	after, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	deadline := time.Now().Add(wait)
	if !s.beginCall(w, &s.reads) {
		s.mu.Unlock()
		return
	}
	rows, rev := s.findRows(key, recurse)
	for rev <= after && time.Now().Before(deadline) && !s.down {
		changed := s.changeSignal()
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(min(expiryInterval, time.Until(deadline))):
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

// findRows returns the rows of a key, or of a prefix if recurse is set, and the revision of the last change among
// them, deletions included.
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

// handleWrite serves a write or deletion of a key; its answer says whether the conditions held.
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
	applied := s.applyWrite(key, value, r)
	s.sendAnswer(w, strconv.FormatBool(applied))
}

// applyWrite carries out a write or deletion if the conditions of its query hold, and reports whether they did:
// the session to acquire exists and no other one owns the key, and the key has the revision given by cas.
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

// sendAnswer sends the text, or aborts the connection if this answer is to be lost.
func (s *Store) sendAnswer(w http.ResponseWriter, text string) {
	if s.answersToLose > 0 {
		s.answersToLose--
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// handleCreateSession opens a session and answers with its ID.
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

// handleSession ends a session if the verb is destroy, and renews it otherwise.
func (s *Store) handleSession(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	ok := s.beginCall(w, &s.writes)
	defer s.mu.Unlock()
	if !ok {
		return
	}
	sess := s.sessions[id]
	if sess == nil {
		http.Error(w, "no such session", http.StatusNotFound)
		return
	}
	if chi.URLParam(r, "verb") == "destroy" {
		s.endSession(id)
	} else {
		sess.expiresAt = time.Now().Add(sess.ttl)
	}
	s.sendAnswer(w, "true")
}

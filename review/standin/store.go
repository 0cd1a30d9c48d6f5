package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramleysail.example/bramleysail/internal/fake/txkv"
	"bramleysail.example/bramleysail/platform/fake"
)

// platformStore serves the project's own stand-in of the platform's store to the hosts, to each at an address of its own.
type platformStore struct {
	service *txkv.Service
	net     *network
	zone    string // in which the store stands
	rec     *record

	mu     sync.Mutex
	down   bool          // calls that arrive get no answer
	isUp   chan struct{} // closed when the store isn't down any more
	leases []string      // opened so far

	beats map[string]time.Time // when each runner last wrote its entry, by key
}

// What the pages say of the runners' entries.
const (
	heartbeat   = 1500 * time.Millisecond // heartbeatMs
	missedBeats = 3                       // heartbeat intervals of silence after which an entry is removed
)

// writeEntry writes the entry of a runner that stands in a zone. While the runner doesn't reach the store, or the store is
// down, nothing is written.
func (s *platformStore) writeEntry(zone, key string, value []byte) {
	reached, _ := s.net.reaches(zone, s.zone)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !reached || s.down {
		return
	}
	if s.beats == nil {
		s.beats = map[string]time.Time{}
	}
	s.beats[key] = time.Now()
	s.service.Put(key, value)
}

// removeSilent removes the entries of runners that have been silent for too long. Those that the outage of the store keeps
// from writing stay.
func (s *platformStore) removeSilent() {
	for range time.Tick(heartbeat / 10) {
		s.mu.Lock()
		for key, at := range s.beats {
			if !s.down && time.Since(at) > missedBeats*heartbeat {
				delete(s.beats, key)
				s.service.RemoveKey(key)
				s.rec.add("store: the entry %s is removed", key)
			}
		}
		s.mu.Unlock()
	}
}

// serve serves the store to host j, which stands in a zone.
func (s *platformStore) serve(j int, zone string) error {
	l, err := net.Listen("tcp", s.net.storeView(j))
	if err != nil {
		return err
	}
	inner := fake.NewStoreHandler(s.service)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, inner, j, zone) }))
	}()
	return nil
}

// handle passes on a call and its answer, with the addresses in the values translated. A cut holds both up.
func (s *platformStore) handle(w http.ResponseWriter, r *http.Request, inner http.Handler, j int, zone string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	body = translateValues(body, viewPrefix(j), ownPrefix)
	s.awaitPath(r, zone)
	if down, _ := s.state(); down {
		<-r.Context().Done() // not carried out, and the connection returns nothing further
		panic(http.ErrAbortHandler)
	}
	answer := s.call(r, inner, body)
	if down, _ := s.state(); down { // a watch that waited as the outage began
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.awaitPath(r, zone)
	s.noteLease(r, answer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.code)
	_, _ = w.Write(translateValues(answer.body.Bytes(), ownPrefix, viewPrefix(j)))
}

// awaitPath waits until the caller's zone and the store reach each other. It ends the call if the caller leaves meanwhile.
func (s *platformStore) awaitPath(r *http.Request, zone string) {
	for {
		ok, healed := s.net.reaches(zone, s.zone)
		if ok {
			return
		}
		select {
		case <-healed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// state reports whether the store is down, and returns a channel that is closed when it isn't any more.
func (s *platformStore) state() (down bool, isUp <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.isUp
}

// noteLease notes a lease that was opened.
func (s *platformStore) noteLease(r *http.Request, answer *answerBuffer) {
	var out struct {
		Lease uint64 `json:"lease"`
	}
	if r.URL.Path != "/kv-lease" || json.Unmarshal(answer.body.Bytes(), &out) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases = append(s.leases, strconv.FormatUint(out.Lease, 10))
}

// call makes a call of the store and returns the answer.
func (s *platformStore) call(r *http.Request, inner http.Handler, body []byte) *answerBuffer {
	in := r.Clone(r.Context())
	in.Body = io.NopCloser(bytes.NewReader(body))
	answer := &answerBuffer{header: http.Header{}, code: http.StatusOK}
	inner.ServeHTTP(answer, in)
	return answer
}

// answerBuffer keeps an answer.
type answerBuffer struct {
	header http.Header
	code   int
	body   bytes.Buffer
}

func (a *answerBuffer) Header() http.Header         { return a.header }
func (a *answerBuffer) WriteHeader(code int)        { a.code = code }
func (a *answerBuffer) Write(b []byte) (int, error) { return a.body.Write(b) }

// translateValues replaces a prefix of addresses in all values of a body, which are base64 in JSON.
func translateValues(body []byte, from, to string) []byte {
	var doc any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if d.Decode(&doc) != nil {
		return body
	}
	out, err := json.Marshal(translateIn(doc, from, to))
	if err != nil {
		return body
	}
	return out
}

// translateIn does the same for a decoded JSON value.
func translateIn(doc any, from, to string) any {
	switch v := doc.(type) {
	case []any:
		for i := range v {
			v[i] = translateIn(v[i], from, to)
		}
	case map[string]any:
		for key, inner := range v {
			text, isText := inner.(string)
			if key != "value" || !isText {
				v[key] = translateIn(inner, from, to)
				continue
			}
			if raw, err := base64.StdEncoding.DecodeString(text); err == nil {
				v[key] = base64.StdEncoding.EncodeToString(bytes.ReplaceAll(raw, []byte(from), []byte(to)))
			}
		}
	}
	return doc
}

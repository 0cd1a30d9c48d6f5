package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	serviceName = "cellar"
	queueHost   = "cellar.example"
	deadline    = 3 * time.Second
)

// queue is a route of the configuration.
type queue struct {
	name, prefix string
}

// client sends requests to the hosts.
type client struct {
	http   *http.Client
	addrs  []string // of the hosts' frontends
	ledger *ledger
}

// response is an answer to a request; code 0: none.
type response struct {
	code  int
	after time.Duration
	body  []byte
}

// send makes one attempt at a host.
func (c *client) send(method, addr, path string, body []byte) response {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}
	}
	s, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return response{resp.StatusCode, time.Duration(s) * time.Second, data}
}

// newID returns a job's id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, at one host after the other, and reports whether it is accepted.
func (c *client) submit(q *queue, b jobBody, attempts int) (*job, bool) {
	j := &job{id: newID(), queue: q, body: b}
	c.ledger.mu.Lock()
	c.ledger.jobs[j.id] = j
	c.ledger.mu.Unlock()
	data, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	at := rand.IntN(len(c.addrs))
	for i := range attempts {
		r := c.send(http.MethodPost, c.addrs[(at+i)%len(c.addrs)], q.prefix+j.id, data)
		c.ledger.note("client submits %s: %d", j.id, r.code)
		c.ledger.mu.Lock()
		switch {
		case r.code/100 == 2:
			j.accepted = time.Now()
			c.ledger.mu.Unlock()
			return j, true
		case r.code == http.StatusTooManyRequests || r.code == http.StatusServiceUnavailable:
			j.refused++
		default:
			j.open++
		}
		c.ledger.mu.Unlock()
		time.Sleep(max(r.after, 200*time.Millisecond))
	}
	return j, false
}

// state asks for a job's state; empty: no answer, "gone": 410.
func (c *client) state(j *job) string {
	r := c.send(http.MethodGet, c.addrs[rand.IntN(len(c.addrs))], j.queue.prefix+j.id, nil)
	if r.code == http.StatusGone {
		return "gone"
	}
	var out struct {
		State string `json:"state"`
	}
	if r.code != http.StatusOK || json.Unmarshal(r.body, &out) != nil {
		return ""
	}
	return out.State
}

// cancel cancels a job and reports whether that was acknowledged.
func (c *client) cancel(j *job) bool {
	c.ledger.mu.Lock()
	if j.cancelAsked.IsZero() {
		j.cancelAsked = time.Now()
	}
	c.ledger.mu.Unlock()
	r := c.send(http.MethodDelete, c.addrs[rand.IntN(len(c.addrs))], j.queue.prefix+j.id, nil)
	c.ledger.note("client cancels %s: %d", j.id, r.code)
	if r.code/100 == 2 || r.code == http.StatusGone {
		c.ledger.mu.Lock()
		j.cancelled = time.Now()
		c.ledger.mu.Unlock()
		return true
	}
	return false
}

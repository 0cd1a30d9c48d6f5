package world3

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

// Step is a step of a job, as clients send it, and how long its tasks take.
type Step struct {
	Count         int     `json:"count"`
	CPU           int     `json:"cpu"`
	MemMb         int     `json:"memMb"`
	EstimateMs    int     `json:"estimateMs,omitempty"`
	After         []int   `json:"after,omitempty"`
	Checkpointing bool    `json:"checkpointing,omitempty"`
	Gang          bool    `json:"gang,omitempty"`
	Requirements  string  `json:"requirements,omitempty"`
	AntiAffinity  int     `json:"antiAffinity,omitempty"`
	Speculative   bool    `json:"speculative,omitempty"`
	LongRunning   bool    `json:"longRunning,omitempty"`
	Image         string  `json:"image,omitempty"`
	TargetMs      float64 `json:"targetMs,omitempty"`
	Fills         bool    `json:"fills,omitempty"`
	MayMiss       int     `json:"mayMiss,omitempty"`

	TaskMs int `json:"-"` // work of a task
}

// Job is a job as clients send it.
type Job struct {
	ID       string `json:"-"`
	Spec     string `json:"spec"`
	JobSteps []Step `json:"jobSteps"`

	StartAtMs   int64 `json:"startAtMs,omitempty"`
	IntervalMs  int64 `json:"intervalMs,omitempty"`
	RepeatCount int   `json:"repeatCount,omitempty"`
}

// NewID returns a job id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Route is a queue of the configuration.
type Route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Service         string  `json:"service"`
	Priority        int     `json:"priority"`
	MaxAttempts     int     `json:"maxAttempts"`
	StretchFactor   float64 `json:"stretchFactor"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
}

// WriteConfig writes a configuration as the operator does.
func WriteConfig(s *Store, version int, routes []Route, service string, guards bool) {
	s.Set("op/config", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{},
		"services": []any{map[string]any{"name": service, "rejectsOverload": guards}},
	})
}

// Call makes one HTTP call on a connection of its own and returns the status, 0 if there was no answer.
func Call(method, url, host string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		req.Host = host
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: t}).Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// callerDeadline is how long clients wait for an answer.
const callerDeadline = 3 * time.Second

// Submit hands a job in at the hosts by turns until it is accepted, and reports whether it was.
func Submit(hosts []*Host, r Route, j *Job, rec *Record, tries int) bool {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	first := rand.IntN(len(hosts))
	for i := range tries {
		h := hosts[(first+i)%len(hosts)]
		code, _ := Call("POST", "http://"+h.Caller+r.Prefix+j.ID, r.Host, body, callerDeadline)
		rec.Note("POST %s at %s: %d", j.ID, h.Name, code)
		switch {
		case code >= 200 && code < 300:
			return true
		case code == 404 || code == 400:
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// State asks for the state of a job and returns the status and the state.
func State(h *Host, r Route, id string, rec *Record) (int, string) {
	code, data := Call("GET", "http://"+h.Caller+r.Prefix+id, r.Host, nil, callerDeadline)
	var out struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &out) // no state is shown then
	rec.Note("GET %s at %s: %d %s", id, h.Name, code, out.State)
	return code, out.State
}

// Cancel cancels a job and returns the status.
func Cancel(h *Host, r Route, id string, rec *Record) int {
	code, _ := Call("DELETE", "http://"+h.Caller+r.Prefix+id, r.Host, nil, callerDeadline)
	rec.Note("DELETE %s at %s: %d", id, h.Name, code)
	return code
}

package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// HTTP is a Store that uses the platform's HTTP interface: blocking reads by
// index, conditional writes by revision, and sessions with a time to live.
type HTTP struct {
	baseURL string // URL of the service, without a trailing slash
	client  *http.Client
}

// NewHTTP returns a client of the service at base (such as http://10.0.0.1:8500).
// The timeout bounds each call; a watch may take its wait time on top.
func NewHTTP(base string, timeout time.Duration) *HTTP {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.ResponseHeaderTimeout = 0
	t.MaxIdleConnsPerHost = maxIdleConns
	return &HTTP{baseURL: strings.TrimRight(base, "/"), client: &http.Client{Transport: &timeoutTransport{timeout, t}}}
}

const (
	maxIdleConns    = 8                // idle connections kept to the service
	indexHeader     = "X-Consul-Index" // response header with the revision of the last change of what was read
	maxResponseSize = 64 << 20         // largest response body in bytes that is read
)

// timeoutTransport limits the time of each exchange, including the reading of the response
// body. A watch has its wait time added to the limit.
type timeoutTransport struct {
	timeout time.Duration // limit without the wait time of a watch
	next    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *timeoutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	limit := t.timeout
	if w, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil {
		limit += w
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	resp, err := t.next.RoundTrip(r.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelBody{resp.Body, cancel}
	return resp, nil
}

// cancelBody is a response body that releases the context of its exchange when closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	listing, err := h.getEntries(ctx, key, url.Values{})
	if err != nil {
		return Entry{}, err
	}
	if len(listing.Entries) == 0 {
		return Entry{}, ErrNotFound
	}
	return listing.Entries[0], nil
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
	q := url.Values{"recurse": {""}}
	if after > 0 && wait > 0 {
		q.Set("index", strconv.FormatUint(after, 10))
		q.Set("wait", wait.String())
	}
	return h.getEntries(ctx, prefix, q)
}

// getEntries reads a key, or every key that begins with it if q has recurse. Absent keys give an empty listing.
func (h *HTTP) getEntries(ctx context.Context, key string, q url.Values) (Listing, error) {
	resp, body, err := h.call(ctx, http.MethodGet, "/v1/kv/"+key, q, nil)
	if err != nil {
		return Listing{}, err
	}
	rev, err := strconv.ParseUint(resp.Header.Get(indexHeader), 10, 64)
	if err != nil {
		return Listing{}, errors.Wrap(ErrOutcomeUnknown, "answer without index")
	}
	listing := Listing{Rev: rev}
	if resp.StatusCode == http.StatusNotFound {
		return listing, nil
	}
	var rows []struct {
		Key         string
		Value       []byte
		ModifyIndex uint64
		Session     string
	}
	if err := json.Unmarshal(body, &rows); err != nil {
		return Listing{}, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	for _, r := range rows {
		listing.Entries = append(listing.Entries, Entry{r.Key, r.Value, r.ModifyIndex, r.Session})
	}
	return listing, nil
}

// Swap implements Store.
func (h *HTTP) Swap(ctx context.Context, key string, value []byte, rev uint64) error {
	if len(value) > MaxValueSize {
		return errors.Errorf("store: value of %d bytes exceeds %d", len(value), MaxValueSize)
	}
	q := url.Values{"cas": {strconv.FormatUint(rev, 10)}}
	return h.callConditional(ctx, http.MethodPut, key, q, value)
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key string, rev uint64) error {
	q := url.Values{"cas": {strconv.FormatUint(rev, 10)}}
	return h.callConditional(ctx, http.MethodDelete, key, q, nil)
}

// Acquire implements Store.
func (h *HTTP) Acquire(ctx context.Context, lease, key string, value []byte) error {
	return h.callConditional(ctx, http.MethodPut, key, url.Values{"acquire": {lease}}, value)
}

// callConditional makes a write that the service answers by true (done) or false (condition failed).
func (h *HTTP) callConditional(ctx context.Context, method, key string, q url.Values, value []byte) error {
	_, body, err := h.call(ctx, method, "/v1/kv/"+key, q, value)
	if err != nil {
		return err
	}
	switch strings.TrimSpace(string(body)) {
	case "true":
		return nil
	case "false":
		return ErrConflict
	}
	return errors.Wrap(ErrOutcomeUnknown, "answer is neither true nor false")
}

// OpenLease implements Store.
func (h *HTTP) OpenLease(ctx context.Context, ttl time.Duration) (string, error) {
	req, _ := json.Marshal(struct{ TTL, Behavior string }{ttl.String(), "delete"})
	_, body, err := h.call(ctx, http.MethodPut, "/v1/session/create", nil, req)
	if err != nil {
		return "", err
	}
	var out struct{ ID string }
	if err := json.Unmarshal(body, &out); err != nil || out.ID == "" {
		return "", errors.Wrap(ErrOutcomeUnknown, "session without id")
	}
	return out.ID, nil
}

// RenewLease implements Store.
func (h *HTTP) RenewLease(ctx context.Context, lease string) error {
	return h.callSession(ctx, "renew", lease)
}

// CloseLease implements Store.
func (h *HTTP) CloseLease(ctx context.Context, lease string) error {
	return h.callSession(ctx, "destroy", lease)
}

// callSession renews or destroys (by verb) the session that stands for a lease.
func (h *HTTP) callSession(ctx context.Context, verb, lease string) error {
	resp, _, err := h.call(ctx, http.MethodPut, "/v1/session/"+verb+"/"+lease, nil, nil)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusNotFound {
		return ErrLeaseNotFound
	}
	return nil
}

// call makes one HTTP call and returns the response with its whole body. A status other than
// 200 and 404 is an unknown outcome.
func (h *HTTP) call(ctx context.Context, method, path string, q url.Values, body []byte) (*http.Response, []byte, error) {
	u := h.baseURL + path
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "store")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return nil, nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return nil, nil, errors.Wrap(ErrOutcomeUnknown, fmt.Sprintf("status %d", resp.StatusCode))
	}
	return resp, data, nil
}

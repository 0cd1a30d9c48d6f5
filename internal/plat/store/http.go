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

// HTTP is a Store that speaks the platform's HTTP interface: blocking reads by
// index, conditional writes by revision, and sessions with a time to live.
type HTTP struct {
	baseURL string
	client  *http.Client
}

// NewHTTP returns a client of the service at base (such as http://10.0.0.1:8500);
// timeout bounds each call, not counting the wait of a watch.
func NewHTTP(base string, timeout time.Duration) *HTTP {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.ResponseHeaderTimeout = 0
	t.MaxIdleConnsPerHost = maxIdleConns
	return &HTTP{baseURL: strings.TrimRight(base, "/"), client: &http.Client{Transport: &timeoutTransport{timeout, t}}}
}

const (
	maxIdleConns    = 8
	indexHeader     = "X-Consul-Index"
	maxResponseSize = 64 << 20
)

// timeoutTransport bounds every exchange in time, adding the wait that a watch asks for.
type timeoutTransport struct {
	timeout time.Duration
	next    http.RoundTripper
}

func (d *timeoutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	limit := d.timeout
	if w, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil {
		limit += w
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	resp, err := d.next.RoundTrip(r.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelBody{resp.Body, cancel}
	return resp, nil
}

type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	p, err := h.getEntries(ctx, key, url.Values{})
	if err != nil {
		return Entry{}, err
	}
	if len(p.Entries) == 0 {
		return Entry{}, ErrNotFound
	}
	return p.Entries[0], nil
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

func (h *HTTP) getEntries(ctx context.Context, key string, q url.Values) (Listing, error) {
	resp, body, err := h.call(ctx, http.MethodGet, "/v1/kv/"+key, q, nil)
	if err != nil {
		return Listing{}, err
	}
	rev, err := strconv.ParseUint(resp.Header.Get(indexHeader), 10, 64)
	if err != nil {
		return Listing{}, errors.Wrap(ErrOutcomeUnknown, "answer without index")
	}
	page := Listing{Rev: rev}
	if resp.StatusCode == http.StatusNotFound {
		return page, nil
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
		page.Entries = append(page.Entries, Entry{r.Key, r.Value, r.ModifyIndex, r.Session})
	}
	return page, nil
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

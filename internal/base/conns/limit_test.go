package conns

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
)

// newClient returns a client that keeps idle connections, and the number of its open connections.
func newClient(l *Limit) (*http.Client, *atomic.Int64) {
	var open atomic.Int64
	tr := &http.Transport{MaxIdleConnsPerHost: 4}
	tr.DialContext = l.WrapDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		open.Add(1)
		return &limitedConn{Conn: c, release: func() { open.Add(-1) }}, nil
	})
	l.AddIdleCloser(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}, &open
}

// TestIdleConnsClosedAtLimit guards against idle connections that take all file descriptors of a process, so that
// calls to other peers fail.
func TestIdleConnsClosedAtLimit(t *testing.T) {
	const maxConns, peers = 3, 10
	for _, tt := range []struct {
		name  string
		limit *Limit
		want  int64 // largest allowed number of open connections
	}{
		{"limit", New(maxConns), maxConns},
		{"no limit", New(0), peers},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, open := newClient(tt.limit)
			for range peers {
				srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
				defer srv.Close()
				resp, err := c.Get(srv.URL)
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
				if got := open.Load(); got > tt.want {
					t.Fatalf("%d connections open, want at most %d", got, tt.want)
				}
			}
		})
	}
}

// TestDialBeyondLimit checks that a dial without a free slot fails with an error that shows that nothing was sent,
// and that a connection frees its slot only once.
func TestDialBeyondLimit(t *testing.T) {
	l := New(1)
	dial := l.WrapDial(func(context.Context, string, string) (net.Conn, error) {
		a, _ := net.Pipe()
		return a, nil
	})
	first, err := dial(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	_, err = dial(t.Context(), "tcp", "")
	var opErr *net.OpError
	if !errors.As(err, &opErr) || opErr.Op != "dial" {
		t.Errorf("dial beyond the limit: %v, want a *net.OpError with Op \"dial\"", err)
	}
	_, _ = first.Close(), first.Close()
	if _, err := dial(t.Context(), "tcp", ""); err != nil {
		t.Errorf("dial after a connection was closed: %v", err)
	}
	if _, err := dial(t.Context(), "tcp", ""); err == nil {
		t.Error("a connection that was closed twice has freed two slots")
	}
}

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

// newClient returns a newClient that keeps its connections, and how many of them are open.
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

// TestIdleConnsClosedAtLimit guards against idle connections that take all of a process's descriptors, so that
// calls of other peers fail.
func TestIdleConnsClosedAtLimit(t *testing.T) {
	const most, peers = 3, 10
	for _, tt := range []struct {
		name  string
		limit *Limit
		want  int64 // connections open at the end, at most
	}{
		{"bound", New(most), most},
		{"no bound", New(0), peers},
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
					t.Fatalf("%d connections open, want %d at most", got, tt.want)
				}
			}
		})
	}
}

// TestDialBeyondLimit checks that a dial without a place says that nothing was sent, and that a closed connection gives its place back once.
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
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		t.Errorf("a dial beyond the limit: %v, want an error of a dial", err)
	}
	_, _ = first.Close(), first.Close()
	if _, err := dial(t.Context(), "tcp", ""); err != nil {
		t.Errorf("after a close: %v", err)
	}
	if _, err := dial(t.Context(), "tcp", ""); err == nil {
		t.Error("closed twice, a connection has given two places back")
	}
}

package meter

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	tally "github.com/uber-go/tally/v4"
)

// pipe returns the two ends of a connection, the first of which counts.
func pipe(m *Meter, p Purpose) (net.Conn, net.Conn) {
	a, b := net.Pipe()
	return m.Wrap(p)(a), b
}

func TestUsage(t *testing.T) {
	m := &Meter{}
	a, b := pipe(m, Orders)
	var wg sync.WaitGroup
	wg.Go(func() {
		buf := make([]byte, 100)
		_, _ = b.Read(buf)
		_, _ = b.Write(buf[:30])
	})
	if _, err := a.Write(make([]byte, 70)); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	m.AddReceived(Config, 5)
	u := m.Usage()
	if u.Sent[Orders] != 70 || u.Received[Orders] != 30 || u.Received[Config] != 5 {
		t.Errorf("usage %+v", u)
	}
	if total(u.Received) != 30 {
		t.Errorf("%d bytes received by connections, want 30: parts of the store's bytes don't count again", total(u.Received))
	}
}

// Guards against a link that is full for seconds while no line says so, and against more than a line a second.
func TestBusyLinkLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tt := range []struct {
			name      string
			limit     float64
			perSecond int // bytes sent
			lines     int // in 5 s
		}{
			{"busy", 2, 225_000, 4},
			{"not busy", 2, 150_000, 0},
			{"limit not known", 0, 225_000, 0},
		} {
			m := &Meter{}
			lines := 0
			log := funcr.New(func(_, args string) {
				if strings.Contains(args, `"msg"="link busy"`) && strings.Contains(args, `"orders-out"=1.`) {
					lines++
				}
			}, funcr.Options{})
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { m.Run(ctx, tt.limit, log, tally.NoopScope) })
			for range 50 {
				m.countOf(Orders).out.Add(int64(tt.perSecond / 10))
				time.Sleep(100 * time.Millisecond)
			}
			cancel()
			wg.Wait()
			if lines < tt.lines || lines > tt.lines+1 {
				t.Errorf("%s: %d lines, want %d", tt.name, lines, tt.lines)
			}
		}
	})
}

// Guards against a process without a meter that fails.
func TestNoMeter(t *testing.T) {
	var m *Meter
	a, _ := pipe(m, Polls)
	if _, wrapped := a.(*conn); wrapped {
		t.Error("a connection counts for no meter")
	}
	m.AddReceived(Config, 1)
	m.Run(t.Context(), 1, funcr.New(func(string, string) {}, funcr.Options{}), tally.NoopScope)
}

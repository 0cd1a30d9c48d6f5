package meter

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/base/wait"
)

// Purpose is what bytes are sent and received for.
type Purpose string

// The purposes of connections.
const (
	Callers Purpose = "callers" // requests of callers
	Polls   Purpose = "polls"   // polls of workers
	Orders  Purpose = "orders"  // orders to workers
	Store   Purpose = "store"   // calls to the store, of which Config and Directory are parts
	Peers   Purpose = "peers"   // calls among the entry processes
	Agents  Purpose = "agents"  // calls of the holder to its agents
)

// Purposes of what is received from the store.
const (
	Config    Purpose = "config"    // configuration and intent of the operators
	Directory Purpose = "directory" // entries of workers
)

// connPurposes lists the purposes of connections.
var connPurposes = []Purpose{Callers, Polls, Orders, Store, Peers, Agents}

// purposes lists all purposes.
var purposes = append(connPurposes, Config, Directory)

const (
	// reportInterval is the interval of reports, and the least time between two log lines about a busy link.
	reportInterval = time.Second
	// busyShare is the share of the link's bandwidth from which on the link is busy.
	busyShare = 0.8
)

// Meter counts bytes. Its zero value and a nil Meter are ready to use. It is safe for concurrent use.
type Meter struct {
	counts [8]count // by index in purposes
}

// count counts the bytes of one purpose.
type count struct {
	in, out atomic.Int64
}

// countOf returns the count of a purpose.
func (m *Meter) countOf(p Purpose) *count {
	for i, known := range purposes {
		if known == p {
			return &m.counts[i]
		}
	}
	panic("meter: unknown purpose " + string(p))
}

// AddReceived counts received bytes of a part of the store's purpose.
func (m *Meter) AddReceived(p Purpose, n int) {
	if m != nil {
		m.countOf(p).in.Add(int64(n))
	}
}

// Wrap returns a function that makes a connection count its bytes for a purpose.
func (m *Meter) Wrap(p Purpose) func(net.Conn) net.Conn {
	if m == nil {
		return func(c net.Conn) net.Conn { return c }
	}
	n := m.countOf(p)
	return func(c net.Conn) net.Conn { return &conn{c, n} }
}

// Listen returns a listener whose connections count their bytes for a purpose.
func (m *Meter) Listen(l net.Listener, p Purpose) net.Listener {
	return listener{l, m.Wrap(p)}
}

// conn is a connection that counts its bytes.
type conn struct {
	net.Conn
	n *count
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.out.Add(int64(n))
	return n, err
}

// listener is a listener whose connections are wrapped.
type listener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

// Usage is the bytes of each purpose over a time.
type Usage struct {
	Received, Sent map[Purpose]int64
}

// Usage returns the bytes counted so far.
func (m *Meter) Usage() Usage {
	u := Usage{map[Purpose]int64{}, map[Purpose]int64{}}
	for i, p := range purposes {
		u.Received[p], u.Sent[p] = m.counts[i].in.Load(), m.counts[i].out.Load()
	}
	return u
}

// Received returns how many bytes all connections have received so far.
func (m *Meter) Received() int64 {
	if m == nil {
		return 0
	}
	var sum int64
	for i := range connPurposes {
		sum += m.counts[i].in.Load()
	}
	return sum
}

// since returns the usage since an earlier one.
func (u Usage) since(earlier Usage) Usage {
	d := Usage{map[Purpose]int64{}, map[Purpose]int64{}}
	for _, p := range purposes {
		d.Received[p], d.Sent[p] = u.Received[p]-earlier.Received[p], u.Sent[p]-earlier.Sent[p]
	}
	return d
}

// total returns the bytes of all connections.
func total(bytes map[Purpose]int64) int64 {
	var sum int64
	for _, p := range connPurposes {
		sum += bytes[p]
	}
	return sum
}

// Run reports to the scope, and logs when the link is busy, until ctx ends. limitMbps is the bandwidth of the link in each
// direction in Mbit/s; 0: not known.
func (m *Meter) Run(ctx context.Context, limitMbps float64, log logr.Logger, scope tally.Scope) {
	if m == nil {
		return
	}
	last, lastAt := m.Usage(), time.Now()
	for wait.For(ctx, reportInterval) {
		usage, now := m.Usage(), time.Now()
		d := usage.since(last)
		d.report(scope)
		if d.busy(now.Sub(lastAt), limitMbps) {
			log.Info("link busy", d.logValues(now.Sub(lastAt), limitMbps)...)
		}
		last, lastAt = usage, now
	}
}

// report adds the usage to the metrics.
func (u Usage) report(scope tally.Scope) {
	for _, p := range purposes {
		for dir, n := range map[string]int64{"received": u.Received[p], "sent": u.Sent[p]} {
			if n > 0 {
				scope.Tagged(map[string]string{"purpose": string(p), "direction": dir}).Counter("link_bytes").Inc(n)
			}
		}
	}
}

// busy reports whether the usage over a time takes more than busyShare of the bandwidth in one direction.
func (u Usage) busy(over time.Duration, limitMbps float64) bool {
	limit := busyShare * limitMbps * 1e6 / 8 * over.Seconds()
	return limitMbps > 0 && float64(max(total(u.Received), total(u.Sent))) > limit
}

// logValues returns the keys and values of a log line, in Mbit/s.
func (u Usage) logValues(over time.Duration, limitMbps float64) []any {
	mbps := func(n int64) float64 { return float64(int(float64(n)*8/1e4/over.Seconds())) / 100 }
	values := []any{"limit", limitMbps, "received", mbps(total(u.Received)), "sent", mbps(total(u.Sent))}
	for _, p := range purposes {
		if u.Received[p]+u.Sent[p] > 0 {
			values = append(values, string(p)+"-in", mbps(u.Received[p]), string(p)+"-out", mbps(u.Sent[p]))
		}
	}
	return values
}

package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// network is the network of a deployment on loopback addresses. Its parts have addresses 127.0.x.y. Host number j sees each
// of them as 127.j.x.y instead, so that all that it sends can be held up: a cut between two regions can be played without
// any change of the machine's network. Texts that hosts exchange, and what they read from the store and write there, are
// translated in the way of network address translation.
type network struct {
	ports [4]int // of callers, readiness, peers and metrics; the store and the runners use the first

	mu     sync.Mutex
	region map[string]string // region by zone; empty: all are in one
	cut    bool              // regions don't reach each other
	healed chan struct{}     // closed when a cut ends
}

// The ports of a host by use.
const (
	callerPort = iota
	readyPort
	peerPort
	metricsPort
)

// ownPrefix begins every address as its owner sees it.
const ownPrefix = "127.0."

// newNetwork chooses free ports.
func newNetwork() (*network, error) {
	n := &network{region: map[string]string{}, healed: make(chan struct{})}
	for i := range n.ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		n.ports[i] = l.Addr().(*net.TCPAddr).Port
		defer l.Close()
	}
	return n, nil
}

// viewPrefix begins every address as host j sees it. It is as long as ownPrefix.
func viewPrefix(j int) string { return fmt.Sprintf("127.%d.", j) }

// hostAddr is the address of host i for the given use, hostView the same as host j sees it.
func (n *network) hostAddr(i, use int) string {
	return fmt.Sprintf("%s1.%d:%d", ownPrefix, i, n.ports[use])
}
func (n *network) hostView(j, i, use int) string {
	return fmt.Sprintf("%s1.%d:%d", viewPrefix(j), i, n.ports[use])
}

// runnerAddr is the address of runner k, runnerView the same as host j sees it.
func (n *network) runnerAddr(k int) string { return fmt.Sprintf("%s3.%d:%d", ownPrefix, k, n.ports[0]) }
func (n *network) runnerView(j, k int) string {
	return fmt.Sprintf("%s3.%d:%d", viewPrefix(j), k, n.ports[0])
}

// storeView is the address of the store as host j sees it.
func (n *network) storeView(j int) string { return fmt.Sprintf("%s4.1:%d", viewPrefix(j), n.ports[0]) }

// split divides the zones into two regions.
func (n *network) split(first, second []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, zone := range first {
		n.region[zone] = "1"
	}
	for _, zone := range second {
		n.region[zone] = "2"
	}
}

// setCut begins or ends a cut between the regions.
func (n *network) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut && !cut {
		close(n.healed)
		n.healed = make(chan struct{})
	}
	n.cut = cut
}

// reaches reports whether two zones reach each other, and returns a channel that is closed when the present cut ends.
func (n *network) reaches(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut || n.region[a] == n.region[b], n.healed
}

// pass waits until two zones reach each other.
func (n *network) pass(a, b string) {
	for {
		ok, healed := n.reaches(a, b)
		if ok {
			return
		}
		<-healed
	}
}

// linkHosts serves, for each pair of hosts, the address at which the one sees the peer interface of the other. Bytes that a
// cut holds up are passed on when it ends, unless the sender has closed the connection.
func (n *network) linkHosts(zones []string) error {
	for j := 1; j < len(zones); j++ {
		for i := 1; i < len(zones); i++ {
			if i == j {
				continue
			}
			l, err := net.Listen("tcp", n.hostView(j, i, peerPort))
			if err != nil {
				return err
			}
			go n.acceptFrom(l, zones, j, i)
		}
	}
	return nil
}

// acceptFrom passes on the connections that host j opens to host i.
func (n *network) acceptFrom(l net.Listener, zones []string, j, i int) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			n.pass(zones[j], zones[i])
			out, err := net.Dial("tcp", n.hostAddr(i, peerPort))
			if err != nil {
				_ = in.Close()
				return
			}
			go n.copyBytes(out, in, zones[j], zones[i], viewPrefix(i))
			n.copyBytes(in, out, zones[i], zones[j], viewPrefix(j))
		}()
	}
}

// splitWait is how long the rest of an address is waited for that may be split between two reads.
const splitWait = 5 * time.Millisecond

// copyBytes copies a stream between two zones and translates the addresses in it to those that its receiver sees.
func (n *network) copyBytes(dst, src net.Conn, from, to, prefix string) {
	defer dst.Close()
	defer src.Close()
	var kept []byte
	buf := make([]byte, 64<<10)
	for {
		if len(kept) > 0 {
			_ = src.SetReadDeadline(time.Now().Add(splitWait))
		}
		count, err := src.Read(buf)
		_ = src.SetReadDeadline(time.Time{})
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		data := bytes.ReplaceAll(append(kept, buf[:count]...), []byte(ownPrefix), []byte(prefix))
		kept = nil
		if err == nil {
			if k := splitLength(data); k > 0 {
				kept = bytes.Clone(data[len(data)-k:])
				data = data[:len(data)-k]
			}
		}
		n.pass(from, to)
		if _, writeErr := dst.Write(data); writeErr != nil || err != nil && !timedOut {
			return
		}
	}
}

// splitLength returns how many bytes at the end of data may be the beginning of an address.
func splitLength(data []byte) int {
	for k := len(ownPrefix) - 1; k > 0; k-- {
		if bytes.HasSuffix(data, []byte(ownPrefix[:k])) {
			return k
		}
	}
	return 0
}

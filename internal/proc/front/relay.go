package front

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/agent"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/plat/store"
)

const (
	// relayServiceName is the net/rpc name of a relayService.
	relayServiceName = "Relay"
	// narrowLinkMbps is the bandwidth below which a link carries a configuration of 256 kB in more than 0.3 s. Such a holder
	// reads large values over its followers, which send them compressed.
	narrowLinkMbps = 10
	// relayTimeout limits a read over a follower, which receives the value over a narrow link too.
	relayTimeout = 3 * time.Second
	// maxRelayedSize bounds what is decompressed.
	maxRelayedSize = 64 << 20
)

// RelayArgs are the arguments of relayService.Read.
type RelayArgs struct {
	Prefix string // of the keys
	Key    string // the key with this name isn't sent unless its revision differs from Rev; empty: there is none
	Rev    uint64 // known revision of Key
}

// RelayReply is the reply of relayService.Read.
type RelayReply struct {
	Changed bool   // the first of the entries is that of RelayArgs.Key
	Rev     uint64 // Listing.Rev
	Entries []byte // compressed JSON: Listing.Entries, without that of RelayArgs.Key unless it has changed
}

// relayService reads from the store for the holder, as a net/rpc service.
type relayService struct {
	store store.TxnStore
}

// Read reads the entries below a prefix. It is called by name over net/rpc.
func (s *relayService) Read(in RelayArgs, out *RelayReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	var entries []store.Entry
	if in.Key != "" {
		e, changed, err := s.store.GetIfChanged(ctx, in.Key, in.Rev)
		if err != nil {
			return err
		}
		if out.Changed = changed; changed {
			entries = append(entries, e)
		}
	}
	listing, err := s.store.RangeAfter(ctx, in.Prefix, in.Key)
	if err != nil {
		return err
	}
	out.Rev = listing.Rev
	out.Entries, err = compressEntries(append(entries, listing.Entries...))
	return err
}

// compressEntries returns entries as compressed JSON.
func compressEntries(entries []store.Entry) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if err := json.NewEncoder(w).Encode(entries); err != nil {
		return nil, errors.Wrap(err, "front")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "front")
	}
	return buf.Bytes(), nil
}

// decompressEntries returns the entries of compressed JSON.
func decompressEntries(data []byte) ([]store.Entry, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "front")
	}
	var entries []store.Entry
	err = json.NewDecoder(io.LimitReader(r, maxRelayedSize)).Decode(&entries)
	return entries, errors.Wrap(err, "front")
}

// relay returns the reader of large values for a holder with the given agents, or nil if this process's link carries them.
func (p *Process) relay(agents *agent.Client) drive.RelayReader {
	if p.settings.Limit.LinkMbps <= 0 || p.settings.Limit.LinkMbps >= narrowLinkMbps {
		return nil
	}
	return &relayReader{links: &p.forwarder.links, followers: func() []string {
		inUse := agents.Addrs()
		var others, all []string
		for _, f := range p.monitor.heardSince(time.Now().Add(-agentHeardWithin)) {
			all = append(all, f.Addr)
			if !slices.Contains(inUse, f.Addr) {
				others = append(others, f.Addr)
			}
		}
		if len(others) == 0 {
			others = all
		}
		slices.Sort(others)
		return others
	}}
}

// relayReader reads from the store over one follower after the other. It implements drive.RelayReader.
type relayReader struct {
	followers func() []string // returns the addresses of followers that aren't agents, or of all if all are
	links     *link.Set
	next      atomic.Int64 // counts reads
}

// ReadChanged implements drive.RelayReader.
func (r *relayReader) ReadChanged(ctx context.Context, prefix, key string, rev uint64) (store.Listing, bool, error) {
	addrs := r.followers()
	if len(addrs) == 0 {
		return store.Listing{}, false, errors.New("front: no follower")
	}
	addr := addrs[int(r.next.Add(1))%len(addrs)]
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := link.Call[RelayArgs, RelayReply](ctx, r.links.Get(addr), relayServiceName+".Read", RelayArgs{prefix, key, rev})
	if err != nil {
		return store.Listing{}, false, err
	}
	entries, err := decompressEntries(reply.Entries)
	return store.Listing{Entries: entries, Rev: reply.Rev}, reply.Changed, err
}

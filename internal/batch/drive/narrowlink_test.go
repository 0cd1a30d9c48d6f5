package drive_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

const (
	// bulkRate is what a link of 2 Mbit/s carries of long answers, in bytes a second, as base64 and with a reserve for others.
	bulkRate = 140_000
	// bulkSize is the size of values in bytes from which on an answer counts as long.
	bulkSize = 64 << 10
	// maxConfigAge is how long after its acknowledgement a configuration has to be in force.
	maxConfigAge = 4 * time.Second
)

// narrowStore is the client of a host with a narrow link, over which long answers follow each other.
type narrowStore struct {
	store.TxnStore

	mu     sync.Mutex
	freeAt time.Time // when the link has carried all long answers so far
	long   int       // long answers
}

// carry waits until the link has carried an answer with the given values.
func (s *narrowStore) carry(ctx context.Context, entries ...store.Entry) {
	size := 0
	for _, e := range entries {
		size += len(e.Value)
	}
	if size < bulkSize {
		return
	}
	s.mu.Lock()
	s.long++
	if now := time.Now(); s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(float64(size) / bulkRate * float64(time.Second)))
	arrival := s.freeAt
	s.mu.Unlock()
	wait.For(ctx, time.Until(arrival))
}

// Range implements store.TxnStore.
func (s *narrowStore) Range(ctx context.Context, prefix string) (store.Listing, error) {
	listing, err := s.TxnStore.Range(ctx, prefix)
	s.carry(ctx, listing.Entries...)
	return listing, err
}

// GetIfChanged implements store.TxnStore.
func (s *narrowStore) GetIfChanged(ctx context.Context, key string, rev uint64) (store.Entry, bool, error) {
	e, changed, err := s.TxnStore.GetIfChanged(ctx, key, rev)
	s.carry(ctx, e)
	return e, changed, err
}

// Watch implements store.TxnStore.
func (s *narrowStore) Watch(ctx context.Context, prefix string, after uint64, limit time.Duration) ([]store.Change, uint64, error) {
	changes, next, err := s.TxnStore.Watch(ctx, prefix, after, limit)
	var entries []store.Entry
	for _, c := range changes {
		entries = append(entries, c.Entry)
	}
	s.carry(ctx, entries...)
	return changes, next, err
}

// newNarrowCluster starts a cluster of hosts with narrow links.
func newNarrowCluster(t *testing.T, hosts, workers int) *testCluster {
	c := newTestCluster(t, 0, workers, newRand(1), runsFor(endless))
	c.wrapStore = func(client store.TxnStore) store.TxnStore { return &narrowStore{TxnStore: client} }
	c.addHosts(hosts, 0, 0)
	time.Sleep(8 * time.Second)
	return c
}

// configStorm changes a configuration of 256 kB three times a second until ctx ends. It returns when each version was
// written, by version.
func (c *testCluster) configStorm(ctx context.Context) map[int64]time.Time {
	config := sched.Config{Version: 1, Queues: []sched.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Tries: 3, Stretch: 2, Aim: time.Second}}}
	for i := range 800 {
		config.Queues = append(config.Queues, sched.Queue{
			Name: fmt.Sprintf("queue%d", i), Host: strings.Repeat("h", 60), Prefix: fmt.Sprintf("/%s%d/", strings.Repeat("p", 60), i), Service: "s", Tries: 3,
		})
	}
	written := map[int64]time.Time{}
	for ctx.Err() == nil {
		config.Version++
		c.configure(config)
		written[config.Version] = time.Now()
		wait.For(ctx, time.Second/3)
	}
	return written
}

// Guards against a takeover over a narrow link that takes longer than workers' leases: the new holder has to receive all jobs
// and a large configuration that changes all the while.
func TestTakeoverOverNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, queued, recovery = 30, 300, 15 * time.Second
		c := newNarrowCluster(t, 2, workers)
		if r := c.submit("lasting", longRunningStep(workers)); r.Result != drive.ResultDone {
			t.Fatalf("submit: %+v", r)
		}
		c.awaitRunning(workers, time.Second)
		for i := range queued { // each asks for more than a worker has, and so stays queued
			job := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"size":{"CPU":20000,"Mem":1000},"est":1000000000}]}`, strings.Repeat("x", 4000))
			r := c.request(time.Second, drive.Request{Verb: drive.VerbSubmit, Host: "h", Path: fmt.Sprintf("/q/j%d", i), Job: []byte(job)})
			if r.Result != drive.ResultDone {
				t.Fatalf("submit: %+v", r)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { c.configStorm(ctx) })
		time.Sleep(5 * time.Second)
		former := c.holder()
		former.kill()
		killedAt := time.Now()
		for c.holder() == nil && time.Since(killedAt) < 2*recovery {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(killedAt); took > recovery {
			t.Errorf("no holder for %v, want %v at most", took, recovery)
		}
		c.awaitState(time.Second, "lasting", sched.StateRunning)
		time.Sleep(5 * time.Second)
		if n := c.workers.ExpiredRuns(); n > 0 {
			t.Errorf("the leases of %d of %d runs expired", n, workers)
		}
		cancel()
		wg.Wait()
		c.stop()
	})
}

// follower is the relay of a host with a narrow link: another host whose link is as narrow.
type follower struct {
	store store.TxnStore
}

// ReadChanged implements drive.RelayReader.
func (f *follower) ReadChanged(ctx context.Context, prefix, key string, rev uint64) (store.Listing, bool, error) {
	var first []store.Entry
	if key != "" {
		e, changed, err := f.store.GetIfChanged(ctx, key, rev)
		if err != nil {
			return store.Listing{}, false, err
		}
		if changed {
			first = append(first, e)
		}
	}
	listing, err := f.store.RangeAfter(ctx, prefix, key)
	listing.Entries = append(first, listing.Entries...)
	return listing, len(first) > 0, err
}

// Guards against a holder that falls behind a configuration that changes faster than its link carries it, as it receives
// each change, and against one whose link is filled by configurations although followers can read them.
func TestConfigStormOverNarrowLink(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %t", relayed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playConfigStorm(t, relayed) })
		})
	}
}

func playConfigStorm(t *testing.T, relayed bool) {
	c := newTestCluster(t, 0, 3, newRand(1), runsFor(endless))
	var own *narrowStore
	c.wrapStore = func(client store.TxnStore) store.TxnStore {
		own = &narrowStore{TxnStore: client}
		return own
	}
	if relayed {
		c.relay = &follower{&narrowStore{TxnStore: c.store.Client(nil)}}
	}
	c.addHosts(1, 0, 0)
	time.Sleep(8 * time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var written map[int64]time.Time
	wg.Go(func() { written = c.configStorm(ctx) })
	seen := map[time.Time]int64{}
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		sent := time.Now()
		seen[sent] = c.state("unknown").Version
	}
	wg.Wait()
	worst := time.Duration(0)
	for at, version := range seen {
		if next, ok := written[version+1]; ok {
			worst = max(worst, at.Sub(next))
		}
	}
	if worst > maxConfigAge {
		t.Errorf("a configuration was in force %v after it had been replaced, want %v at most", worst, maxConfigAge)
	}
	if relayed && own.long > 0 {
		t.Errorf("%d long answers over the holder's own link", own.long)
	}
	c.stop()
}

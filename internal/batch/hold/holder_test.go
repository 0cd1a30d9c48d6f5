package hold

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/ctrl/shard"
	"bramleysail.example/bramleysail/internal/ctrl/sheet"
	fakestore "bramleysail.example/bramleysail/internal/fake/store"
	"bramleysail.example/bramleysail/internal/peer/link"
	"bramleysail.example/bramleysail/internal/peer/member"
	"bramleysail.example/bramleysail/internal/plat/hosts"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// newTestHolder returns the Holder of the only member of a group, to which rack0 is assigned.
// Its host list is what hostList points to at the time.
func newTestHolder(t *testing.T, hostList *[]hosts.Host) *Holder {
	t.Helper()
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	s := store.NewHTTP(srv.URL, time.Minute)
	links := &link.Set{}
	joined := make(chan struct{}, 1)
	group := member.New(member.Options{
		Self: member.Member{ID: "e0", Zone: "heredia", State: member.StateLive}, Store: s, Links: links,
		LeaseTTL: time.Hour, WatchTimeout: time.Minute, HeartbeatInterval: time.Minute, HeartbeatTimeout: time.Minute, Log: logr.Discard(),
		OnJoin: func() { joined <- struct{}{} },
	})
	assigner := shard.NewAssigner(shard.Options{
		Store: s, Group: group, WatchTimeout: time.Minute, Log: logr.Discard(),
		ListItems:     func() map[string][]shard.Item { return nil },
		OnTableChange: func(string, shard.Table) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		group.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	<-joined
	value, err := json.Marshal(shard.Table{WriteID: "1", LastEpoch: 1, Assignments: map[string]shard.Assignment{"rack0": {Holder: "e0", Epoch: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Swap(ctx, "assign/"+RackTable, value, 0); err != nil {
		t.Fatal(err)
	}
	if err := assigner.ReadTables(ctx); err != nil {
		t.Fatal(err)
	}
	return New(Options{
		Store: s, Group: group, Assigner: assigner, Links: links,
		Config:      func() sheet.Config { return sheet.Config{} },
		ConfigAge:   func() time.Duration { return 0 },
		Hosts:       func() []hosts.Host { return *hostList },
		BucketCount: 1, LeaseTTL: time.Minute, PollInterval: time.Second, MaxConfigAge: time.Minute, CallTimeout: time.Minute,
		Log: logr.Discard(), Scope: tally.NoopScope,
	})
}

// TestRackBeforeHostList guards against a rack that is held without its failure domain, as no
// task is ever placed on it. A process that has just started may be assigned the rack before
// it has read the host list.
func TestRackBeforeHostList(t *testing.T) {
	var hostList []hosts.Host
	h := newTestHolder(t, &hostList)
	reconcile := func() []*heldRack {
		h.reconcile(context.Background())
		h.wg.Wait()
		return h.heldRacks()
	}
	for _, r := range reconcile() {
		t.Errorf("%s is held before the host list is known, in failure domain %q", r.name, r.core.Zone())
	}
	hostList = []hosts.Host{{Addr: "w0", Kind: hosts.KindWorker, Zone: "cartago", Rack: "rack0", State: hosts.StateLive}}
	racks := reconcile()
	if len(racks) != 1 {
		t.Fatalf("%d racks are held, want 1", len(racks))
	}
	if zone := racks[0].core.Zone(); zone != "cartago" {
		t.Errorf("%s is held in failure domain %q, want cartago", racks[0].name, zone)
	}
}

package front

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"testing"

	"bramleysail.example/bramleysail/internal/fake/txkv"
	"bramleysail.example/bramleysail/internal/peer/link"
)

// Guards against a holder behind a narrow link that receives a large value again although it hasn't changed, that misses a
// change, or that stays without one because a follower doesn't answer.
func TestReadOverFollower(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	kv := &txkv.Service{}
	server, err := link.NewServer(relayServiceName, &relayService{kv.Client(nil)})
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { server.Serve(lis) })
	defer server.Close()
	links := &link.Set{}
	defer links.CloseExcept(nil)
	r := &relayReader{links: links, followers: func() []string { return []string{lis.Addr().String()} }}

	rng := rand.New(rand.NewPCG(1, 1))
	value := make([]byte, 256<<10)
	for i := range value {
		value[i] = "0123456789abcdef"[rng.IntN(16)]
	}
	kv.Put("op/config", value)
	kv.Put("op/evacuate/z", []byte("{}"))
	listing, changed, err := r.ReadChanged(t.Context(), "op/", "", 0)
	if err != nil || changed || len(listing.Entries) != 2 || !bytes.Equal(listing.Entries[0].Value, value) {
		t.Fatalf("first read: %d entries, changed %t, %v", len(listing.Entries), changed, err)
	}
	known := listing.Entries[0]

	kv.RemoveKey("op/evacuate/z")
	kv.Put("op/evacuate/y", []byte("{}"))
	listing, changed, err = r.ReadChanged(t.Context(), "op/", known.Key, known.Rev)
	if err != nil || changed || len(listing.Entries) != 1 || listing.Entries[0].Key != "op/evacuate/y" {
		t.Errorf("read of an unchanged value: %v, changed %t, %v", listing.Entries, changed, err)
	}

	kv.Put("op/config", []byte("new"))
	listing, changed, err = r.ReadChanged(t.Context(), "op/", known.Key, known.Rev)
	if err != nil || !changed || len(listing.Entries) != 2 || string(listing.Entries[0].Value) != "new" || listing.Entries[0].Rev <= known.Rev {
		t.Errorf("read of a changed value: %v, changed %t, %v", listing.Entries, changed, err)
	}

	kv.SetMode(txkv.ModeBusy)
	if _, _, err := r.ReadChanged(t.Context(), "op/", known.Key, known.Rev); err == nil {
		t.Error("no error of a follower that the store refuses")
	}
	r.followers = func() []string { return nil }
	if _, _, err := r.ReadChanged(t.Context(), "op/", "", 0); err == nil {
		t.Error("no error without followers")
	}
}

// Guards against a relay that serves stale values: the read has to begin after the call.
func TestReadOverFollowerIsFresh(t *testing.T) {
	kv := &txkv.Service{}
	s := &relayService{kv.Client(nil)}
	for i := range 5 {
		kv.Put("op/config", []byte{byte(i)})
		var out RelayReply
		if err := s.Read(RelayArgs{Prefix: "op/"}, &out); err != nil {
			t.Fatal(err)
		}
		entries, err := decompressEntries(out.Entries)
		if err != nil || len(entries) != 1 || entries[0].Value[0] != byte(i) {
			t.Errorf("%v %v, want the value %d", entries, err, i)
		}
	}
	if _, err := decompressEntries([]byte("no gzip")); err == nil {
		t.Error("no error of bytes that aren't compressed")
	}
}

package sheet

import (
	"context"
	"net/http/httptest"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	fakestore "bramleysail.example/bramleysail/internal/fake/store"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// readExample returns the text of a file in the directory of examples.
func readExample(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestParseErrors covers a sheet with several errors. All of them must be reported, each with its
// line.
func TestParseErrors(t *testing.T) {
	_, err := Parse(`base = 0
colour = "red"
[[zone]]
name = "heredia"
[[zone]]
name = "heredia"
[[service]]
name = "registro"
zones = ["heredia", "cartago"]
slots = 80
[[job]]
name = "audit"
[[team]]
name = "a team"
quota = -1
`)
	if err == nil {
		t.Fatal("an invalid sheet is accepted")
	}
	goldie.New(t).Assert(t, "faults", []byte(err.Error()))
}

// newTestStore returns a client of a new fake store.
func newTestStore(t *testing.T) store.Store {
	t.Helper()
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	return store.NewHTTP(srv.URL, time.Second)
}

// TestPutSheet covers a sheet that was written before an operator evacuated a failure domain. It must not bring the
// domain back. A sheet that is empty, or that removes half of the declarations without confirmation, must change
// nothing either.
func TestPutSheet(t *testing.T) {
	ctx := context.Background()
	s := newTestStore(t)
	for _, name := range []string{"association.sheet.toml", "wildheart.sheet.toml"} {
		if _, err := Parse(readExample(t, name)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	text := readExample(t, "association.sheet.toml")
	if c, err := PutSheet(ctx, s, text, false); err != nil || c.Version != 1 {
		t.Fatalf("first sheet: %d, %v", c.Version, err)
	}
	if c, err := SetZoneEvacuated(ctx, s, "heredia", true); err != nil || c.IsZoneUsable("heredia") {
		t.Fatalf("evacuation: %v", err)
	}
	if _, err := PutSheet(ctx, s, text, false); !errors.Is(err, ErrConflict) {
		t.Errorf("a sheet based on an older version: %v", err)
	}
	if _, err := PutSheet(ctx, s, "", false); err == nil {
		t.Error("an empty sheet is accepted")
	}
	small := "base = 2\n[[zone]]\nname = \"heredia\"\n"
	if _, err := PutSheet(ctx, s, small, false); !errors.Is(err, ErrUnconfirmedRemoval) {
		t.Errorf("a sheet that removes most declarations: %v", err)
	}
	if c, err := PutSheet(ctx, s, small, true); err != nil || c.IsZoneUsable("heredia") {
		t.Errorf("confirmed: %v; a sheet must not bring a failure domain back", err)
	}
	if _, err := SetZoneEvacuated(ctx, s, "nowhere", true); !errors.Is(err, ErrUnknownZone) {
		t.Errorf("an unknown failure domain: %v", err)
	}
}

// TestOlderConfigIgnored covers the answer to an older read that arrives after a newer version was
// seen. It must not replace that version.
func TestOlderConfigIgnored(t *testing.T) {
	w := NewConfigWatcher(nil, 0, func(Config) {}, discardLog())
	listing := func(version string) store.Listing {
		return store.Listing{Rev: 9, Entries: []store.Entry{{Key: configKey, Value: []byte(`{"num":` + version + `}`)}}}
	}
	w.applyListing(listing("5"), time.Now(), true)
	w.applyListing(listing("4"), time.Now(), true)
	if w.Current().Version != 5 {
		t.Errorf("version %d after 5 was seen", w.Current().Version)
	}
}

// FuzzParse checks that no text makes Parse panic or accept a sheet without failure domains.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f, "association.sheet.toml"))
	f.Add("[[zone]]\nname = 1")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err == nil && len(s.Zone) == 0 {
			t.Error("a sheet without failure domains is accepted")
		}
	})
}

// TestChangeOrder covers a second version that is read while onChange is still being called with the first one. If
// the calls were made in the wrong order, the older version would stay in force.
func TestChangeOrder(t *testing.T) {
	ctx := context.Background()
	s := newTestStore(t)
	read := func() store.Listing {
		listing, err := s.List(ctx, configKey, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		return listing
	}
	if _, err := PutSheet(ctx, s, readExample(t, "association.sheet.toml"), false); err != nil {
		t.Fatal(err)
	}
	first := read()
	if _, err := SetZoneEvacuated(ctx, s, "heredia", true); err != nil {
		t.Fatal(err)
	}
	second := read()
	var w *ConfigWatcher
	var versions []uint64
	w = NewConfigWatcher(s, 0, func(c Config) {
		if c.Version == 1 {
			w.applyListing(second, time.Now(), true)
		}
		versions = append(versions, c.Version)
	}, logr.Discard())
	w.applyListing(first, time.Now(), true)
	if !slices.Equal(versions, []uint64{1, 2}) {
		t.Errorf("onChange was called with versions %v", versions)
	}
}

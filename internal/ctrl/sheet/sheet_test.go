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

func readExample(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// A sheet with several mistakes: all of them must be named, each with its line.
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
		t.Fatal("it's accepted")
	}
	goldie.New(t).Assert(t, "faults", []byte(err.Error()))
}

func newTestStore(t *testing.T) store.Store {
	t.Helper()
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	return store.NewHTTP(srv.URL, time.Second)
}

// The planners' sheet was drawn before an operator took a domain out. It must not bring
// the domain back; an empty or shrunken sheet must change nothing either.
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
		t.Fatalf("domain out: %v", err)
	}
	if _, err := PutSheet(ctx, s, text, false); !errors.Is(err, ErrConflict) {
		t.Errorf("a sheet from before: %v", err)
	}
	if _, err := PutSheet(ctx, s, "", false); err == nil {
		t.Error("an empty sheet is accepted")
	}
	small := "base = 2\n[[zone]]\nname = \"heredia\"\n"
	if _, err := PutSheet(ctx, s, small, false); !errors.Is(err, ErrUnconfirmedRemoval) {
		t.Errorf("a shrunken sheet: %v", err)
	}
	if c, err := PutSheet(ctx, s, small, true); err != nil || c.IsZoneUsable("heredia") {
		t.Errorf("confirmed: %v; a sheet brings no domain back", err)
	}
	if _, err := SetZoneEvacuated(ctx, s, "nowhere", true); !errors.Is(err, ErrUnknownZone) {
		t.Errorf("an unknown domain: %v", err)
	}
}

// An old answer arrives late, after a newer configuration was seen.
func TestOlderConfigIgnored(t *testing.T) {
	f := NewConfigWatcher(nil, 0, func(Config) {}, discardLog())
	page := func(num string) store.Listing {
		return store.Listing{Rev: 9, Entries: []store.Entry{{Key: configKey, Value: []byte(`{"num":` + num + `}`)}}}
	}
	f.applyListing(page("5"), time.Now(), true)
	f.applyListing(page("4"), time.Now(), true)
	if f.Current().Version != 5 {
		t.Errorf("configuration %d after 5 was seen", f.Current().Version)
	}
}

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

// A second configuration is read while the first is still being put in force. Put in force
// one after the other but in the wrong order, the older one would stay.
func TestChangeOrder(t *testing.T) {
	ctx := context.Background()
	s := newTestStore(t)
	read := func() store.Listing {
		p, err := s.List(ctx, configKey, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	if _, err := PutSheet(ctx, s, readExample(t, "association.sheet.toml"), false); err != nil {
		t.Fatal(err)
	}
	first := read()
	if _, err := SetZoneEvacuated(ctx, s, "heredia", true); err != nil {
		t.Fatal(err)
	}
	second := read()
	var f *ConfigWatcher
	var inForce []uint64
	f = NewConfigWatcher(s, 0, func(c Config) {
		if c.Version == 1 {
			f.applyListing(second, time.Now(), true)
		}
		inForce = append(inForce, c.Version)
	}, logr.Discard())
	f.applyListing(first, time.Now(), true)
	if !slices.Equal(inForce, []uint64{1, 2}) {
		t.Errorf("put in force: %v", inForce)
	}
}

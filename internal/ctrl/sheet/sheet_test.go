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

func example(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// A sheet with several mistakes: all of them must be named, each with its line.
func TestFaults(t *testing.T) {
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

func newStore(t *testing.T) store.Store {
	t.Helper()
	srv := httptest.NewServer(new(fakestore.Store).Handler())
	t.Cleanup(srv.Close)
	return store.NewHTTP(srv.URL, time.Second)
}

// The planners' sheet was drawn before an operator took a domain out. It must not bring
// the domain back; an empty or shrunken sheet must change nothing either.
func TestPut(t *testing.T) {
	ctx := context.Background()
	s := newStore(t)
	for _, name := range []string{"association.sheet.toml", "wildheart.sheet.toml"} {
		if _, err := Parse(example(t, name)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	text := example(t, "association.sheet.toml")
	if c, err := Put(ctx, s, text, false); err != nil || c.Num != 1 {
		t.Fatalf("first sheet: %d, %v", c.Num, err)
	}
	if c, err := Move(ctx, s, "heredia", true); err != nil || c.Usable("heredia") {
		t.Fatalf("domain out: %v", err)
	}
	if _, err := Put(ctx, s, text, false); !errors.Is(err, ErrConflict) {
		t.Errorf("a sheet from before: %v", err)
	}
	if _, err := Put(ctx, s, "", false); err == nil {
		t.Error("an empty sheet is accepted")
	}
	small := "base = 2\n[[zone]]\nname = \"heredia\"\n"
	if _, err := Put(ctx, s, small, false); !errors.Is(err, ErrShrunken) {
		t.Errorf("a shrunken sheet: %v", err)
	}
	if c, err := Put(ctx, s, small, true); err != nil || c.Usable("heredia") {
		t.Errorf("confirmed: %v; a sheet brings no domain back", err)
	}
	if _, err := Move(ctx, s, "nowhere", true); !errors.Is(err, ErrZone) {
		t.Errorf("an unknown domain: %v", err)
	}
}

// An old answer arrives late, after a newer configuration was seen.
func TestNoRevert(t *testing.T) {
	f := NewFeed(nil, 0, func(Config) {}, nopLog())
	page := func(num string) store.Listing {
		return store.Listing{Rev: 9, Entries: []store.Entry{{Key: key, Value: []byte(`{"num":` + num + `}`)}}}
	}
	f.take(page("5"), time.Now(), true)
	f.take(page("4"), time.Now(), true)
	if f.Now().Num != 5 {
		t.Errorf("configuration %d after 5 was seen", f.Now().Num)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(example(f, "association.sheet.toml"))
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
func TestFeedOrder(t *testing.T) {
	ctx := context.Background()
	s := newStore(t)
	read := func() store.Listing {
		p, err := s.List(ctx, key, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	if _, err := Put(ctx, s, example(t, "association.sheet.toml"), false); err != nil {
		t.Fatal(err)
	}
	first := read()
	if _, err := Move(ctx, s, "heredia", true); err != nil {
		t.Fatal(err)
	}
	second := read()
	var f *Feed
	var inForce []uint64
	f = NewFeed(s, 0, func(c Config) {
		if c.Num == 1 {
			f.take(second, time.Now(), true)
		}
		inForce = append(inForce, c.Num)
	}, logr.Discard())
	f.take(first, time.Now(), true)
	if !slices.Equal(inForce, []uint64{1, 2}) {
		t.Errorf("put in force: %v", inForce)
	}
}

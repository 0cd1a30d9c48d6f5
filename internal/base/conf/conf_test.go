package conf

import (
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// The example settings files must be valid.
func TestExamples(t *testing.T) {
	for _, name := range []string{"association.toml", "wildheart.toml"} {
		if _, err := Load("../../../examples/" + name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// All errors in a file must be reported together, those about unknown keys with their line.
func TestErrors(t *testing.T) {
	_, err := Parse(`name = "x"
colour = "red"
[listen]
caller = "8080"
[store]
url = "ftp://x"
lease = "1s"
[limit]
body = -1
reed = "1s"
[log]
level = "loud"
[worker]
buckets = 0
`)
	if err == nil {
		t.Fatal("Parse accepts an invalid file")
	}
	goldie.New(t).Assert(t, "faults", []byte(err.Error()))
}

func TestSyntax(t *testing.T) {
	if _, err := Parse("name = \n"); err == nil {
		t.Error("Parse accepts a syntax error")
	}
	if _, err := Load(os.DevNull + "/none"); err == nil {
		t.Error("Load accepts a missing file")
	}
}

func FuzzParse(f *testing.F) {
	f.Add("[store]\nlease = \"1s\"")
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := Parse(text); err == nil && s.Store.LeaseTTL < 3*s.Store.Timeout {
			t.Error("Parse accepts a store lease that one slow call loses")
		}
	})
}

package bucket_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"bramleysail.example/bramleysail/internal/base/bucket"
)

func TestSample(t *testing.T) {
	var x bucket.Index[string]
	for item, level := range map[string]int{"a": 1, "b": 2, "c": 2, "d": 5, "e": -3} {
		x.Set(item, level)
	}
	for _, tt := range []struct {
		name                 string
		level, limit, offset int
		want                 []string
	}{
		{"all", 0, 10, 0, []string{"a", "b", "c", "d", "e"}},
		{"below all levels", -1, 10, 0, []string{"a", "b", "c", "d", "e"}},
		{"from a level", 2, 10, 7, []string{"b", "c", "d"}},
		{"above all levels", 6, 10, 0, nil},
	} {
		got := slices.Sorted(x.SampleAtLeast(tt.level, tt.limit, tt.offset))
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: items %v, want %v", tt.name, got, tt.want)
		}
		if n := x.CountAtLeast(tt.level); n != len(tt.want) {
			t.Errorf("%s: CountAtLeast = %d, want %d", tt.name, n, len(tt.want))
		}
	}
}

// After any sequence of Set and Remove, the index holds each item once, at the level last set. A sample
// has at most twice the limit, is not empty where there are items, and lists the highest levels first.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x bucket.Index[int]
		want := map[int]int{}
		for range rapid.IntRange(0, 200).Draw(t, "operations") {
			item := rapid.IntRange(0, 20).Draw(t, "item")
			if rapid.Bool().Draw(t, "remove") {
				x.Remove(item)
				delete(want, item)
				continue
			}
			level := rapid.IntRange(0, 9).Draw(t, "level")
			x.Set(item, level)
			want[item] = level
		}
		for level := range 11 {
			var items []int
			for item, l := range want {
				if l >= level {
					items = append(items, item)
				}
			}
			slices.Sort(items)
			if got := slices.Sorted(x.SampleAtLeast(level, 100, 0)); !slices.Equal(got, items) {
				t.Fatalf("level %d: items %v, want %v", level, got, items)
			}
			limit := rapid.IntRange(1, 30).Draw(t, "limit")
			got := slices.Collect(x.SampleAtLeast(level, limit, rapid.IntRange(0, 50).Draw(t, "offset")))
			if len(got) > 2*limit || len(items) > 0 && len(got) == 0 {
				t.Fatalf("level %d: sample of %d of %d items with a limit of %d", level, len(got), len(items), limit)
			}
			levels := make([]int, 0, len(got))
			for _, item := range got {
				levels = append(levels, -want[item])
			}
			if !slices.IsSorted(levels) {
				t.Fatalf("level %d: sample not in descending order of level; negated levels %v", level, levels)
			}
		}
	})
}

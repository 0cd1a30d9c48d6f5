package shard

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"bramleysail.example/bramleysail/internal/peer/member"
)

// The seed is fixed so that every run gives the same verdict.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func members(ids ...int) []member.Member {
	var ms []member.Member
	for _, i := range ids {
		ms = append(ms, member.Member{ID: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%3)})
	}
	return ms
}

func items(n int) []Item {
	var its []Item
	for i := range n {
		its = append(its, Item{fmt.Sprintf("t%02d", i), fmt.Sprintf("z%d", i%3)})
	}
	return its
}

// Processes come and go in any order. What a user would see of a bad plan: targets
// that nobody holds answer nothing, an uneven share makes one process slow, and an
// epoch used twice lets a former holder's commands pass the fence.
func TestPlanTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 9, rapid.ID[int]).Draw(t, "live")
			its := items(rapid.IntRange(0, 60).Draw(t, "items"))
			next, _ := PlanTable(table, its, member.NewView(1, members(ids...)...))
			checkPlan(t, table, next, its, ids)
			again, changed := PlanTable(next, its, member.NewView(1, members(ids...)...))
			if changed {
				t.Fatalf("a second plan moves items again: %v to %v", next, again)
			}
			table = next
		}
	})
}

func checkPlan(t *rapid.T, old, next Table, its []Item, ids []int) {
	count := map[string]int{}
	for _, it := range its {
		r := next.Assignments[it.Name]
		if !slices.ContainsFunc(ids, func(i int) bool { return fmt.Sprintf("e%d", i) == r.Holder }) {
			t.Fatalf("%s is held by %q, which isn't live", it.Name, r.Holder)
		}
		count[r.Holder]++
		if before := old.Assignments[it.Name]; before.Holder != r.Holder && (r.Epoch <= old.LastEpoch || r.FormerHolder != before.Holder) {
			t.Fatalf("%s moved from %+v to %+v with highest epoch %d", it.Name, before, r, old.LastEpoch)
		}
	}
	low, high := len(its), 0
	for _, i := range ids {
		n := count[fmt.Sprintf("e%d", i)]
		low, high = min(low, n), max(high, n)
	}
	if high-low > 1 {
		t.Fatalf("uneven shares: %v", count)
	}
}

// One process of nine dies: only its items may move, or the death of one process
// would disturb the requests at all targets.
func TestPlanTableMovesFewItems(t *testing.T) {
	all := member.NewView(1, members(0, 1, 2, 3, 4, 5, 6, 7, 8)...)
	table, _ := PlanTable(Table{}, items(50), all)
	next, _ := PlanTable(table, items(50), member.NewView(2, members(0, 1, 2, 3, 5, 6, 7, 8)...))
	for k, r := range next.Assignments {
		if was := table.Assignments[k]; was.Holder != "e4" && was.Holder != r.Holder {
			t.Errorf("%s moved from %s to %s though its holder lives", k, was.Holder, r.Holder)
		}
	}
}

// BenchmarkPlan measures a plan after the loss of one member of nine.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			its := items(n)
			table, _ := PlanTable(Table{}, its, member.NewView(1, members(0, 1, 2, 3, 4, 5, 6, 7, 8)...))
			view := member.NewView(2, members(0, 1, 2, 3, 5, 6, 7, 8)...)
			for b.Loop() {
				PlanTable(table, its, view)
			}
		})
	}
}

package shard

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"bramleysail.example/bramleysail/internal/peer/member"
)

// The seed is fixed so that every run has the same result.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// members returns members with the given numbers, spread over three failure domains.
func members(ids ...int) []member.Member {
	var ms []member.Member
	for _, i := range ids {
		ms = append(ms, member.Member{ID: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%3)})
	}
	return ms
}

// items returns n items, spread over three failure domains.
func items(n int) []Item {
	var list []Item
	for i := range n {
		list = append(list, Item{fmt.Sprintf("t%02d", i), fmt.Sprintf("z%d", i%3)})
	}
	return list
}

// TestPlanTable checks the plans while members join and leave in any order. With a wrong plan, targets without a
// holder would get no requests, uneven shares would make one process slow, and an epoch used twice would let a former
// holder's commands pass the fence.
func TestPlanTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 9, rapid.ID[int]).Draw(t, "live")
			listed := items(rapid.IntRange(0, 60).Draw(t, "items"))
			next, _ := PlanTable(table, listed, member.NewView(1, members(ids...)...))
			checkPlan(t, table, next, listed, ids)
			again, changed := PlanTable(next, listed, member.NewView(1, members(ids...)...))
			if changed {
				t.Fatalf("a second plan moves items again: %v to %v", next, again)
			}
			table = next
		}
	})
}

// checkPlan checks that next assigns every item to a live member in even shares, and that each change of a holder has
// a new epoch and names the former holder.
func checkPlan(t *rapid.T, old, next Table, listed []Item, ids []int) {
	count := map[string]int{}
	for _, it := range listed {
		a := next.Assignments[it.Name]
		if !slices.ContainsFunc(ids, func(i int) bool { return fmt.Sprintf("e%d", i) == a.Holder }) {
			t.Fatalf("%s is held by %q, which isn't live", it.Name, a.Holder)
		}
		count[a.Holder]++
		if before := old.Assignments[it.Name]; before.Holder != a.Holder && (a.Epoch <= old.LastEpoch || a.FormerHolder != before.Holder) {
			t.Fatalf("%s moved from %+v to %+v with highest epoch %d", it.Name, before, a, old.LastEpoch)
		}
	}
	low, high := len(listed), 0
	for _, i := range ids {
		n := count[fmt.Sprintf("e%d", i)]
		low, high = min(low, n), max(high, n)
	}
	if high-low > 1 {
		t.Fatalf("uneven shares: %v", count)
	}
}

// TestPlanTableMovesFewItems covers the death of one member of nine. Only its items may move; otherwise its death
// would disturb the requests at all targets.
func TestPlanTableMovesFewItems(t *testing.T) {
	all := member.NewView(1, members(0, 1, 2, 3, 4, 5, 6, 7, 8)...)
	table, _ := PlanTable(Table{}, items(50), all)
	next, _ := PlanTable(table, items(50), member.NewView(2, members(0, 1, 2, 3, 5, 6, 7, 8)...))
	for name, a := range next.Assignments {
		if was := table.Assignments[name]; was.Holder != "e4" && was.Holder != a.Holder {
			t.Errorf("%s moved from %s to %s though its holder is live", name, was.Holder, a.Holder)
		}
	}
}

// BenchmarkPlan measures PlanTable after the loss of one member of nine.
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

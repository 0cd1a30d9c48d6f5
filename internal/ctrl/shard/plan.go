package shard

import (
	"cmp"
	"slices"

	"bramleysail.example/bramleysail/internal/peer/member"
)

// Row says who holds an item. Ep grows each time the holder changes; commands about
// the item carry it. Was is the holder before, who may have things in flight there.
type Row struct {
	By  string `json:"by"`
	Ep  uint64 `json:"ep"`
	Was string `json:"was,omitempty"`
}

// Table is the record of one kind of items as it stands in the store.
type Table struct {
	ID   string         `json:"id"`  // of the write, so that a lost answer can be settled
	Seq  uint64         `json:"seq"` // the highest epoch given so far
	Rows map[string]Row `json:"rows"`
}

// Item is something to be held: a target or a rack, in a failure domain.
type Item struct {
	Name string
	Zone string
}

// maxAbsent is how many rows of items that are not listed any more are kept. They
// are kept because the host list lags and loses rows: an item that comes back has to
// find its last holder and a higher epoch.
const maxAbsent = 1000

// Plan returns the table that shares the items evenly among the live members, moving
// as few as it can and preferring a holder in the item's failure domain; changed
// tells whether it differs from t.
func Plan(t Table, items []Item, view member.View) (next Table, changed bool) {
	p := newPlan(t, items, view)
	if len(p.live) == 0 {
		return t, false
	}
	p.keep()
	p.place()
	p.prune()
	return p.next, p.changed
}

type plan struct {
	next    Table
	items   []Item
	live    []member.Member
	count   map[string]int
	zones   map[string]string // of the items
	full    int               // members that may yet come to hold most()
	changed bool
	todo    []Item
}

func newPlan(t Table, items []Item, view member.View) *plan {
	p := &plan{
		next:  Table{Seq: t.Seq, Rows: map[string]Row{}},
		items: slices.Clone(items),
		count: map[string]int{},
		zones: map[string]string{},
	}
	for k, r := range t.Rows {
		p.next.Rows[k] = r
	}
	slices.SortFunc(p.items, func(a, b Item) int { return cmp.Compare(a.Name, b.Name) })
	for _, it := range p.items {
		p.zones[it.Name] = it.Zone
	}
	for _, m := range view.Members() {
		if m.State != member.StateLeaving {
			p.live = append(p.live, m)
		}
	}
	return p
}

// most is how many items the member at a place in the order of live members holds
// at the most: the share rounded up for the first few, down for the rest.
func (p *plan) most() int {
	return (len(p.items) + len(p.live) - 1) / len(p.live)
}

// keep leaves items with live holders up to their share; what is above it is let go,
// the items of foreign failure domains first.
func (p *plan) keep() {
	held := map[string][]Item{}
	for _, it := range p.items {
		r, ok := p.next.Rows[it.Name]
		if ok && p.isLive(r.By) {
			held[r.By] = append(held[r.By], it)
			continue
		}
		p.todo = append(p.todo, it)
	}
	p.full = len(p.items) - (p.most()-1)*len(p.live)
	for _, m := range p.byLoad(held) {
		limit := p.most()
		if len(held[m.ID]) >= limit && p.full <= 0 {
			limit--
		}
		list := held[m.ID]
		slices.SortStableFunc(list, func(a, b Item) int {
			return cmp.Compare(far(a, m), far(b, m))
		})
		if len(list) > limit {
			p.todo = append(p.todo, list[limit:]...)
			list = list[:limit]
		}
		p.count[m.ID] = len(list)
		p.fill(m.ID)
	}
}

// fill notes that the member has come to hold most().
func (p *plan) fill(id string) {
	if p.count[id] == p.most() {
		p.full--
	}
}

// below reports whether the member may hold one item more without making shares uneven.
func (p *plan) below(id string) bool {
	n := p.count[id]
	return n < p.most()-1 || n == p.most()-1 && p.full > 0
}

func far(it Item, m member.Member) int {
	if it.Zone == m.Zone {
		return 0
	}
	return 1
}

// byLoad returns the live members, those that hold most first.
func (p *plan) byLoad(held map[string][]Item) []member.Member {
	ms := slices.Clone(p.live)
	slices.SortStableFunc(ms, func(a, b member.Member) int {
		return cmp.Compare(len(held[b.ID]), len(held[a.ID]))
	})
	return ms
}

func (p *plan) isLive(id string) bool {
	return slices.ContainsFunc(p.live, func(m member.Member) bool { return m.ID == id })
}

// place gives every item without a holder to a member with the fewest, in the item's
// failure domain where one is below the share.
func (p *plan) place() {
	slices.SortFunc(p.todo, func(a, b Item) int { return cmp.Compare(a.Name, b.Name) })
	for _, it := range p.todo {
		var best member.Member
		for _, m := range p.live {
			if best.ID == "" || p.better(it, m, best) {
				best = m
			}
		}
		p.give(it.Name, best.ID)
	}
}

func (p *plan) better(it Item, m, best member.Member) bool {
	// A member of the item's own failure domain goes first while it is below the share.
	mNear := m.Zone == it.Zone && p.below(m.ID)
	bNear := best.Zone == it.Zone && p.below(best.ID)
	if mNear != bNear {
		return mNear
	}
	return p.count[m.ID] < p.count[best.ID]
}

func (p *plan) give(name, to string) {
	p.count[to]++
	p.fill(to)
	old := p.next.Rows[name]
	if old.By == to {
		return
	}
	p.next.Seq++
	p.next.Rows[name] = Row{By: to, Ep: p.next.Seq, Was: old.By}
	p.changed = true
}

// prune drops the oldest rows of items that are not listed any more.
func (p *plan) prune() {
	var absent []string
	for k := range p.next.Rows {
		if _, ok := p.zones[k]; !ok {
			absent = append(absent, k)
		}
	}
	if len(absent) <= maxAbsent {
		return
	}
	slices.SortFunc(absent, func(a, b string) int {
		return cmp.Compare(p.next.Rows[a].Ep, p.next.Rows[b].Ep)
	})
	for _, k := range absent[:len(absent)-maxAbsent] {
		delete(p.next.Rows, k)
		p.changed = true
	}
}

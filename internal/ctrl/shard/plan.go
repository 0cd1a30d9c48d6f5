package shard

import (
	"cmp"
	"slices"

	"bramleysail.example/bramleysail/internal/peer/member"
)

// Assignment says who holds an item. Ep grows each time the holder changes; commands about
// the item carry it. Was is the holder before, who may have things in flight there.
type Assignment struct {
	Holder       string `json:"by"`
	Epoch        uint64 `json:"ep"`
	FormerHolder string `json:"was,omitempty"`
}

// Table is the record of one kind of items as it stands in the store.
type Table struct {
	WriteID     string                `json:"id"`  // of the write, so that a lost answer can be settled
	LastEpoch   uint64                `json:"seq"` // the highest epoch given so far
	Assignments map[string]Assignment `json:"rows"`
}

// Item is something to be held: a target or a rack, in a failure domain.
type Item struct {
	Name string
	Zone string
}

// maxUnlisted is how many rows of items that are not listed any more are kept. They
// are kept because the host list lags and loses rows: an item that comes back has to
// find its last holder and a higher epoch.
const maxUnlisted = 1000

// PlanTable returns the table that shares the items evenly among the live members, moving
// as few as it can and preferring a holder in the item's failure domain; changed
// tells whether it differs from t.
func PlanTable(t Table, items []Item, view member.View) (next Table, changed bool) {
	p := newTablePlan(t, items, view)
	if len(p.live) == 0 {
		return t, false
	}
	p.keepAssigned()
	p.assignRemaining()
	p.pruneUnlisted()
	return p.next, p.changed
}

type tablePlan struct {
	next           Table
	items          []Item
	live           []member.Member
	assignedCount  map[string]int
	itemZones      map[string]string // of the items
	fullSharesLeft int               // members that may yet come to hold most()
	changed        bool
	unassigned     []Item
}

func newTablePlan(t Table, items []Item, view member.View) *tablePlan {
	p := &tablePlan{
		next:          Table{LastEpoch: t.LastEpoch, Assignments: map[string]Assignment{}},
		items:         slices.Clone(items),
		assignedCount: map[string]int{},
		itemZones:     map[string]string{},
	}
	for k, r := range t.Assignments {
		p.next.Assignments[k] = r
	}
	slices.SortFunc(p.items, func(a, b Item) int { return cmp.Compare(a.Name, b.Name) })
	for _, it := range p.items {
		p.itemZones[it.Name] = it.Zone
	}
	for _, m := range view.Members() {
		if m.State != member.StateLeaving {
			p.live = append(p.live, m)
		}
	}
	return p
}

// maxShare is how many items the member at a place in the order of live members holds
// at the maxShare: the share rounded up for the first few, down for the rest.
func (p *tablePlan) maxShare() int {
	return (len(p.items) + len(p.live) - 1) / len(p.live)
}

// keepAssigned leaves items with live holders up to their share; what is above it is let go,
// the items of foreign failure domains first.
func (p *tablePlan) keepAssigned() {
	held := map[string][]Item{}
	for _, it := range p.items {
		r, ok := p.next.Assignments[it.Name]
		if ok && p.isLive(r.Holder) {
			held[r.Holder] = append(held[r.Holder], it)
			continue
		}
		p.unassigned = append(p.unassigned, it)
	}
	p.fullSharesLeft = len(p.items) - (p.maxShare()-1)*len(p.live)
	for _, m := range p.sortedByItems(held) {
		limit := p.maxShare()
		if len(held[m.ID]) >= limit && p.fullSharesLeft <= 0 {
			limit--
		}
		list := held[m.ID]
		slices.SortStableFunc(list, func(a, b Item) int {
			return cmp.Compare(zoneDistance(a, m), zoneDistance(b, m))
		})
		if len(list) > limit {
			p.unassigned = append(p.unassigned, list[limit:]...)
			list = list[:limit]
		}
		p.assignedCount[m.ID] = len(list)
		p.countFullShare(m.ID)
	}
}

// countFullShare notes that the member has come to hold most().
func (p *tablePlan) countFullShare(id string) {
	if p.assignedCount[id] == p.maxShare() {
		p.fullSharesLeft--
	}
}

// belowShare reports whether the member may hold one item more without making shares uneven.
func (p *tablePlan) belowShare(id string) bool {
	n := p.assignedCount[id]
	return n < p.maxShare()-1 || n == p.maxShare()-1 && p.fullSharesLeft > 0
}

func zoneDistance(it Item, m member.Member) int {
	if it.Zone == m.Zone {
		return 0
	}
	return 1
}

// sortedByItems returns the live members, those that hold most first.
func (p *tablePlan) sortedByItems(held map[string][]Item) []member.Member {
	ms := slices.Clone(p.live)
	slices.SortStableFunc(ms, func(a, b member.Member) int {
		return cmp.Compare(len(held[b.ID]), len(held[a.ID]))
	})
	return ms
}

func (p *tablePlan) isLive(id string) bool {
	return slices.ContainsFunc(p.live, func(m member.Member) bool { return m.ID == id })
}

// assignRemaining gives every item without a holder to a member with the fewest, in the item's
// failure domain where one is below the share.
func (p *tablePlan) assignRemaining() {
	slices.SortFunc(p.unassigned, func(a, b Item) int { return cmp.Compare(a.Name, b.Name) })
	for _, it := range p.unassigned {
		var best member.Member
		for _, m := range p.live {
			if best.ID == "" || p.isPreferred(it, m, best) {
				best = m
			}
		}
		p.assign(it.Name, best.ID)
	}
}

func (p *tablePlan) isPreferred(it Item, m, best member.Member) bool {
	// A member of the item's own failure domain goes first while it is below the share.
	mNear := m.Zone == it.Zone && p.belowShare(m.ID)
	bNear := best.Zone == it.Zone && p.belowShare(best.ID)
	if mNear != bNear {
		return mNear
	}
	return p.assignedCount[m.ID] < p.assignedCount[best.ID]
}

func (p *tablePlan) assign(name, to string) {
	p.assignedCount[to]++
	p.countFullShare(to)
	old := p.next.Assignments[name]
	if old.Holder == to {
		return
	}
	p.next.LastEpoch++
	p.next.Assignments[name] = Assignment{Holder: to, Epoch: p.next.LastEpoch, FormerHolder: old.Holder}
	p.changed = true
}

// pruneUnlisted drops the oldest rows of items that are not listed any more.
func (p *tablePlan) pruneUnlisted() {
	var absent []string
	for k := range p.next.Assignments {
		if _, ok := p.itemZones[k]; !ok {
			absent = append(absent, k)
		}
	}
	if len(absent) <= maxUnlisted {
		return
	}
	slices.SortFunc(absent, func(a, b string) int {
		return cmp.Compare(p.next.Assignments[a].Epoch, p.next.Assignments[b].Epoch)
	})
	for _, k := range absent[:len(absent)-maxUnlisted] {
		delete(p.next.Assignments, k)
		p.changed = true
	}
}

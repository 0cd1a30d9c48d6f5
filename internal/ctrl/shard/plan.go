package shard

import (
	"cmp"
	"slices"

	"bramleysail.example/bramleysail/internal/peer/member"
)

// Assignment says which member holds an item.
type Assignment struct {
	Holder       string `json:"by"`            // ID of the member
	Epoch        uint64 `json:"ep"`            // fencing token: grows each time the holder changes; commands about the item carry it
	FormerHolder string `json:"was,omitempty"` // the holder before, which may still have requests or commands in flight there
}

// Table is the record of the assignments of one kind of items, as it is stored.
type Table struct {
	WriteID     string                `json:"id"`   // id of the write, which shows after a lost answer whether the write took effect
	LastEpoch   uint64                `json:"seq"`  // highest epoch assigned so far
	Assignments map[string]Assignment `json:"rows"` // by item name
}

// Item is something that one member holds at a time, such as a target or a rack.
type Item struct {
	Name string
	Zone string // failure domain, if it has one
}

// maxUnlisted is how many assignments of items that are no longer listed are kept. The host list lags and misses
// items at times: an item that appears again must find its last holder and get a higher epoch.
const maxUnlisted = 1000

// PlanTable returns a table that spreads the items evenly over the live members. It moves as few items as possible
// and prefers holders in an item's failure domain. changed reports whether the table differs from t.
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

// tablePlan is the state of one call of PlanTable.
type tablePlan struct {
	next           Table             // the table that is planned
	items          []Item            // in order of name
	live           []member.Member   // the members that aren't leaving
	assignedCount  map[string]int    // number of items assigned so far, by member
	itemZones      map[string]string // failure domain of each listed item, by name
	fullSharesLeft int               // number of further members that may get maxShare items
	changed        bool              // next differs from the table before
	unassigned     []Item            // items that need a new holder
}

// newTablePlan returns a plan that begins with the assignments of t.
func newTablePlan(t Table, items []Item, view member.View) *tablePlan {
	p := &tablePlan{
		next:          Table{LastEpoch: t.LastEpoch, Assignments: map[string]Assignment{}},
		items:         slices.Clone(items),
		assignedCount: map[string]int{},
		itemZones:     map[string]string{},
	}
	for name, a := range t.Assignments {
		p.next.Assignments[name] = a
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

// maxShare returns the largest number of items that a member may hold: the average, rounded up. Only as many members
// as needed hold that many; the others hold the average rounded down.
func (p *tablePlan) maxShare() int {
	return (len(p.items) + len(p.live) - 1) / len(p.live)
}

// keepAssigned leaves items with their live holders up to each holder's share. Items beyond the share become
// unassigned, those in other failure domains than the holder's first.
func (p *tablePlan) keepAssigned() {
	held := map[string][]Item{}
	for _, it := range p.items {
		a, ok := p.next.Assignments[it.Name]
		if ok && p.isLive(a.Holder) {
			held[a.Holder] = append(held[a.Holder], it)
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
		items := held[m.ID]
		slices.SortStableFunc(items, func(a, b Item) int {
			return cmp.Compare(zoneDistance(a, m), zoneDistance(b, m))
		})
		if len(items) > limit {
			p.unassigned = append(p.unassigned, items[limit:]...)
			items = items[:limit]
		}
		p.assignedCount[m.ID] = len(items)
		p.countFullShare(m.ID)
	}
}

// countFullShare takes account of a member that has just reached maxShare items.
func (p *tablePlan) countFullShare(id string) {
	if p.assignedCount[id] == p.maxShare() {
		p.fullSharesLeft--
	}
}

// belowShare reports whether the member may hold one more item without making the shares uneven.
func (p *tablePlan) belowShare(id string) bool {
	n := p.assignedCount[id]
	return n < p.maxShare()-1 || n == p.maxShare()-1 && p.fullSharesLeft > 0
}

// zoneDistance returns 0 if the item is in the member's failure domain, 1 otherwise.
func zoneDistance(it Item, m member.Member) int {
	if it.Zone == m.Zone {
		return 0
	}
	return 1
}

// sortedByItems returns the live members, those with the most items first.
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

// assignRemaining assigns each item without a holder to a member with the fewest items, in the item's failure domain
// if a member there is below its share.
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

// isPreferred reports whether m is a better holder of the item than best. A member in the item's failure domain is
// preferred while it is below its share, then the one with fewer items.
func (p *tablePlan) isPreferred(it Item, m, best member.Member) bool {
	mSameZone := m.Zone == it.Zone && p.belowShare(m.ID)
	bestSameZone := best.Zone == it.Zone && p.belowShare(best.ID)
	if mSameZone != bestSameZone {
		return mSameZone
	}
	return p.assignedCount[m.ID] < p.assignedCount[best.ID]
}

// assign assigns an item to a member, with a new epoch if that changes the holder.
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

// pruneUnlisted removes the assignments with the lowest epochs of items that are no longer listed, beyond maxUnlisted.
func (p *tablePlan) pruneUnlisted() {
	var unlisted []string
	for name := range p.next.Assignments {
		if _, ok := p.itemZones[name]; !ok {
			unlisted = append(unlisted, name)
		}
	}
	if len(unlisted) <= maxUnlisted {
		return
	}
	slices.SortFunc(unlisted, func(a, b string) int {
		return cmp.Compare(p.next.Assignments[a].Epoch, p.next.Assignments[b].Epoch)
	})
	for _, name := range unlisted[:len(unlisted)-maxUnlisted] {
		delete(p.next.Assignments, name)
		p.changed = true
	}
}

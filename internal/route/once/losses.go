package once

// losses tells whether records may be missing, by the members that have been lost. Each record is known to two of
// them, so one may be lost at a time; before the next, what it knew has been passed on.
//
// A member that is lost from the view need not have ended: one that couldn't renew its membership in time comes back under its id with
// all that it knew.
type losses struct {
	from    map[string]bool // members of the last view for which everything was known
	away    map[string]bool // of those that were lost at once, the ones that haven't come back
	unnamed bool            // records were lost with members that aren't known
}

// settle takes the members of a view from each of which everything has been learned. It returns how many were lost at once
// since the view before, and whether none that knew of a record which is missing is still away.
func (l *losses) settle(members []string) (lost int, whole bool) {
	now := make(map[string]bool, len(members))
	for _, id := range members {
		now[id] = true
	}
	var gone []string
	for id := range l.from {
		if !now[id] {
			gone = append(gone, id)
		}
	}
	l.from = now
	if len(gone) > 1 {
		l.add(gone)
	}
	for id := range now {
		delete(l.away, id)
	}
	return len(gone), !l.unnamed && len(l.away) <= 1
}

// hear takes what a member says that may be missing records: the names that it gives, or that it gives none.
func (l *losses) hear(ids []string) {
	l.unnamed = l.unnamed || len(ids) == 0
	l.add(ids)
}

// add takes members that are away with records.
func (l *losses) add(ids []string) {
	if l.away == nil {
		l.away = map[string]bool{}
	}
	for _, id := range ids {
		l.away[id] = true
	}
}

// forget drops what was lost so long ago that no record of then is kept.
func (l *losses) forget() {
	clear(l.away)
	l.unnamed = false
}

// names returns the members that are away with records; none when others may be, which aren't known.
func (l *losses) names() []string {
	if l.unnamed {
		return nil
	}
	var all []string
	for id := range l.away {
		all = append(all, id)
	}
	return all
}

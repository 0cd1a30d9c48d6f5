package once

// lostMembers tells whether records may be missing, by the members that have been lost. Each record is known to two of
// them, so one may be lost at a time; before the next, what it knew has been passed on.
//
// A member that is lost from the view need not have ended: one that couldn't renew its membership in time comes back under its id with
// all that it knew.
type lostMembers struct {
	lastSynced  map[string]bool // members of the last view for which everything was known
	absent      map[string]bool // of those that were lost at once, the ones that haven't come back
	unknownLost bool            // records were lost with members that aren't known
}

// update takes the members of a view from each of which everything has been learned. It returns how many were lost at once
// since the view before, and whether none that knew of a record which is missing is still away.
func (l *lostMembers) update(members []string) (lost int, whole bool) {
	now := make(map[string]bool, len(members))
	for _, id := range members {
		now[id] = true
	}
	var gone []string
	for id := range l.lastSynced {
		if !now[id] {
			gone = append(gone, id)
		}
	}
	l.lastSynced = now
	if len(gone) > 1 {
		l.addAbsent(gone)
	}
	for id := range now {
		delete(l.absent, id)
	}
	return len(gone), !l.unknownLost && len(l.absent) <= 1
}

// addReported takes what a member says that may be missing records: the names that it gives, or that it gives none.
func (l *lostMembers) addReported(ids []string) {
	l.unknownLost = l.unknownLost || len(ids) == 0
	l.addAbsent(ids)
}

// addAbsent takes members that are away with records.
func (l *lostMembers) addAbsent(ids []string) {
	if l.absent == nil {
		l.absent = map[string]bool{}
	}
	for _, id := range ids {
		l.absent[id] = true
	}
}

// reset drops what was lost so long ago that no record of then is kept.
func (l *lostMembers) reset() {
	clear(l.absent)
	l.unknownLost = false
}

// absentIDs returns the members that are away with records; none when others may be, which aren't known.
func (l *lostMembers) absentIDs() []string {
	if l.unknownLost {
		return nil
	}
	var all []string
	for id := range l.absent {
		all = append(all, id)
	}
	return all
}

package once

// lostMembers decides from the members that have been lost whether records may be missing. Two members know each
// record, so the loss of one member loses no record; before the next loss, its records have been passed on.
//
// A member that is lost from the view need not have ended. One that couldn't renew its membership in time returns
// under its id with all its records.
type lostMembers struct {
	lastSynced  map[string]bool // members of the view that was synced last
	absent      map[string]bool // members that were lost together and haven't returned
	unknownLost bool            // records were lost with members whose ids aren't known
}

// update takes the members of a view after the records of all of them have been merged. It returns how many members
// were lost since the view synced before, and whether no record can be missing any more: two members knew each record,
// so at most one of the members lost together may still be absent.
func (l *lostMembers) update(members []string) (lost int, complete bool) {
	current := make(map[string]bool, len(members))
	for _, id := range members {
		current[id] = true
	}
	var gone []string
	for id := range l.lastSynced {
		if !current[id] {
			gone = append(gone, id)
		}
	}
	l.lastSynced = current
	if len(gone) > 1 {
		l.addAbsent(gone)
	}
	for id := range current {
		delete(l.absent, id)
	}
	return len(gone), !l.unknownLost && len(l.absent) <= 1
}

// addReported adds the absent members that a peer with incomplete records reports. No ids mean that the peer doesn't
// know them all.
func (l *lostMembers) addReported(ids []string) {
	l.unknownLost = l.unknownLost || len(ids) == 0
	l.addAbsent(ids)
}

// addAbsent adds members that are absent with records that may be missing.
func (l *lostMembers) addAbsent(ids []string) {
	if l.absent == nil {
		l.absent = map[string]bool{}
	}
	for _, id := range ids {
		l.absent[id] = true
	}
}

// reset forgets all losses, once no record from before them is kept any more.
func (l *lostMembers) reset() {
	clear(l.absent)
	l.unknownLost = false
}

// absentIDs returns the absent members that have the missing records, or nil when not all of them are known.
func (l *lostMembers) absentIDs() []string {
	if l.unknownLost {
		return nil
	}
	var ids []string
	for id := range l.absent {
		ids = append(ids, id)
	}
	return ids
}

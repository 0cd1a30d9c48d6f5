package drive

import (
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// directoryDecoder decodes the directory, each revision of an entry only once.
type directoryDecoder struct {
	decode func(store.Entry) (sched.Member, bool) // returns false for an entry that names no worker
	cache  map[string]cachedMember                // the entries decoded last, by key
}

// cachedMember is a decoded entry of the directory.
type cachedMember struct {
	rev    uint64       // revision of the entry
	member sched.Member // if valid
	valid  bool         // the entry names a worker
}

// decodeAll returns the workers that the entries name, in the order of the entries.
func (d *directoryDecoder) decodeAll(entries []store.Entry) []sched.Member {
	cache := make(map[string]cachedMember, len(entries))
	members := make([]sched.Member, 0, len(entries))
	for _, e := range entries {
		m, ok := d.cache[e.Key]
		if !ok || m.rev != e.Rev {
			m = cachedMember{rev: e.Rev}
			m.member, m.valid = d.decode(e)
		}
		cache[e.Key] = m
		if m.valid {
			members = append(members, m.member)
		}
	}
	d.cache = cache
	return members
}

// decodeChanges returns the workers that changed entries name, and the ids of the workers that changed or deleted
// entries named before and don't name any more.
func (d *directoryDecoder) decodeChanges(changed []store.Entry, deleted []string) (members []sched.Member, removed []string) {
	for _, key := range deleted {
		if old := d.cache[key]; old.valid {
			removed = append(removed, old.member.ID)
		}
		delete(d.cache, key)
	}
	for _, e := range changed {
		old := d.cache[e.Key]
		m := cachedMember{rev: e.Rev}
		m.member, m.valid = d.decode(e)
		d.cache[e.Key] = m
		if old.valid && (!m.valid || m.member.ID != old.member.ID) {
			removed = append(removed, old.member.ID)
		}
		if m.valid {
			members = append(members, m.member)
		}
	}
	return members, removed
}

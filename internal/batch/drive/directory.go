package drive

import (
	"strconv"
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// directoryDecoder decodes the directory, each revision of an entry only once.
type directoryDecoder struct {
	decode  func(store.Entry) (sched.Member, bool) // returns false for an entry that names no worker
	leftOut func(key string)                       // called when an entry begins to name no worker; nil: no call
	cache   map[string]cachedMember                // the entries decoded last, by key
}

// maxClockLead is how far the clock of a worker may be ahead of this host's.
const maxClockLead = time.Hour

// decodeMember decodes an entry of the directory with the codec. An entry from the future isn't a worker's: if it counted as
// the newest incarnation, all that the worker says afterwards would be taken for older.
func (h *Holder) decodeMember(e store.Entry) (sched.Member, bool) {
	m, ok := h.opt.Codec.DecodeMember(e)
	return m, ok && m.StartedAt <= time.Now().Add(maxClockLead).UnixMilli()
}

// logLeftOut logs that an entry of the directory begins to name no worker.
func (h *Holder) logLeftOut(key string) {
	h.log.Info("left out", "entry", strconv.QuoteToASCII(key), "cause", "it names no worker to use")
}

// decodeEntry decodes a revision of an entry that isn't in the cache; old is the revision before.
func (d *directoryDecoder) decodeEntry(e store.Entry, old cachedMember) cachedMember {
	m := cachedMember{rev: e.Rev}
	m.member, m.valid = d.decode(e)
	if !m.valid && (old.valid || old.rev == 0) && d.leftOut != nil {
		d.leftOut(e.Key)
	}
	return m
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
			m = d.decodeEntry(e, m)
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
		m := d.decodeEntry(e, old)
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

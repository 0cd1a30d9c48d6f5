package drive

import (
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// directoryDecoder reads the directory. An entry is decoded once for each of its revisions.
type directoryDecoder struct {
	decode func(store.Entry) (sched.Member, bool)
	cache  map[string]cachedMember // by key
}

// cachedMember is an entry of the directory as it was read.
type cachedMember struct {
	rev    uint64
	member sched.Member
	valid  bool
}

// decodeAll returns the workers that the entries name.
func (r *directoryDecoder) decodeAll(entries []store.Entry) []sched.Member {
	known := make(map[string]cachedMember, len(entries))
	all := make([]sched.Member, 0, len(entries))
	for _, e := range entries {
		d, ok := r.cache[e.Key]
		if !ok || d.rev != e.Rev {
			d = cachedMember{rev: e.Rev}
			d.member, d.valid = r.decode(e)
		}
		known[e.Key] = d
		if d.valid {
			all = append(all, d.member)
		}
	}
	r.cache = known
	return all
}

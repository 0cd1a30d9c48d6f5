package drive

import (
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// roster reads the directory. An entry is decoded once for each of its revisions.
type roster struct {
	decode func(store.Entry) (sched.Member, bool)
	known  map[string]decoded // by key
}

// decoded is an entry of the directory as it was read.
type decoded struct {
	rev    uint64
	member sched.Member
	valid  bool
}

// members returns the workers that the entries name.
func (r *roster) members(entries []store.Entry) []sched.Member {
	known := make(map[string]decoded, len(entries))
	all := make([]sched.Member, 0, len(entries))
	for _, e := range entries {
		d, ok := r.known[e.Key]
		if !ok || d.rev != e.Rev {
			d = decoded{rev: e.Rev}
			d.member, d.valid = r.decode(e)
		}
		known[e.Key] = d
		if d.valid {
			all = append(all, d.member)
		}
	}
	r.known = known
	return all
}

package sched

// changes are the jobs whose progress isn't stored as it is, in the order in which they changed. Those that
// a caller waits for come first.
//
// The failure it guards against: more changes than can be stored. In any fixed order of jobs some are then
// stored again and again and others never.
type changes struct {
	rush []*job
	rest []*job
}

// add notes that a job has changed.
func (c *changes) add(j *job) {
	j.changes++
	if !j.queued {
		j.queued = true
		c.rest = append(c.rest, j)
	}
}

// prioritize notes that a job has changed, and that a caller waits for it.
func (c *changes) prioritize(j *job) {
	j.changes++
	if !j.rushed {
		j.rushed = true
		c.rush = append(c.rush, j)
	}
}

// take returns the next job to store as it is now, or nil.
func (c *changes) take() *job {
	for j := c.pop(); j != nil; j = c.pop() {
		if j.dirty() {
			j.taken = j.changes
			return j
		}
	}
	return nil
}

// pop returns the next job in turn; it may have been taken since it was noted.
func (c *changes) pop() *job {
	var j *job
	switch {
	case len(c.rush) > 0:
		j, c.rush = c.rush[0], c.rush[1:]
		j.rushed = false
	case len(c.rest) > 0:
		j, c.rest = c.rest[0], c.rest[1:]
		j.queued = false
	}
	return j
}

// dirty reports whether a job has changed since it was last taken to be stored.
func (j *job) dirty() bool { return j.taken < j.changes }

// owed is an end that may be acknowledged once a change of its job is stored.
type pendingAck struct {
	seq    int64
	job    *job
	change int
}

// owe notes that an end may not be acknowledged before its job is stored as it is now.
func (w *worker) awaitStore(seq int64, j *job) {
	if j != nil && j.dirty() {
		w.pending = append(w.pending, pendingAck{seq, j, j.changes})
	}
}

// settled returns up to which end a worker's may be acknowledged once what has been taken is stored.
func (w *worker) settled() int64 {
	for len(w.pending) > 0 {
		o := w.pending[0]
		if o.job.taken < o.change {
			return o.seq - 1
		}
		w.pending = w.pending[1:]
	}
	return w.heard
}

package sched

// storeQueue are the jobs whose progress isn't stored as it is, in the order in which they changed. Those that
// a caller waits for come first.
//
// The failure it guards against: more storeQueue than can be stored. In any fixed order of jobs some are then
// stored again and again and others never.
type storeQueue struct {
	urgent []*job
	normal []*job
}

// addNormal notes that a job has changed.
func (c *storeQueue) addNormal(j *job) {
	j.version++
	if !j.inNormalQueue {
		j.inNormalQueue = true
		c.normal = append(c.normal, j)
	}
}

// addUrgent notes that a job has changed, and that a caller waits for it.
func (c *storeQueue) addUrgent(j *job) {
	j.version++
	if !j.inUrgentQueue {
		j.inUrgentQueue = true
		c.urgent = append(c.urgent, j)
	}
}

// next returns the next job to store as it is now, or nil.
func (c *storeQueue) next() *job {
	for j := c.pop(); j != nil; j = c.pop() {
		if j.dirty() {
			j.collectedVersion = j.version
			return j
		}
	}
	return nil
}

// pop returns the next job in turn; it may have been taken since it was noted.
func (c *storeQueue) pop() *job {
	var j *job
	switch {
	case len(c.urgent) > 0:
		j, c.urgent = c.urgent[0], c.urgent[1:]
		j.inUrgentQueue = false
	case len(c.normal) > 0:
		j, c.normal = c.normal[0], c.normal[1:]
		j.inNormalQueue = false
	}
	return j
}

// dirty reports whether a job has changed since it was last taken to be stored.
func (j *job) dirty() bool { return j.collectedVersion < j.version }

// owed is an end that may be acknowledged once a change of its job is stored.
type pendingAck struct {
	seq     int64
	job     *job
	version int
}

// owe notes that an end may not be acknowledged before its job is stored as it is now.
func (w *worker) holdAck(seq int64, j *job) {
	if j != nil && j.dirty() {
		w.pendingAcks = append(w.pendingAcks, pendingAck{seq, j, j.version})
	}
}

// ackableSeq returns up to which end a worker's may be acknowledged once what has been taken is stored.
func (w *worker) ackableSeq() int64 {
	for len(w.pendingAcks) > 0 {
		o := w.pendingAcks[0]
		if o.job.collectedVersion < o.version {
			return o.seq - 1
		}
		w.pendingAcks = w.pendingAcks[1:]
	}
	return w.handledSeq
}

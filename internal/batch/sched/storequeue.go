package sched

// storeQueue holds the jobs whose changed progress has to be stored, in the order in which they changed. Jobs for
// whose record a caller waits come first.
//
// Jobs may change faster than they can be stored. In any fixed order, such as that of ids, some jobs would then be
// stored again and again and others never.
type storeQueue struct {
	urgent []*job // a caller waits for the record
	normal []*job // the others; a job may be in both
}

// addNormal records that a job has changed.
func (q *storeQueue) addNormal(j *job) {
	j.version++
	if !j.inNormalQueue {
		j.inNormalQueue = true
		q.normal = append(q.normal, j)
	}
}

// addUrgent records that a job has changed and that a caller waits until this is stored.
func (q *storeQueue) addUrgent(j *job) {
	j.version++
	if !j.inUrgentQueue {
		j.inUrgentQueue = true
		q.urgent = append(q.urgent, j)
	}
}

// next removes and returns the next job to store in its present version, or nil.
func (q *storeQueue) next() *job {
	for j := q.pop(); j != nil; j = q.pop() {
		if j.dirty() {
			j.collectedVersion = j.version
			return j
		}
	}
	return nil
}

// pop removes and returns the first job, or nil. The job may have been collected since it was added.
func (q *storeQueue) pop() *job {
	var j *job
	switch {
	case len(q.urgent) > 0:
		j, q.urgent[0] = q.urgent[0], nil // or the array would keep the job in memory
		q.urgent = q.urgent[1:]
		j.inUrgentQueue = false
	case len(q.normal) > 0:
		j, q.normal[0] = q.normal[0], nil
		q.normal = q.normal[1:]
		j.inNormalQueue = false
	}
	return j
}

// dirty reports whether a job has changed since it was last collected for the store.
func (j *job) dirty() bool { return j.collectedVersion < j.version }

// pendingAck is the end of a run that may be acknowledged once its job is stored in a version.
type pendingAck struct {
	seq     int64 // number of the end
	job     *job
	version int // oldest version of the job that includes the end
}

// holdAck defers the acknowledgement of an end until its job is stored in its present version.
func (w *worker) holdAck(seq int64, j *job) {
	if j != nil && j.dirty() {
		w.pendingAcks = append(w.pendingAcks, pendingAck{seq, j, j.version})
	}
}

// ackableSeq returns the highest number up to which the worker's ends may be acknowledged once all collected records
// are stored.
func (w *worker) ackableSeq() int64 {
	for len(w.pendingAcks) > 0 {
		first := w.pendingAcks[0]
		if first.job.collectedVersion < first.version {
			return first.seq - 1
		}
		w.pendingAcks[0].job = nil // or the array would keep the job in memory
		w.pendingAcks = w.pendingAcks[1:]
	}
	return w.handledSeq
}

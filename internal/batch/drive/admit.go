package drive

import (
	"time"

	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// refusalCause is why the holder refuses a new job.
type refusalCause string

// The causes of a refusal.
const (
	refusedForStore  refusalCause = "store"  // the store doesn't answer
	refusedForMemory refusalCause = "memory" // this process is near its memory limit
	refusedForStarts refusalCause = "starts" // this process can't start in time what it has accepted
)

// refusalCauses lists all causes.
var refusalCauses = []refusalCause{refusedForStore, refusedForMemory, refusedForStarts}

// admission decides whether new jobs are accepted. Holder.mu guards it.
type admission struct {
	memory     memoryGuard
	readMemory func() MemoryUsage             // nil: the memory isn't watched
	refusals   map[refusalCause]tally.Counter // refused jobs

	startsRefusedAt time.Time // when a job was last refused as starts are behind
}

func newAdmission(opt Options) admission {
	a := admission{readMemory: opt.ReadMemory, refusals: map[refusalCause]tally.Counter{}}
	if a.readMemory != nil {
		a.memory.limit = opt.MemoryLimit
	}
	for _, cause := range refusalCauses {
		a.refusals[cause] = opt.Scope.Tagged(map[string]string{"cause": string(cause)}).Counter("refusals")
	}
	return a
}

// checkMemory observes the memory usage if that is due. The caller holds h.mu.
func (h *Holder) checkMemory(now time.Time) {
	a := &h.admission
	if a.memory.due(now) {
		a.memory.reserved = h.core.ReservedMemory(now)
		a.memory.observe(now, a.readMemory())
	}
}

// refuse counts a refusal and returns the reply.
func (a *admission) refuse(cause refusalCause, why string, after time.Duration) (Reply, bool) {
	a.refusals[cause].Inc(1)
	return RefusedReply(why, after), true
}

// refuseJob returns the refusal of a job that isn't known yet, of which the given memory is expected, and whether it is refused. The
// caller holds h.mu.
func (h *Holder) refuseJob(now time.Time, job *sched.Job, memory int64) (Reply, bool) {
	if !h.writeStarted.IsZero() && now.Sub(h.writeStarted) > stalledWriteAfter {
		return h.admission.refuse(refusedForStore, "store away", retryAfterStoreOutage)
	}
	h.checkMemory(now)
	if h.admission.memory.refuses(memory) {
		return h.admission.refuse(refusedForMemory, "memory short", h.admission.memory.retryAfter())
	}
	if delay := h.core.AdmissionDelay(now, job); delay > 0 {
		h.admission.startsRefusedAt = now
		return h.admission.refuse(refusedForStarts, "starts behind", delay)
	}
	return Reply{}, false
}

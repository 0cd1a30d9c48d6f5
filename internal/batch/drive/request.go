package drive

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"

	"github.com/pkg/errors"
)

// Verb is what a Request asks for.
type Verb string

// The verbs of a Request.
const (
	VerbSubmit Verb = "submit" // submit a job
	VerbState  Verb = "state"  // the state of a job, or without a job id the number of pending jobs in the queue
	VerbCancel Verb = "cancel" // cancel a job
)

// Request is a caller's request to the holder.
type Request struct {
	Verb Verb
	Host string // selects the queue, together with Path
	Path string // the queue's prefix, followed by the job's id
	Job  []byte // of a submission: the job, as JSON of sched.Job
}

// MaxRequestBody is the size of the largest body of a caller's request, in bytes. The largest allowed spec and steps take a
// fraction of it.
const MaxRequestBody = 1 << 20

// MaxJobSize is the size of the largest Request.Job that is accepted, in bytes. Dozens of jobs share a write to the store.
const MaxJobSize = 256 << 10

// Result is the result of a Request.
type Result string

// The results of a Request.
const (
	ResultDone    Result = "done"    // carried out, or the job was known or had ended before
	ResultState   Result = "state"   // Reply.State is set
	ResultCount   Result = "count"   // Reply.Pending is set
	ResultNoQueue Result = "noqueue" // no queue matches the host and path
	ResultNoJob   Result = "nojob"   // the job does not exist
	ResultBad     Result = "bad"     // the request is invalid
	ResultRefused Result = "refused" // not carried out; retry after Reply.After
	ResultUnknown Result = "unknown" // it may have been carried out, or may be carried out later
)

// Reply is the holder's reply to a Request.
type Reply struct {
	Result  Result
	State   sched.State   // of the job, for ResultState
	Pending int           // jobs of the queue that have not started, for ResultCount
	After   time.Duration // when to retry, for ResultRefused
	Final   bool          // for ResultRefused: earlier attempts of the request that got no answer aren't carried out either
	Why     string        // the reason for the result, in words
	Version int64         // of the configuration under which the request was handled
}

// RefusedReply returns the reply to a request that was not carried out and may be retried after a delay.
func RefusedReply(why string, after time.Duration) Reply {
	return Reply{Result: ResultRefused, Why: why, After: after}
}

// Delays after which a caller should retry.
const (
	// RetryAfterHolderChange is the delay while the holder changes.
	RetryAfterHolderChange = time.Second
	// retryAfterStoreOutage is the delay while the store doesn't answer. The holder tries it ten times a
	// second, so a second is soon enough.
	retryAfterStoreOutage = time.Second
	// retryAfterCancelFlood is the delay for a cancel of an unknown job while too many are remembered.
	retryAfterCancelFlood = 5 * time.Second
	// retryAfterUndecodedJob is the delay for a job whose stored record can't be decoded. Another build may be able to.
	retryAfterUndecodedJob = time.Minute
	// retryAfterUnsupportedQueue is the delay for a queue that isn't served until operators change its configuration.
	retryAfterUnsupportedQueue = time.Minute
)

// Handle carries out a caller's request and returns the reply.
func (h *Holder) Handle(ctx context.Context, req Request) Reply {
	h.mu.Lock()
	conf := h.core.Config()
	hasConfig := h.hasConfig
	q, ok := conf.MatchQueue(req.Host, req.Path)
	version := conf.Version
	h.mu.Unlock()
	if !hasConfig {
		return RefusedReply("no configuration yet", RetryAfterHolderChange)
	}
	if !ok {
		return Reply{Result: ResultNoQueue, Version: version}
	}
	reply := h.handleInQueue(ctx, req, q, strings.TrimPrefix(req.Path, q.Prefix))
	reply.Version = version
	return reply
}

// handleInQueue carries out a request to a queue; id is what follows the queue's prefix in the path.
func (h *Holder) handleInQueue(ctx context.Context, req Request, q sched.Queue, id string) Reply {
	switch {
	case req.Verb == VerbState && id == "":
		h.mu.Lock()
		defer h.mu.Unlock()
		return Reply{Result: ResultCount, Pending: h.core.PendingJobs(q.Name)}
	case !isJobID(id):
		return Reply{Result: ResultBad, Why: "no job id"}
	case h.undecoded(id):
		h.log.Info("refused", "job", id, "queue", q.Name, "cause", "stored record not decoded")
		return RefusedReply("the job's stored record can't be decoded", retryAfterUndecodedJob)
	case req.Verb == VerbSubmit:
		return h.submitJob(ctx, req, q, id)
	case req.Verb == VerbCancel:
		return h.cancelJob(ctx, id)
	}
	return h.replyState(ctx, id)
}

// maxIDLength bounds the id of a job in bytes, so that the keys of its records stay within what the store takes.
const maxIDLength = 100

// isJobID reports whether a string can be the id of a job: visible ASCII characters other than those that separate the parts of
// paths and of task ids.
func isJobID(id string) bool {
	return id != "" && len(id) <= maxIDLength && !strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' || c == '.' })
}

// undecoded reports whether a job is in the store and can't be decoded.
func (h *Holder) undecoded(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.undecodedJobs[id] != nil
}

// submitJob has a job stored and replies once it is. A job that is known already is accepted again.
func (h *Holder) submitJob(ctx context.Context, req Request, q sched.Queue, id string) Reply {
	if q.Advised {
		h.log.Info("refused", "job", id, "queue", q.Name, "cause", "queue needs advice")
		return RefusedReply("a queue whose workers need advice isn't served", retryAfterUnsupportedQueue)
	}
	if len(req.Job) > MaxJobSize {
		return Reply{Result: ResultBad, Why: "job too large"}
	}
	job := &sched.Job{}
	if err := json.Unmarshal(req.Job, job); err != nil {
		return Reply{Result: ResultBad, Why: err.Error()}
	}
	if err := job.ValidateSubmission(); err != nil {
		return Reply{Result: ResultBad, Why: err.Error()}
	}
	job.ID, job.Queue, job.Service = id, q.Name, q.Service
	job.Priority, job.MaxAttempts, job.StretchFactor, job.DeadlineBase = q.Priority, q.Tries, q.Stretch, q.Aim
	job.AcceptedAt = time.Now()
	data, err := json.Marshal(job)
	if err != nil {
		return Reply{Result: ResultBad, Why: err.Error()}
	}
	h.mu.Lock()
	if h.core.HasJob(id) {
		h.mu.Unlock()
		return Reply{Result: ResultDone, Why: "known"}
	}
	s, refusal := h.enterSubmission(time.Now(), job, data)
	h.mu.Unlock()
	if s == nil {
		return refusal
	}
	wait.Wake(h.urgentCommit)
	h.awaitSubmission(ctx, s)
	reply := h.leaveSubmission(s)
	if reply.Result == ResultDone {
		h.log.Info("accepted", "job", id, "queue", q.Name, "tasks", countTasks(job), "took", time.Since(job.AcceptedAt))
	}
	return reply
}

// countTasks returns the number of tasks of one occurrence of a job.
func countTasks(j *sched.Job) int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// cancelJob cancels a job and replies once that is stored. A job whose submission isn't settled counts, too.
func (h *Holder) cancelJob(ctx context.Context, id string) Reply {
	if !h.cancelSubmission(ctx, id) {
		return Reply{Result: ResultUnknown, Why: "store answers late"}
	}
	h.mu.Lock()
	state, known := h.core.JobState(id)
	if !known {
		h.mu.Unlock()
		reply := h.replyUnknownJob(ctx, id)
		if reply.Result == ResultNoJob {
			reply = h.replyCancelled(ctx, id)
		}
		return reply
	}
	if state.Final() {
		h.mu.Unlock()
		return Reply{Result: ResultDone}
	}
	h.core.CancelJob(time.Now(), id)
	done := make(chan struct{})
	h.recordWaiters[id] = append(h.recordWaiters[id], done)
	h.mu.Unlock()
	wait.Wake(h.urgentCommit)
	h.requestPlan()
	select {
	case <-done:
		h.log.Info("cancelled", "job", id, "was", state)
		return Reply{Result: ResultDone}
	case <-ctx.Done():
	case <-h.ctx.Done():
	}
	return Reply{Result: ResultUnknown, Why: "store answers late"}
}

// replyState replies with the state of a job. It waits for one whose submission isn't settled, unless the store is slow.
func (h *Holder) replyState(ctx context.Context, id string) Reply {
	h.mu.Lock()
	s := h.submissionsByID[id]
	h.mu.Unlock()
	if s != nil {
		ctx, cancel := context.WithTimeout(ctx, stalledWriteAfter)
		defer cancel()
		if !h.awaitSubmission(ctx, s) {
			return RefusedReply("job isn't stored yet", retryAfterStoreOutage)
		}
	}
	h.mu.Lock()
	state, known := h.core.JobState(id)
	h.mu.Unlock()
	if !known {
		return h.replyUnknownJob(ctx, id)
	}
	return Reply{Result: ResultState, State: state}
}

// replyUnknownJob replies for a job that the core doesn't know. It looks the job up in the store, because a
// holder that has been replaced without noticing doesn't know the jobs of its successor.
func (h *Holder) replyUnknownJob(ctx context.Context, id string) Reply {
	for _, key := range []string{jobPrefix + id, progressPrefix + id} {
		_, err := h.opt.Store.Get(ctx, key)
		if err == nil {
			return RefusedReply("job of another holder", RetryAfterHolderChange)
		}
		if !errors.Is(err, store.ErrNotFound) {
			return RefusedReply("store away", retryAfterStoreOutage)
		}
	}
	return Reply{Result: ResultNoJob}
}

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

// Verb is what a caller asks for.
type Verb string

// What callers ask for.
const (
	VerbSubmit Verb = "submit"
	VerbState  Verb = "state" // of a job, or how many wait in a queue
	VerbCancel Verb = "cancel"
)

// Request is a caller's request on its way to the holder.
type Request struct {
	Verb Verb
	Host string
	Path string
	Job  []byte // of a submission: the job, as JSON of sched.Job
}

// Result is how an Ask ended.
type Result string

// The results of an Ask.
const (
	ResultDone    Result = "done"
	ResultState   Result = "state"
	ResultCount   Result = "count"
	ResultNoQueue Result = "noqueue" // there is no such queue
	ResultNoJob   Result = "nojob"   // there is no such job
	ResultBad     Result = "bad"     // it can't be understood
	ResultRefused Result = "refused" // not carried out; come back after Reply.After
	ResultUnknown Result = "unknown" // it may have been carried out, or may be
)

// Reply is the answer to an Ask.
type Reply struct {
	Result  Result
	State   sched.State
	Pending int
	After   time.Duration // when to come back
	Why     string
	Version int64 // of the configuration that decided it
}

// RefusedReply returns the reply of a request that was not carried out.
func RefusedReply(why string, after time.Duration) Reply {
	return Reply{Result: ResultRefused, Why: why, After: after}
}

// Times to come back after.
const (
	// RetryAfterHolderChange fits a change of holder.
	RetryAfterHolderChange = time.Second
	// retryAfterStoreOutage fits a store that doesn't answer: it is tried ten times a second, so a
	// second is soon enough.
	retryAfterStoreOutage = time.Second
	// retryAfterUnsupportedQueue is for a queue that isn't served until operators change it.
	retryAfterUnsupportedQueue = time.Minute
)

// Handle answers a caller.
func (h *Holder) Handle(ctx context.Context, a Request) Reply {
	h.mu.Lock()
	conf := h.core.Config()
	known := h.hasConfig
	q, ok := conf.MatchQueue(a.Host, a.Path)
	version := conf.Version
	h.mu.Unlock()
	if !known {
		return RefusedReply("no configuration yet", RetryAfterHolderChange)
	}
	if !ok {
		return Reply{Result: ResultNoQueue, Version: version}
	}
	rep := h.handleInQueue(ctx, a, q, strings.TrimPrefix(a.Path, q.Prefix))
	rep.Version = version
	return rep
}

func (h *Holder) handleInQueue(ctx context.Context, a Request, q sched.Queue, id string) Reply {
	switch {
	case a.Verb == VerbState && id == "":
		h.mu.Lock()
		defer h.mu.Unlock()
		return Reply{Result: ResultCount, Pending: h.core.PendingJobs(q.Name)}
	case id == "" || strings.Contains(id, "/") || strings.Contains(id, "."):
		return Reply{Result: ResultBad, Why: "no job id"}
	case a.Verb == VerbSubmit:
		return h.submitJob(ctx, a, q, id)
	case a.Verb == VerbCancel:
		return h.cancelJob(ctx, id)
	}
	return h.replyState(ctx, id)
}

func (h *Holder) submitJob(ctx context.Context, a Request, q sched.Queue, id string) Reply {
	if q.Advised {
		h.log.Info("refused", "job", id, "queue", q.Name, "cause", "queue needs advice")
		return RefusedReply("a queue whose workers need advice isn't served", retryAfterUnsupportedQueue)
	}
	job := &sched.Job{}
	if err := json.Unmarshal(a.Job, job); err != nil {
		return Reply{Result: ResultBad, Why: err.Error()}
	}
	if err := job.Validate(); err != nil {
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
	s := h.submissionsByID[id]
	if s == nil {
		if !h.writeStarted.IsZero() && time.Since(h.writeStarted) > stalledWriteAfter {
			h.mu.Unlock()
			return RefusedReply("store away", retryAfterStoreOutage)
		}
		s = &submission{job: job, data: data, done: make(chan struct{})}
		h.submissionsByID[id] = s
		h.submissions = append(h.submissions, s)
	}
	h.mu.Unlock()
	wait.Kick(h.urgentCommit)
	select {
	case <-s.done:
		h.log.Info("accepted", "job", id, "queue", q.Name, "tasks", countTasks(job), "took", time.Since(job.AcceptedAt))
		return Reply{Result: ResultDone}
	case <-ctx.Done():
	case <-h.ctx.Done():
	}
	return h.withdrawSubmission(s)
}

func countTasks(j *sched.Job) int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// withdrawSubmission takes back a submission that isn't stored in time. One that is on its way to the
// store may get there.
func (h *Holder) withdrawSubmission(s *submission) Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.writing {
		return Reply{Result: ResultUnknown, Why: "store answers late"}
	}
	for i, o := range h.submissions {
		if o == s {
			h.submissions = append(h.submissions[:i:i], h.submissions[i+1:]...)
			delete(h.submissionsByID, s.job.ID)
			break
		}
	}
	return RefusedReply("store away", retryAfterStoreOutage)
}

func (h *Holder) cancelJob(ctx context.Context, id string) Reply {
	h.mu.Lock()
	was, known := h.core.JobState(id)
	if !known {
		h.mu.Unlock()
		return h.replyUnknownJob(ctx, id)
	}
	if was.Final() {
		h.mu.Unlock()
		return Reply{Result: ResultDone}
	}
	h.core.CancelJob(time.Now(), id)
	done := make(chan struct{})
	h.recordWaiters[id] = append(h.recordWaiters[id], done)
	h.mu.Unlock()
	wait.Kick(h.urgentCommit)
	h.requestPlan()
	select {
	case <-done:
		h.log.Info("cancelled", "job", id, "was", was)
		return Reply{Result: ResultDone}
	case <-ctx.Done():
	case <-h.ctx.Done():
	}
	return Reply{Result: ResultUnknown, Why: "store answers late"}
}

func (h *Holder) replyState(ctx context.Context, id string) Reply {
	h.mu.Lock()
	s, known := h.core.JobState(id)
	h.mu.Unlock()
	if !known {
		return h.replyUnknownJob(ctx, id)
	}
	return Reply{Result: ResultState, State: s}
}

// replyUnknownJob answers for a job that isn't known here. The store is asked: a holder that has been
// replaced without knowing misses the jobs of its successor.
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

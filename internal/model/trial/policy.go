package trial

import (
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Policy decides which tasks run on which workers.
type Policy interface {
	// UpdateWorkers passes the workers that the directory lists at present.
	UpdateWorkers(now time.Time, members []sched.Member)
	// AddJob passes a submitted job.
	AddJob(now time.Time, j *sched.Job)
	// NextPoll returns how long a worker's next poll may wait for the end of a run, and up to which sequence
	// number the worker may forget ended runs.
	NextPoll(now time.Time, id string) (wait time.Duration, acked int64)
	// PollFailed reports that a worker didn't answer a poll.
	PollFailed(now time.Time, worker sched.Incarnation)
	// HandleReport passes a worker's answer to the poll that was sent at the given time.
	HandleReport(sent, now time.Time, id string, rep sched.Report)
	// Plan returns the orders to send now.
	Plan(now time.Time) []sched.Order
	// HandleOutcome passes the outcome of an order.
	HandleOutcome(now time.Time, o sched.Order, out sched.Outcome)
	// Completed reports whether the policy knows that a job has completed.
	Completed(id string) bool
	// Failed reports whether a job has ended without success.
	Failed(id string) bool
}

// productPolicy runs the scheduler's own core. Its changes count as stored at once.
type productPolicy struct {
	core *sched.Core
}

// Options of the core, as on the users' platform.
const (
	workerLease    = 5500 * time.Millisecond
	maxStopTime    = 400 * time.Millisecond
	maxUnconfirmed = time.Hour // longer than any scenario: there is no other holder and no outage of the store
)

func newProductPolicy(now time.Time) Policy {
	return &productPolicy{sched.New(sched.Options{WorkerLease: workerLease, MaxStopTime: maxStopTime, MaxUnconfirmed: maxUnconfirmed, Term: 1}, now)}
}

func (p *productPolicy) UpdateWorkers(now time.Time, members []sched.Member) {
	p.core.UpdateDirectory(now, members)
	p.core.MarkTracked(p.core.TrackedWorkers())
}

func (p *productPolicy) AddJob(now time.Time, j *sched.Job) { p.core.AddJob(now, j) }

func (p *productPolicy) NextPoll(now time.Time, id string) (time.Duration, int64) {
	p.core.ConfirmHolder(now)
	poll, _ := p.core.NextPoll(now, id)
	return poll.Wait, poll.AckedSeq
}

func (p *productPolicy) PollFailed(now time.Time, w sched.Incarnation) {
	p.core.PollFailed(now, w.ID, w.StartedAt)
}

func (p *productPolicy) HandleReport(sent, now time.Time, id string, rep sched.Report) {
	p.core.HandleReport(sent, now, id, rep)
	p.commitChanges()
}

func (p *productPolicy) Plan(now time.Time) []sched.Order {
	p.core.ConfirmHolder(now)
	orders := p.core.Plan(now)
	p.commitChanges()
	return orders
}

// commitChanges collects all changes and marks them as stored. A job's progress can always be encoded.
func (p *productPolicy) commitChanges() {
	b, err := p.core.CollectChanges(int(^uint(0) >> 1))
	if err != nil {
		panic(errors.Wrap(err, "trial: encode a job's progress"))
	}
	p.core.MarkCommitted(b)
}

func (p *productPolicy) HandleOutcome(now time.Time, o sched.Order, out sched.Outcome) {
	p.core.HandleOutcome(now, o, out)
}

func (p *productPolicy) Completed(id string) bool {
	s, _ := p.core.JobState(id)
	return s == sched.StateCompleted
}

func (p *productPolicy) Failed(id string) bool {
	s, _ := p.core.JobState(id)
	return s == sched.StateFailed
}

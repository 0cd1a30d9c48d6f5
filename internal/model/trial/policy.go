package trial

import (
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Policy decides what runs where.
type Policy interface {
	UpdateWorkers(now time.Time, members []sched.Member)
	AddJob(now time.Time, j *sched.Job)
	// NextPoll returns how long to wait for an end, and up to which end the worker may forget.
	NextPoll(now time.Time, id string) (wait time.Duration, acked int64)
	// PollFailed tells that a poll of a worker was not answered.
	PollFailed(now time.Time, worker sched.Incarnation)
	HandleReport(sent, now time.Time, id string, rep sched.Report)
	Plan(now time.Time) []sched.Order
	HandleOutcome(now time.Time, o sched.Order, out sched.Outcome)
	// Completed reports whether a job is shown as completed.
	Completed(id string) bool
	// Failed reports whether a job has ended without success.
	Failed(id string) bool
}

// productPolicy is the productPolicy's own core; what has changed counts as stored at once.
type productPolicy struct {
	core *sched.Core
}

// Times of a core in a model, as on the users' platform.
const (
	workerLease    = 5500 * time.Millisecond
	maxStopTime    = 400 * time.Millisecond
	maxUnconfirmed = time.Hour // no other holder, no outage of the store
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
	l, _ := p.core.NextPoll(now, id)
	return l.Wait, l.AckedSeq
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

// commitChanges has everything that has changed counted as stored.
func (p *productPolicy) commitChanges() {
	b, err := p.core.CollectChanges(int(^uint(0) >> 1))
	if err != nil {
		panic(errors.Wrap(err, "trial: a job's progress can always be encoded"))
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

package trial

import (
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Policy decides what runs where.
type Policy interface {
	Join(now time.Time, members []sched.Member)
	Admit(now time.Time, j *sched.Job)
	// Poll returns how long to wait for an end, and up to which end the worker may forget.
	Poll(now time.Time, id string) (wait time.Duration, acked int64)
	// Missed tells that a poll of a worker was not answered.
	Missed(now time.Time, worker sched.Incarnation)
	Hear(sent, now time.Time, id string, rep sched.Report)
	Plan(now time.Time) []sched.Order
	Answer(now time.Time, o sched.Order, out sched.Outcome)
	// Completed reports whether a job is shown as completed.
	Completed(id string) bool
	// Failed reports whether a job has ended without success.
	Failed(id string) bool
}

// product is the product's own core; what has changed counts as stored at once.
type product struct {
	core *sched.Core
}

// Times of a core in a model, as on the users' platform.
const (
	coreLease = 5500 * time.Millisecond
	coreStop  = 400 * time.Millisecond
	always    = time.Hour // no other holder, no outage of the store
)

func newProduct(now time.Time) Policy {
	return &product{sched.New(sched.Options{WorkerLease: coreLease, MaxStopTime: coreStop, MaxUnconfirmed: always, Term: 1}, now)}
}

func (p *product) Join(now time.Time, members []sched.Member) {
	p.core.UpdateDirectory(now, members)
	p.core.MarkTracked(p.core.TrackedWorkers())
}

func (p *product) Admit(now time.Time, j *sched.Job) { p.core.AddJob(now, j) }

func (p *product) Poll(now time.Time, id string) (time.Duration, int64) {
	p.core.ConfirmHolder(now)
	l, _ := p.core.NextPoll(now, id)
	return l.Wait, l.AckedSeq
}

func (p *product) Missed(now time.Time, w sched.Incarnation) {
	p.core.PollFailed(now, w.ID, w.StartedAt)
}

func (p *product) Hear(sent, now time.Time, id string, rep sched.Report) {
	p.core.HandleReport(sent, now, id, rep)
	p.store()
}

func (p *product) Plan(now time.Time) []sched.Order {
	p.core.ConfirmHolder(now)
	orders := p.core.Plan(now)
	p.store()
	return orders
}

// store has everything that has changed counted as stored.
func (p *product) store() {
	b, err := p.core.CollectChanges(int(^uint(0) >> 1))
	if err != nil {
		panic(errors.Wrap(err, "trial: a job's progress can always be encoded"))
	}
	p.core.MarkCommitted(b)
}

func (p *product) Answer(now time.Time, o sched.Order, out sched.Outcome) {
	p.core.HandleOutcome(now, o, out)
}

func (p *product) Completed(id string) bool {
	s, _ := p.core.JobState(id)
	return s == sched.StateCompleted
}

func (p *product) Failed(id string) bool {
	s, _ := p.core.JobState(id)
	return s == sched.StateFailed
}

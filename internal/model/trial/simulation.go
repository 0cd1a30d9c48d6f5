package trial

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/model/trace"
	"bramleysail.example/bramleysail/internal/model/world"
)

const (
	// warmup is how long the day has gone on when counting begins: lasting tasks are
	// there and the first readings were taken.
	warmup = 5 * time.Second
	// drainTime is how long jobs are waited for after the last has come.
	drainTime = 14 * time.Second
	// longRunningValuePeriod is the time for which a lasting job earns at once.
	longRunningValuePeriod = 2 * time.Second
	// interferencePenalty is how many times a lasting task over its target counts when that is due to the
	// filling tasks beside it.
	interferencePenalty = 4
	// maxLateFactor is how many times its objective a job may take to earn as a late one.
	maxLateFactor = 3
	// planInterval and answerIn are the time between plans without an event, and that between an
	// order or a poll and its answer.
	planInterval = 100 * time.Millisecond
	answerDelay  = world.Tick
)

// Result is what a day's callers got.
type Result struct {
	Kinds             map[string]*Tally
	WastedCoreSeconds float64 // core-seconds worked in vain
	StopOrders        int     // filling tasks that were stopped and begun anew

	windows           []Tally   // of the day, by when jobs were handed in
	worstWindowShares []float64 // what the worst windows of each day earned
}

// Tally is what the callers of a kind got.
type Tally struct {
	PossibleValue, EarnedValue float64
	Jobs, OnTime, Late         int
	TurnaroundTimes            []time.Duration // from handing in to the end, of the jobs that ended
	MaxStall                   time.Duration   // longest that a job with waiting tasks had nothing running
	MaxStallAtEnd              time.Duration   // the same in the last seconds of the day
}

// Add adds another day's result.
func (r *Result) Add(o *Result) {
	for name, t := range o.Kinds {
		s := r.tallyOf(name)
		s.PossibleValue += t.PossibleValue
		s.EarnedValue += t.EarnedValue
		s.Jobs += t.Jobs
		s.OnTime += t.OnTime
		s.Late += t.Late
		s.MaxStall = max(s.MaxStall, t.MaxStall)
		s.MaxStallAtEnd = max(s.MaxStallAtEnd, t.MaxStallAtEnd)
		s.TurnaroundTimes = append(s.TurnaroundTimes, t.TurnaroundTimes...)
	}
	r.worstWindowShares = append(r.worstWindowShares, o.worstWindowShares...)
	r.WastedCoreSeconds += o.WastedCoreSeconds
	r.StopOrders += o.StopOrders
}

func (r *Result) tallyOf(name string) *Tally {
	if r.Kinds == nil {
		r.Kinds = map[string]*Tally{}
	}
	t := r.Kinds[name]
	if t == nil {
		t = &Tally{}
		r.Kinds[name] = t
	}
	return t
}

// addCompleted counts a job that was completed within a time.
func (r *Result) addCompleted(j *trace.Job, took time.Duration) {
	t := r.tallyOf(j.Kind.Name)
	t.Jobs++
	t.TurnaroundTimes = append(t.TurnaroundTimes, took)
	earned := 0.0
	switch goal := j.RelativeDeadline(); {
	case took <= goal:
		t.OnTime++
		earned = j.Kind.OnTimeValue * j.ValueFactor
	case took <= maxLateFactor*goal:
		t.Late++
		earned = j.Kind.LateValue * j.ValueFactor
	}
	r.addValue(t, j.SubmittedAt, j.Kind.OnTimeValue*j.ValueFactor, earned)
}

// addUnfinished counts a job that wasn't completed.
func (r *Result) addUnfinished(j *trace.Job) {
	t := r.tallyOf(j.Kind.Name)
	t.Jobs++
	r.addValue(t, j.SubmittedAt, j.Kind.OnTimeValue*j.ValueFactor, 0)
}

// ValueShare returns the share of what was owed that was earned.
func (r *Result) ValueShare() float64 {
	owed, earned := 0.0, 0.0
	for _, t := range r.Kinds {
		owed += t.PossibleValue
		earned += t.EarnedValue
	}
	return earned / max(owed, 1e-9)
}

// simulation is a simulation under way.
type simulation struct {
	world          *world.World
	policy         Policy
	upcoming       []*trace.Job
	unfinished     []*trace.Job // handed in and not seen completed
	polls          []poll
	ordersInFlight []sched.Order // on their way
	planRequested  bool
	result         *Result
	lastRan        map[string]time.Time // when a task of a job last ran, or it was handed in
}

// poll is a poll under way at a worker, in the workers' order.
type poll struct {
	sentAt, answerAt          time.Time
	ackedSeq, workerStartedAt int64
}

// simulate plays a day's jobs with a policy.
func simulate(d *trace.Scenario, jobs []*trace.Job, faults []trace.Fault, start time.Time, seed uint64, policy func(time.Time) Policy) *Result {
	p := &simulation{world: world.New(d, start, jobs, faults, seed), policy: policy(start), upcoming: jobs, result: &Result{}, lastRan: map[string]time.Time{}}
	p.policy.UpdateWorkers(start, p.world.Members())
	p.polls = make([]poll, len(p.world.Workers))
	for i := range p.polls {
		p.polls[i] = poll{sentAt: start, answerAt: start, workerStartedAt: p.world.Workers[i].Member.StartedAt}
	}
	end := start.Add(d.Duration + drainTime)
	planned := start
	for now := start; now.Before(end); now = now.Add(world.Tick) {
		if p.world.ApplyFaults(now) {
			p.policy.UpdateWorkers(now, p.world.Members())
			p.planRequested = true
		}
		p.submitJobs(now, start)
		p.executeOrders(now)
		if p.planRequested || now.Sub(planned) >= planInterval {
			planned, p.planRequested = now, false
			p.ordersInFlight = p.policy.Plan(now)
		}
		for _, k := range p.world.Advance(now) {
			p.hastenPollAnswer(now, k)
		}
		p.answerPolls(now)
		p.recordCompleted(now, start)
		if now.Sub(start)%planInterval == 0 {
			p.recordStalls(now, end)
		}
		if now.Sub(start) > warmup && now.Sub(start) < d.Duration {
			p.addLongRunningValue(now, start)
		}
	}
	p.recordUnfinished()
	p.result.worstWindowShares = []float64{p.result.worstWindowShare()}
	p.result.WastedCoreSeconds = p.world.WastedCoreSeconds
	return p.result
}

func (p *simulation) submitJobs(now, start time.Time) {
	for len(p.upcoming) > 0 && !now.Before(start.Add(p.upcoming[0].SubmittedAt)) {
		j := p.upcoming[0]
		p.upcoming = p.upcoming[1:]
		p.policy.AddJob(now, j.Spec)
		p.unfinished = append(p.unfinished, j)
		p.lastRan[j.Spec.ID] = now
		p.planRequested = true
	}
}

// executeOrders has the orders of the last plan carried out.
func (p *simulation) executeOrders(now time.Time) {
	for _, o := range p.ordersInFlight {
		out := p.world.ExecuteOrder(now, o)
		p.policy.HandleOutcome(now, o, out)
		p.planRequested = p.planRequested || out != sched.OutcomeDone
		if o.Verb == sched.VerbStop {
			p.result.StopOrders++
		}
	}
	p.ordersInFlight = nil
}

// hastenPollAnswer has the poll of a worker on which something ended answered.
func (p *simulation) hastenPollAnswer(now time.Time, k *world.Worker) {
	for i, w := range p.world.Workers {
		if w == k && p.polls[i].answerAt.After(now.Add(answerDelay)) {
			p.polls[i].answerAt = now.Add(answerDelay)
		}
	}
}

func (p *simulation) answerPolls(now time.Time) {
	for i, k := range p.world.Workers {
		l := &p.polls[i]
		if now.Before(l.answerAt) {
			continue
		}
		if k.Lost() {
			p.policy.PollFailed(now, k.Member.Incarnation)
			*l = poll{sentAt: now, answerAt: now.Add(planInterval)}
			continue
		}
		if k.Member.StartedAt != l.workerStartedAt { // the poll under way was one of the former life
			*l = poll{sentAt: now, workerStartedAt: k.Member.StartedAt}
		}
		p.policy.HandleReport(l.sentAt, now, k.Member.ID, p.world.AnswerPoll(now, k, l.ackedSeq))
		p.planRequested = true
		wait, acked := p.policy.NextPoll(now, k.Member.ID)
		*l = poll{sentAt: now, answerAt: now.Add(max(wait, answerDelay)), ackedSeq: acked, workerStartedAt: l.workerStartedAt}
	}
}

// recordCompleted counts the jobs that have ended.
func (p *simulation) recordCompleted(now, start time.Time) {
	rest := p.unfinished[:0]
	for _, j := range p.unfinished {
		if j.Kind.LongRunning || !p.policy.Completed(j.Spec.ID) {
			rest = append(rest, j)
			continue
		}
		p.result.addCompleted(j, now.Sub(start.Add(j.SubmittedAt)))
	}
	p.unfinished = rest
}

// recordUnfinished counts the jobs that haven't ended.
func (p *simulation) recordUnfinished() {
	for _, j := range p.unfinished {
		if j.Kind.LongRunning {
			continue
		}
		p.result.addUnfinished(j)
	}
}

// addLongRunningValue counts a Tick of the lasting jobs.
func (p *simulation) addLongRunningValue(now, start time.Time) {
	working, over, blamed := map[string]int{}, map[string]int{}, map[string]int{}
	for _, k := range p.world.Workers {
		for _, t := range k.Tasks {
			if !t.Step.LongRunning || !t.Ready(now) {
				continue
			}
			working[t.ID.Job]++
			switch {
			case t.OverByInterference:
				blamed[t.ID.Job]++
			case t.OverTarget:
				over[t.ID.Job]++
			}
		}
	}
	part := world.Tick.Seconds() / longRunningValuePeriod.Seconds()
	for _, j := range p.unfinished {
		if !j.Kind.LongRunning {
			continue
		}
		t := p.result.tallyOf(j.Kind.Name)
		id, n := j.Spec.ID, float64(j.Spec.Steps[0].Count)
		got := (float64(working[id]) - float64(over[id]) - interferencePenalty*float64(blamed[id])) / n
		p.result.addValue(t, now.Sub(start), part*j.Kind.OnTimeValue, part*j.Kind.OnTimeValue*max(0, got))
	}
}

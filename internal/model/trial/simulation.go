package trial

import (
	"time"

	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/model/trace"
	"bramleysail.example/bramleysail/internal/model/world"
)

const (
	// warmup is the time after which the value of long-running jobs is counted: by then their tasks are ready and the
	// first measurements have been taken.
	warmup = 5 * time.Second
	// drainTime is how long a simulation continues after the last arrival, so that jobs can complete.
	drainTime = 14 * time.Second
	// longRunningValuePeriod is the time in which a long-running job can earn the value of its kind once.
	longRunningValuePeriod = 2 * time.Second
	// interferencePenalty is the weight of a latency-critical task that is over its target because of the best-effort
	// tasks on its worker; other violations have the weight 1.
	interferencePenalty = 4
	// maxLateFactor is the multiple of its relative deadline within which a late job still has a value.
	maxLateFactor = 3
	// planInterval is the time between plans without an event, and answerDelay the time between an order or a
	// poll and its answer.
	planInterval = 100 * time.Millisecond
	answerDelay  = world.Tick
)

// Result holds the outcome of one or more simulations.
type Result struct {
	Kinds             map[string]*Tally // by kind of jobs
	WastedCoreSeconds float64           // core-seconds of work that was neither completed nor saved
	StopOrders        int               // number of stop orders: best-effort tasks that were preempted to be started again

	windows           []Tally   // value by window of one simulation; a job that is not long-running counts in the window of its submission
	worstWindowShares []float64 // value share of the worst windows of each simulation
}

// Tally counts the jobs of a kind and their value.
type Tally struct {
	PossibleValue, EarnedValue float64         // value if every job were on time; value that was earned
	Jobs, OnTime, Late         int             // jobs that aren't long-running; those on time; those late with a value
	TurnaroundTimes            []time.Duration // from submission to completion, of the completed jobs
	MaxStall                   time.Duration   // longest time for which an unfinished job had no running task
	MaxStallAtEnd              time.Duration   // the same within finalPeriod
}

// Add adds the result of another simulation.
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

// tallyOf returns the tally of a kind of jobs and creates it if needed.
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

// addCompleted counts a job that was completed with the given turnaround time.
func (r *Result) addCompleted(j *trace.Job, took time.Duration) {
	t := r.tallyOf(j.Kind.Name)
	t.Jobs++
	t.TurnaroundTimes = append(t.TurnaroundTimes, took)
	earned := 0.0
	switch deadline := j.RelativeDeadline(); {
	case took <= deadline:
		t.OnTime++
		earned = j.Kind.OnTimeValue * j.ValueFactor
	case took <= maxLateFactor*deadline:
		t.Late++
		earned = j.Kind.LateValue * j.ValueFactor
	}
	r.addValue(t, j.SubmittedAt, j.Kind.OnTimeValue*j.ValueFactor, earned)
}

// addUnfinished counts a job that wasn't completed by the end of the simulation.
func (r *Result) addUnfinished(j *trace.Job) {
	t := r.tallyOf(j.Kind.Name)
	t.Jobs++
	r.addValue(t, j.SubmittedAt, j.Kind.OnTimeValue*j.ValueFactor, 0)
}

// ValueShare returns the earned value of all kinds as a share of the possible value.
func (r *Result) ValueShare() float64 {
	possible, earned := 0.0, 0.0
	for _, t := range r.Kinds {
		possible += t.PossibleValue
		earned += t.EarnedValue
	}
	return earned / max(possible, 1e-9)
}

// simulation is the state of one scenario under one policy and seed.
type simulation struct {
	world          *world.World
	policy         Policy
	upcoming       []*trace.Job         // jobs not submitted yet, in the order of submission
	unfinished     []*trace.Job         // submitted jobs that the policy hasn't shown as completed
	polls          []poll               // the poll in progress at each worker, in the order of world.Workers
	ordersInFlight []sched.Order        // orders of the last plan, not executed yet
	planRequested  bool                 // whether an event since the last plan asks for a new one
	result         *Result              // what was counted so far
	lastRan        map[string]time.Time // when a task of a job last ran, or else when the job was submitted, by job id
}

// poll is a poll in progress at a worker.
type poll struct {
	sentAt, answerAt          time.Time // when it was sent; when the worker answers
	ackedSeq, workerStartedAt int64     // last acknowledged end; incarnation that was polled
}

// simulate runs a scenario's jobs under a policy until drainTime after the scenario's end.
func simulate(scenario *trace.Scenario, jobs []*trace.Job, faults []trace.Fault, start time.Time, seed uint64, newPolicy func(time.Time) Policy) *Result {
	s := &simulation{world: world.New(scenario, start, jobs, faults, seed), policy: newPolicy(start), upcoming: jobs, result: &Result{}, lastRan: map[string]time.Time{}}
	s.policy.UpdateWorkers(start, s.world.Members())
	s.polls = make([]poll, len(s.world.Workers))
	for i := range s.polls {
		s.polls[i] = poll{sentAt: start, answerAt: start, workerStartedAt: s.world.Workers[i].Member.StartedAt}
	}
	end := start.Add(scenario.Duration + drainTime)
	lastPlan := start
	for now := start; now.Before(end); now = now.Add(world.Tick) {
		if s.world.ApplyFaults(now) {
			s.policy.UpdateWorkers(now, s.world.Members())
			s.planRequested = true
		}
		s.submitJobs(now, start)
		s.executeOrders(now)
		if s.planRequested || now.Sub(lastPlan) >= planInterval {
			lastPlan, s.planRequested = now, false
			s.ordersInFlight = s.policy.Plan(now)
		}
		for _, k := range s.world.Advance(now) {
			s.hastenPollAnswer(now, k)
		}
		s.answerPolls(now)
		s.recordCompleted(now, start)
		if now.Sub(start)%planInterval == 0 {
			s.recordStalls(now, end)
		}
		if now.Sub(start) > warmup && now.Sub(start) < scenario.Duration {
			s.addLongRunningValue(now, start)
		}
	}
	s.recordUnfinished()
	s.result.worstWindowShares = []float64{s.result.worstWindowShare()}
	s.result.WastedCoreSeconds = s.world.WastedCoreSeconds
	return s.result
}

// submitJobs submits the jobs that are due.
func (s *simulation) submitJobs(now, start time.Time) {
	for len(s.upcoming) > 0 && !now.Before(start.Add(s.upcoming[0].SubmittedAt)) {
		j := s.upcoming[0]
		s.upcoming = s.upcoming[1:]
		s.policy.AddJob(now, j.Spec)
		s.unfinished = append(s.unfinished, j)
		s.lastRan[j.Spec.ID] = now
		s.planRequested = true
	}
}

// executeOrders executes the orders of the last plan and passes their outcomes to the policy.
func (s *simulation) executeOrders(now time.Time) {
	for _, o := range s.ordersInFlight {
		out := s.world.ExecuteOrder(now, o)
		s.policy.HandleOutcome(now, o, out)
		s.planRequested = s.planRequested || out != sched.OutcomeDone
		if o.Verb == sched.VerbStop {
			s.result.StopOrders++
		}
	}
	s.ordersInFlight = nil
}

// hastenPollAnswer makes a worker on which a run ended answer its poll after answerDelay.
func (s *simulation) hastenPollAnswer(now time.Time, k *world.Worker) {
	for i, w := range s.world.Workers {
		if w == k && s.polls[i].answerAt.After(now.Add(answerDelay)) {
			s.polls[i].answerAt = now.Add(answerDelay)
		}
	}
}

// answerPolls answers the polls that are due and sends the next ones. A poll of a lost worker fails.
func (s *simulation) answerPolls(now time.Time) {
	for i, k := range s.world.Workers {
		pending := &s.polls[i]
		if now.Before(pending.answerAt) {
			continue
		}
		if k.Lost() {
			s.policy.PollFailed(now, k.Member.Incarnation)
			*pending = poll{sentAt: now, answerAt: now.Add(planInterval)}
			continue
		}
		if k.Member.StartedAt != pending.workerStartedAt { // the poll was sent to the former incarnation
			*pending = poll{sentAt: now, workerStartedAt: k.Member.StartedAt}
		}
		s.policy.HandleReport(pending.sentAt, now, k.Member.ID, s.world.AnswerPoll(now, k, pending.ackedSeq))
		s.planRequested = true
		wait, acked := s.policy.NextPoll(now, k.Member.ID)
		*pending = poll{sentAt: now, answerAt: now.Add(max(wait, answerDelay)), ackedSeq: acked, workerStartedAt: pending.workerStartedAt}
	}
}

// recordCompleted counts the jobs that have completed and removes them from the unfinished ones.
func (s *simulation) recordCompleted(now, start time.Time) {
	unfinished := s.unfinished[:0]
	for _, j := range s.unfinished {
		if j.Kind.LongRunning || !s.policy.Completed(j.Spec.ID) {
			unfinished = append(unfinished, j)
			continue
		}
		s.result.addCompleted(j, now.Sub(start.Add(j.SubmittedAt)))
	}
	s.unfinished = unfinished
}

// recordUnfinished counts the jobs that didn't complete, except for the long-running ones.
func (s *simulation) recordUnfinished() {
	for _, j := range s.unfinished {
		if j.Kind.LongRunning {
			continue
		}
		s.result.addUnfinished(j)
	}
}

// addLongRunningValue counts one Tick of the value of the long-running jobs. A job earns the share of its tasks that
// are ready and within their target; violations caused by interference reduce it by interferencePenalty.
func (s *simulation) addLongRunningValue(now, start time.Time) {
	ready, overTarget, overByInterference := map[string]int{}, map[string]int{}, map[string]int{}
	for _, k := range s.world.Workers {
		for _, t := range k.Tasks {
			if !t.Step.LongRunning || !t.Ready(now) {
				continue
			}
			ready[t.ID.Job]++
			switch {
			case t.OverByInterference:
				overByInterference[t.ID.Job]++
			case t.OverTarget:
				overTarget[t.ID.Job]++
			}
		}
	}
	periods := world.Tick.Seconds() / longRunningValuePeriod.Seconds()
	for _, j := range s.unfinished {
		if !j.Kind.LongRunning {
			continue
		}
		t := s.result.tallyOf(j.Kind.Name)
		id, n := j.Spec.ID, float64(j.Spec.Steps[0].Count)
		earnedShare := (float64(ready[id]) - float64(overTarget[id]) - interferencePenalty*float64(overByInterference[id])) / n
		s.result.addValue(t, now.Sub(start), periods*j.Kind.OnTimeValue, periods*j.Kind.OnTimeValue*max(0, earnedShare))
	}
}

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
	// tailing is how long jobs are waited for after the last has come.
	tailing = 14 * time.Second
	// slot is the time for which a lasting job earns at once.
	slot = 2 * time.Second
	// blame is how many times a lasting task over its target counts when that is due to the
	// filling tasks beside it.
	blame = 4
	// latest is how many times its objective a job may take to earn as a late one.
	latest = 3
	// planEvery and answerIn are the time between plans without an event, and that between an
	// order or a poll and its answer.
	planEvery = 100 * time.Millisecond
	answerIn  = world.Tick
)

// Result is what a day's callers got.
type Result struct {
	Kinds map[string]*Tally
	Waste float64 // core-seconds worked in vain
	Moves int     // filling tasks that were stopped and begun anew

	windows []Tally   // of the day, by when jobs were handed in
	weak    []float64 // what the worst windows of each day earned
}

// Tally is what the callers of a kind got.
type Tally struct {
	Owed, Earned       float64
	Jobs, OnTime, Late int
	Waits              []time.Duration // from handing in to the end, of the jobs that ended
	Still              time.Duration   // longest that a job with waiting tasks had nothing running
	StillAtEnd         time.Duration   // the same in the last seconds of the day
}

// Add adds another day's result.
func (r *Result) Add(o *Result) {
	for name, t := range o.Kinds {
		s := r.tally(name)
		s.Owed += t.Owed
		s.Earned += t.Earned
		s.Jobs += t.Jobs
		s.OnTime += t.OnTime
		s.Late += t.Late
		s.Still = max(s.Still, t.Still)
		s.StillAtEnd = max(s.StillAtEnd, t.StillAtEnd)
		s.Waits = append(s.Waits, t.Waits...)
	}
	r.weak = append(r.weak, o.weak...)
	r.Waste += o.Waste
	r.Moves += o.Moves
}

func (r *Result) tally(name string) *Tally {
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

// ended counts a job that was completed within a time.
func (r *Result) ended(j *trace.Job, took time.Duration) {
	t := r.tally(j.Kind.Name)
	t.Jobs++
	t.Waits = append(t.Waits, took)
	earned := 0.0
	switch goal := j.Objective(); {
	case took <= goal:
		t.OnTime++
		earned = j.Kind.Worth * j.Worth
	case took <= latest*goal:
		t.Late++
		earned = j.Kind.Late * j.Worth
	}
	r.count(t, j.At, j.Kind.Worth*j.Worth, earned)
}

// missed counts a job that wasn't completed.
func (r *Result) missed(j *trace.Job) {
	t := r.tally(j.Kind.Name)
	t.Jobs++
	r.count(t, j.At, j.Kind.Worth*j.Worth, 0)
}

// Worth returns the share of what was owed that was earned.
func (r *Result) Worth() float64 {
	owed, earned := 0.0, 0.0
	for _, t := range r.Kinds {
		owed += t.Owed
		earned += t.Earned
	}
	return earned / max(owed, 1e-9)
}

// day is a day under way.
type day struct {
	world  *world.World
	policy Policy
	jobs   []*trace.Job
	open   []*trace.Job // handed in and not seen completed
	polls  []poll
	orders []sched.Order // on their way
	kick   bool
	res    *Result
	ran    map[string]time.Time // when a task of a job last ran, or it was handed in
}

// poll is a poll under way at a worker, in the workers' order.
type poll struct {
	sent, until time.Time
	acked, born int64
}

// play plays a day's jobs with a policy.
func play(d *trace.Day, jobs []*trace.Job, faults []trace.Fault, start time.Time, seed uint64, policy func(time.Time) Policy) *Result {
	p := &day{world: world.New(d, start, jobs, faults, seed), policy: policy(start), jobs: jobs, res: &Result{}, ran: map[string]time.Time{}}
	p.policy.Join(start, p.world.Members())
	p.polls = make([]poll, len(p.world.Workers))
	for i := range p.polls {
		p.polls[i] = poll{sent: start, until: start, born: p.world.Workers[i].Member.StartedAt}
	}
	end := start.Add(d.Length + tailing)
	planned := start
	for now := start; now.Before(end); now = now.Add(world.Tick) {
		if p.world.Strike(now) {
			p.policy.Join(now, p.world.Members())
			p.kick = true
		}
		p.handIn(now, start)
		p.arrive(now)
		if p.kick || now.Sub(planned) >= planEvery {
			planned, p.kick = now, false
			p.orders = p.policy.Plan(now)
		}
		for _, k := range p.world.Step(now) {
			p.pollSoon(now, k)
		}
		p.answers(now)
		p.finish(now, start)
		if now.Sub(start)%planEvery == 0 {
			p.stand(now, end)
		}
		if now.Sub(start) > warmup && now.Sub(start) < d.Length {
			p.earn(now, start)
		}
	}
	p.owe()
	p.res.weak = []float64{p.res.weakest()}
	p.res.Waste = p.world.Wasted
	return p.res
}

func (p *day) handIn(now, start time.Time) {
	for len(p.jobs) > 0 && !now.Before(start.Add(p.jobs[0].At)) {
		j := p.jobs[0]
		p.jobs = p.jobs[1:]
		p.policy.Admit(now, j.Job)
		p.open = append(p.open, j)
		p.ran[j.Job.ID] = now
		p.kick = true
	}
}

// arrive has the orders of the last plan carried out.
func (p *day) arrive(now time.Time) {
	for _, o := range p.orders {
		out := p.world.Do(now, o)
		p.policy.Answer(now, o, out)
		p.kick = p.kick || out != sched.OutcomeDone
		if o.Verb == sched.VerbStop {
			p.res.Moves++
		}
	}
	p.orders = nil
}

// pollSoon has the poll of a worker on which something ended answered.
func (p *day) pollSoon(now time.Time, k *world.Worker) {
	for i, w := range p.world.Workers {
		if w == k && p.polls[i].until.After(now.Add(answerIn)) {
			p.polls[i].until = now.Add(answerIn)
		}
	}
}

func (p *day) answers(now time.Time) {
	for i, k := range p.world.Workers {
		l := &p.polls[i]
		if now.Before(l.until) {
			continue
		}
		if k.Away() {
			p.policy.Missed(now, k.Member.Incarnation)
			*l = poll{sent: now, until: now.Add(planEvery)}
			continue
		}
		if k.Member.StartedAt != l.born { // the poll under way was one of the former life
			*l = poll{sent: now, born: k.Member.StartedAt}
		}
		p.policy.Hear(l.sent, now, k.Member.ID, p.world.Report(now, k, l.acked))
		p.kick = true
		wait, acked := p.policy.Poll(now, k.Member.ID)
		*l = poll{sent: now, until: now.Add(max(wait, answerIn)), acked: acked, born: l.born}
	}
}

// finish counts the jobs that have ended.
func (p *day) finish(now, start time.Time) {
	rest := p.open[:0]
	for _, j := range p.open {
		if j.Kind.Lasting || !p.policy.Completed(j.Job.ID) {
			rest = append(rest, j)
			continue
		}
		p.res.ended(j, now.Sub(start.Add(j.At)))
	}
	p.open = rest
}

// owe counts the jobs that haven't ended.
func (p *day) owe() {
	for _, j := range p.open {
		if j.Kind.Lasting {
			continue
		}
		p.res.missed(j)
	}
}

// earn counts a Tick of the lasting jobs.
func (p *day) earn(now, start time.Time) {
	working, over, blamed := map[string]int{}, map[string]int{}, map[string]int{}
	for _, k := range p.world.Workers {
		for _, t := range k.Tasks {
			if !t.Step.LongRunning || !t.Ready(now) {
				continue
			}
			working[t.ID.Job]++
			switch {
			case t.Blamed:
				blamed[t.ID.Job]++
			case t.Over:
				over[t.ID.Job]++
			}
		}
	}
	part := world.Tick.Seconds() / slot.Seconds()
	for _, j := range p.open {
		if !j.Kind.Lasting {
			continue
		}
		t := p.res.tally(j.Kind.Name)
		id, n := j.Job.ID, float64(j.Job.Steps[0].Count)
		got := (float64(working[id]) - float64(over[id]) - blame*float64(blamed[id])) / n
		p.res.count(t, now.Sub(start), part*j.Kind.Worth, part*j.Kind.Worth*max(0, got))
	}
}

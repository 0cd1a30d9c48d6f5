package trace

import (
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	FaultSlow  FaultKind = "slow"  // the tasks of a worker run slower by a factor
	FaultHang  FaultKind = "hang"  // the tasks of a worker make no progress
	FaultFail  FaultKind = "fail"  // all tasks that a worker starts fail
	FaultLeave FaultKind = "leave" // a worker is lost with its tasks; a new incarnation replaces it when the fault ends
	FaultBurst FaultKind = "burst" // the arrival rate of a kind of jobs is multiplied
)

// Fault is a fault that lasts for a part of a scenario.
type Fault struct {
	Kind     FaultKind
	Worker   int           // index of the worker; unused for a burst
	JobKind  int           // index of the kind of jobs of a burst; unused otherwise
	Start    time.Duration // since the start of the scenario
	Duration time.Duration // how long the fault lasts
	Factor   float64       // multiplies the duration of tasks or the arrival rate; unused by other kinds
}

// Active reports whether the fault is active at a time since the start of the scenario.
func (f *Fault) Active(at time.Duration) bool { return at >= f.Start && at < f.Start+f.Duration }

// faultRate says how often faults of a kind occur and how long they last.
type faultRate struct {
	kind                     FaultKind
	meanInterval             float64 // mean time between the starts of two faults, in seconds
	minDuration, maxDuration float64 // in seconds
	factor                   float64 // see Fault.Factor
}

// faultRates holds one entry for each kind of fault. Its order selects the random streams.
var faultRates = []faultRate{
	{FaultSlow, 4, 4, 12, 5},
	{FaultHang, 6, 2, 6, 0},
	{FaultFail, 6, 3, 10, 0},
	{FaultLeave, 8, 3, 10, 0},
	{FaultBurst, 10, 3, 6, 3},
}

// FaultKinds returns all kinds of faults.
func FaultKinds() []FaultKind {
	var all []FaultKind
	for _, r := range faultRates {
		all = append(all, r.kind)
	}
	return all
}

// GenerateFaults returns the scenario's faults of the given kinds. The same seed gives the same faults,
// and the faults of a kind don't depend on which other kinds are requested.
func (s *Scenario) GenerateFaults(kinds []FaultKind, seed uint64) []Fault {
	var all []Fault
	for i, r := range faultRates {
		if !slices.Contains(kinds, r.kind) {
			continue
		}
		rng := rand.New(rand.NewPCG(seed, uint64(faultStreamBase+i)))
		for at := rng.ExpFloat64() * r.meanInterval; at < s.Duration.Seconds(); at += rng.ExpFloat64() * r.meanInterval {
			all = append(all, Fault{
				Kind: r.kind, Worker: rng.IntN(s.WorkerCount), JobKind: s.randomFiniteKind(rng), Factor: r.factor,
				Start: toDuration(at), Duration: toDuration(r.minDuration + (r.maxDuration-r.minDuration)*rng.Float64()),
			})
		}
	}
	return all
}

// randomFiniteKind returns the index of a random kind of jobs that aren't long-running.
func (s *Scenario) randomFiniteKind(rng *rand.Rand) int {
	for {
		if i := rng.IntN(len(s.JobKinds)); !s.JobKinds[i].LongRunning {
			return i
		}
	}
}

// generateBurstJobs returns the jobs that bursts of a kind add, numbered from n on.
func (s *Scenario) generateBurstJobs(kind int, faults []Fault, start time.Time, load float64, seed uint64, n int) []*Job {
	rng := rand.New(rand.NewPCG(seed, uint64(burstStreamBase+kind)))
	k := &s.JobKinds[kind]
	var all []*Job
	for _, f := range faults {
		if f.Kind != FaultBurst || f.JobKind != kind {
			continue
		}
		rate := k.ArrivalRate * load * (f.Factor - 1)
		for at := f.Start + toDuration(rng.ExpFloat64()/rate); f.Active(at) && at < s.Duration; at += toDuration(rng.ExpFloat64() / rate) {
			all = append(all, k.generateJob(rng, start, at, n))
			n++
		}
	}
	return all
}

// toDuration converts seconds to a duration.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Streams of random numbers of a seed. Each kind of fault has its own stream, and so has each kind
// of jobs for its bursts, so that none changes the numbers that others draw.
const (
	faultStreamBase = 100 // stream of the first kind of fault
	burstStreamBase = 200 // stream of the first kind of jobs
)

package trace

import (
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault of a day.
type FaultKind string

// The kinds of faults.
const (
	FaultSlow  FaultKind = "slow"  // a worker works slower by a factor
	FaultHang  FaultKind = "hang"  // the tasks of a worker stand still
	FaultFail  FaultKind = "fail"  // a worker fails all that it starts
	FaultLeave FaultKind = "leave" // a worker is lost with its tasks, and a new one takes its place
	FaultBurst FaultKind = "burst" // arrivals of a kind of job multiply
)

// Fault is a fault of a day.
type Fault struct {
	Kind     FaultKind
	Worker   int // index; of no meaning for a burst
	JobKind  int // index of the kind of job of a burst
	Start    time.Duration
	Duration time.Duration
	Factor   float64 // of slowness or of arrivals
}

// Active reports whether the fault is in force at a time of the day.
func (f *Fault) Active(at time.Duration) bool { return at >= f.Start && at < f.Start+f.Duration }

// faultRate says how often faults of a kind come and how long they stay.
type faultRate struct {
	kind                     FaultKind
	meanInterval             float64 // mean seconds between two
	minDuration, maxDuration float64 // seconds
	factor                   float64
}

var faultRates = []faultRate{
	{FaultSlow, 4, 4, 12, 5},
	{FaultHang, 6, 2, 6, 0},
	{FaultFail, 6, 3, 10, 0},
	{FaultLeave, 8, 3, 10, 0},
	{FaultBurst, 10, 3, 6, 3},
}

// FaultKinds returns the kinds of faults.
func FaultKinds() []FaultKind {
	var all []FaultKind
	for _, r := range faultRates {
		all = append(all, r.kind)
	}
	return all
}

// GenerateFaults returns the faults of the given kinds, the same for the same seed. Those of a kind don't depend on the others.
func (d *Scenario) GenerateFaults(kinds []FaultKind, seed uint64) []Fault {
	var all []Fault
	for i, r := range faultRates {
		if !slices.Contains(kinds, r.kind) {
			continue
		}
		rng := rand.New(rand.NewPCG(seed, uint64(faultStreamBase+i)))
		for at := rng.ExpFloat64() * r.meanInterval; at < d.Duration.Seconds(); at += rng.ExpFloat64() * r.meanInterval {
			all = append(all, Fault{
				Kind: r.kind, Worker: rng.IntN(d.WorkerCount), JobKind: d.randomFiniteKind(rng), Factor: r.factor,
				Start: toDuration(at), Duration: toDuration(r.minDuration + (r.maxDuration-r.minDuration)*rng.Float64()),
			})
		}
	}
	return all
}

// randomFiniteKind returns the index of a kind of job whose jobs end.
func (d *Scenario) randomFiniteKind(rng *rand.Rand) int {
	for {
		if i := rng.IntN(len(d.JobKinds)); !d.JobKinds[i].LongRunning {
			return i
		}
	}
}

// generateBurstJobs returns the jobs that generateBurstJobs of a kind add, numbered from n on.
func (d *Scenario) generateBurstJobs(kind int, faults []Fault, start time.Time, load float64, seed uint64, n int) []*Job {
	rng := rand.New(rand.NewPCG(seed, uint64(burstStreamBase+kind)))
	k := &d.JobKinds[kind]
	var all []*Job
	for _, f := range faults {
		if f.Kind != FaultBurst || f.JobKind != kind {
			continue
		}
		rate := k.ArrivalRate * load * (f.Factor - 1)
		for at := f.Start + toDuration(rng.ExpFloat64()/rate); f.Active(at) && at < d.Duration; at += toDuration(rng.ExpFloat64() / rate) {
			all = append(all, k.generateJob(rng, start, at, n))
			n++
		}
	}
	return all
}

func toDuration(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// Streams of random numbers of a day's seed: the first for faults, and the first for the jobs of bursts.
const (
	faultStreamBase = 100
	burstStreamBase = 200
)

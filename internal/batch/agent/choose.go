package agent

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// agentGain is how many times as many workers an agent can call as a holder with the same limits can handle. It counts
	// for agents whose limits aren't known.
	agentGain = 2.5
	// shrinkMargin is by how much the load must have become less before there are fewer agents.
	shrinkMargin = 1.1
	// startsMargin is the same for the starts, whose rate changes within seconds.
	startsMargin = 1.5
	// maxBatchesPerSecond bounds the batches that the holder sends, and those that it receives, as long as maxBatchPause
	// isn't reached.
	maxBatchesPerSecond = 200
	// maxBatchPause bounds the delay of an answer, which counts as late after a few of these pauses.
	maxBatchPause = 25 * time.Millisecond
)

// What the calls cost the process that makes them.
const (
	coresPerWorker = 0.0002 // cores, for the polls of a worker without starts
	coresPerStart  = 0.0003 // seconds of a core, for a start and the poll that reports its end
	mbitPerWorker  = 0.005  // Mbit/s in each direction
	mbitPerStart   = 0.016  // Mbit in each direction, without the job's specification
	connsPerWorker = 3      // connections
	// plannedUse is the share of its limits that an agent is planned to use. The rest is for bursts, its own callers and
	// the calls of another agent that is lost.
	plannedUse = 0.4
	// maxDirectUse is the share of its limits that the holder's own calls may take before it uses agents.
	maxDirectUse = 0.6
)

// Limits are what an entry process may use for calls to workers. A value of 0 isn't known.
type Limits struct {
	Cores    float64 // processor time, in cores
	LinkMbps float64 // bandwidth of the network link in each direction, in Mbit/s
	Conns    int     // connections to workers
}

// Candidate is an entry process that may become an agent.
type Candidate struct {
	Addr   string // of its peer interface
	Limits Limits
}

// Demand is the load of the calls to workers.
type Demand struct {
	Workers   int     // workers to be polled
	Capacity  int     // workers that a holder with this process's limits can call by itself; 0: not known
	Own       Limits  // of this process
	Starts    float64 // starts a second
	SpecBytes float64 // mean size of the job's specification in a start, in bytes
}

// scaled returns the demand with more workers and starts by the given factors.
func (d Demand) scaled(workers, starts float64) Demand {
	d.Workers = int(math.Ceil(float64(d.Workers) * workers))
	d.Starts *= starts
	return d
}

// AgentsNeeded reports whether the holder lacks the capacity for the calls, as far as that is known.
func (d Demand) AgentsNeeded() bool {
	return d.Capacity > 0 && (d.Workers > d.Capacity || d.use(d.Own) > maxDirectUse)
}

// share returns which share of the demand an agent with the given limits is planned to carry, above 1 if it can carry more
// than all.
func (d Demand) share(l Limits) float64 {
	if l == (Limits{}) {
		return agentGain * float64(d.Capacity) / float64(d.Workers)
	}
	return plannedUse / d.use(l)
}

// use returns which share of the limits the demand takes, or 0 if none of them is known.
func (d Demand) use(l Limits) float64 {
	workers := float64(d.Workers)
	mbitPerSpec := d.SpecBytes * 8 / 1e6
	use := 0.0
	for _, res := range []struct{ limit, needed float64 }{
		{l.Cores, workers*coresPerWorker + d.Starts*coresPerStart},
		{l.LinkMbps, workers*mbitPerWorker + d.Starts*(mbitPerStart+mbitPerSpec)},
		{float64(l.Conns) / plannedUse, workers * connsPerWorker}, // without a reserve: idle ones are closed for others
	} {
		if res.limit > 0 {
			use = max(use, res.needed/res.limit)
		}
	}
	return use
}

// agentCount returns how many of the candidates, which are sorted by rank, are needed as agents. present is the number of
// agents that there are.
func agentCount(present int, candidates []Candidate, d Demand) int {
	n := countFor(candidates, d)
	if n >= present {
		return n
	}
	return min(present, countFor(candidates, d.scaled(shrinkMargin, startsMargin)))
}

// countFor returns how many of the candidates carry the demand together, or more than there are if all don't.
func countFor(candidates []Candidate, d Demand) int {
	if !d.AgentsNeeded() {
		return 0
	}
	left, last := 1.0, Limits{}
	for i, c := range candidates {
		if left -= d.share(c.Limits); left <= 1e-9 {
			return i + 1
		}
		last = c.Limits
	}
	return len(candidates) + int(math.Ceil(left/d.share(last)-1e-9))
}

// batchPause returns the pause between two batches in one direction of one of n agents.
func batchPause(n int) time.Duration {
	return min(time.Duration(n)*time.Second/maxBatchesPerSecond, maxBatchPause)
}

// sortByRank sorts candidates by rank, the highest first: those with higher limits come before others, so that there are
// few agents, and large batches. Every holder ranks alike, as the agents of the former one have open connections to the
// workers.
func sortByRank(candidates []Candidate) {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Limits.weight(), a.Limits.weight()), cmp.Compare(hash(b.Addr), hash(a.Addr)), cmp.Compare(a.Addr, b.Addr))
	})
}

// weight returns the capacity for starts that the limits allow, in an arbitrary unit, or 0 if no limit is known. It doesn't
// depend on the demand, so that workers stay with their agents as that changes.
func (l Limits) weight() float64 {
	w := math.Inf(1)
	if l.Cores > 0 {
		w = l.Cores / coresPerStart
	}
	if l.LinkMbps > 0 {
		w = min(w, l.LinkMbps/mbitPerStart)
	}
	if math.IsInf(w, 1) {
		return 0
	}
	return w
}

// preferred returns the session for a worker's calls by rendezvous hashing, weighted by the agents' limits, or nil if no
// agent takes calls.
func preferred(sessions []*clientSession, worker string) *clientSession {
	var best *clientSession
	bestScore := math.Inf(-1)
	for _, s := range sessions {
		if score := rendezvousScore(s.addr, worker, s.weight); (best == nil || score > bestScore) && s.currentState() == stateOpen {
			best, bestScore = s, score
		}
	}
	return best
}

// rendezvousScore returns the score of an agent for a worker. Of several agents, each has the highest score for a share of
// the workers that is proportional to its weight; a weight of 0 counts as 1.
func rendezvousScore(addr, worker string, weight float64) float64 {
	if weight == 0 {
		weight = 1
	}
	const mantissa = 53 // bits of a float64
	uniform := (float64(hash(addr, worker)>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -weight / math.Log(uniform)
}

// hash returns a hash of the parts that is the same in every process.
func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64() // its high bits hardly depend on the last bytes
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

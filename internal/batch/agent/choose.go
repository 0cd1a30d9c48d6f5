package agent

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// agentGain is how many times as many workers an agent can call as a holder with the same limits can handle.
	agentGain = 2.5
	// shrinkMargin is by how much the workers must have become fewer before there are fewer agents.
	shrinkMargin = 1.1
	// maxBatchesPerSecond bounds the batches that the holder sends, and those that it receives, as long as maxBatchPause
	// isn't reached.
	maxBatchesPerSecond = 200
	// maxBatchPause bounds the delay of an answer, which counts as late after a few of these pauses.
	maxBatchPause = 25 * time.Millisecond
)

// agentCount returns how many agents a holder needs for the given number of workers, or 0 if its capacity suffices or
// isn't known. present is the number that it has.
func agentCount(present, workers, capacity int) int {
	needed := func(workers float64) int {
		if capacity <= 0 || workers <= float64(capacity) {
			return 0
		}
		perAgent := agentGain * float64(capacity)
		return int((workers + perAgent - 1) / perAgent)
	}
	n := needed(float64(workers))
	if n >= present {
		return n
	}
	return min(present, needed(shrinkMargin*float64(workers)))
}

// batchPause returns the pause between two batches in one direction of one of n agents.
func batchPause(n int) time.Duration {
	return min(time.Duration(n)*time.Second/maxBatchesPerSecond, maxBatchPause)
}

// topRanked returns the n addresses of the highest rank. Every holder chooses the same, as these have open connections
// to the workers.
func topRanked(addrs map[string]bool, n int) map[string]bool {
	var sorted []string
	for addr := range addrs {
		sorted = append(sorted, addr)
	}
	slices.SortFunc(sorted, compareRank)
	top := map[string]bool{}
	for _, addr := range sorted[:min(n, len(sorted))] {
		top[addr] = true
	}
	return top
}

// compareRank compares two addresses by their rank, the highest first.
func compareRank(a, b string) int {
	return cmp.Or(cmp.Compare(hash(b), hash(a)), cmp.Compare(a, b))
}

// sortByRank sorts sessions by the rank of their agents.
func sortByRank(sessions []*clientSession) {
	slices.SortFunc(sessions, func(a, b *clientSession) int { return compareRank(a.addr, b.addr) })
}

// preferred returns the session for a worker's calls by rendezvous hashing, or nil if no agent takes calls.
func preferred(sessions []*clientSession, worker string) *clientSession {
	var best *clientSession
	var bestHash uint64
	for _, s := range sessions {
		if h := hash(s.addr, worker); (best == nil || h > bestHash) && s.currentState() == stateOpen {
			best, bestHash = s, h
		}
	}
	return best
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

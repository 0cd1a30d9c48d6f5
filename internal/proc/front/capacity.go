package front

import (
	"math"

	"bramleysail.example/bramleysail/internal/base/conf"
)

// What a holder needs for each worker.
const (
	coresPerWorker  = 0.0012 // of a core
	memoryPerWorker = 0.25   // MiB
	filesPerWorker  = 5      // descriptors: connections for polls and orders
	linkPerWorker   = 0.02   // Mbit/s, of a takeover, when all workers are asked at once
)

// What any process needs besides.
const (
	baseMemory = 20  // MiB
	baseFiles  = 200 // descriptors that the platform keeps for files
)

// reservedFilesShare is the share of a process's descriptors that is kept for callers, peers and the store.
const reservedFilesShare = 0.15

// MaxWorkerConns returns how many connections to workers a process may have open; 0: not known.
func MaxWorkerConns(l conf.HostLimit) int {
	if l.MaxFiles <= 0 {
		return 0
	}
	return max(1, int((1-reservedFilesShare)*l.MaxFiles-baseFiles))
}

// workerCapacity returns how many workers a process can hold within its limits, on a machine that is so many times
// slower than it can be; 0: not known.
func workerCapacity(l conf.HostLimit, slower float64) int {
	least := math.Inf(1)
	for _, need := range []struct{ has, base, each float64 }{
		{l.CPUShare * l.CoreSpeed / slower, 0, coresPerWorker},
		{l.MemoryMiB, baseMemory, memoryPerWorker},
		{l.MaxFiles, baseFiles, filesPerWorker},
		{l.LinkMbps, 0, linkPerWorker},
	} {
		if need.has > 0 {
			least = min(least, (need.has-need.base)/need.each)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return max(int(least), 1) // one that can carry nothing isn't one of which nothing is known
}

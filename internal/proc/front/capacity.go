package front

import (
	"math"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/batch/agent"
)

// Resources that the holder needs for each worker.
const (
	coresPerWorker  = 0.0012 // cores
	memoryPerWorker = 0.25   // MiB
	filesPerWorker  = 5      // file descriptors: connections for polls and orders
	linkPerWorker   = 0.02   // Mbit/s during a takeover, when all workers are polled at once
)

// Resources that a process needs in addition, whether it is the holder or not.
const (
	baseMemory = 20  // MiB
	baseFiles  = 200 // file descriptors that the platform reserves for files
)

// connShare is the share of a process's memory that callers' connections may take, with memoryPerConn bytes for each: buffers and
// goroutines of net/http, and the header of a request.
const (
	connShare     = 0.125
	memoryPerConn = 32 << 10
)

const (
	// peerFiles is the number of file descriptors for connections to peers and the store, and of probes.
	peerFiles = 100
	// maxProbeConns bounds the connections for readiness checks, and those for metrics.
	maxProbeConns = 16
)

// maxCallerConns returns how many connections of callers a process may have open: what its memory allows, and its descriptors
// beside those for as many workers as it can handle, but at least half of those that aren't for workers.
func maxCallerConns(l conf.HostLimit) int {
	if l.MaxCallers > 0 {
		return max(1, int(l.MaxCallers))
	}
	conns := connShare * processMemory(l) / memoryPerConn
	if l.MaxFiles > 0 {
		free := l.MaxFiles - baseFiles - peerFiles - filesPerWorker*float64(workerCapacity(l, 1))
		conns = min(conns, max(free, reservedFilesShare*l.MaxFiles/2))
	}
	return max(1, int(conns))
}

// reservedFilesShare is the share of a process's file descriptors that is reserved for callers, peers and the store.
const reservedFilesShare = 0.15

// MaxWorkerConns returns how many connections to workers a process may have open, or 0 if its limit isn't known.
func MaxWorkerConns(l conf.HostLimit) int {
	if l.MaxFiles <= 0 {
		return 0
	}
	return max(1, int((1-reservedFilesShare)*l.MaxFiles-baseFiles))
}

// agentLimits returns what a process within the limits may use for calls to workers.
func agentLimits(l conf.HostLimit) agent.Limits {
	return agent.Limits{Cores: l.CPUShare * l.CoreSpeed, LinkMbps: l.LinkMbps, Conns: MaxWorkerConns(l)}
}

// workerCapacity returns how many workers a process can handle as the holder within its limits, or 0 if no limit is
// known. slowdown is how many times slower the machine is than at its full speed.
func workerCapacity(l conf.HostLimit, slowdown float64) int {
	capacity := math.Inf(1)
	for _, res := range []struct{ limit, base, perWorker float64 }{
		{l.CPUShare * l.CoreSpeed / slowdown, 0, coresPerWorker},
		{l.MemoryMiB, baseMemory, memoryPerWorker},
		{l.MaxFiles, baseFiles, filesPerWorker},
		{l.LinkMbps, 0, linkPerWorker},
	} {
		if res.limit > 0 {
			capacity = min(capacity, (res.limit-res.base)/res.perWorker)
		}
	}
	if math.IsInf(capacity, 1) {
		return 0
	}
	return max(int(capacity), 1) // at least 1, as 0 means that the capacity isn't known
}

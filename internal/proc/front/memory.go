package front

import (
	"runtime/metrics"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/base/intake"
	"bramleysail.example/bramleysail/internal/batch/drive"
)

// softLimitShare is the share of a process's memory at which the Go runtime collects garbage without waiting for the
// heap to double. The rest is for what the runtime doesn't count and for what is allocated during a collection.
const softLimitShare = 0.85

// uncountedMemory is the memory in bytes that the Go runtime doesn't count, such as that of the program's code. It is more than the
// rest beside softLimitShare on machines of little memory.
const uncountedMemory = 14 << 20

// MemoryLimit returns the memory in bytes at which a process is ended, or 0 if that isn't known.
func MemoryLimit(l conf.HostLimit) uint64 {
	return uint64(l.MemoryMiB * (1 << 20))
}

// SoftMemoryLimit returns the soft memory limit of the Go runtime in bytes, for debug.SetMemoryLimit, or 0 if the
// process's limit isn't known.
func SoftMemoryLimit(l conf.HostLimit) int64 {
	limit := float64(MemoryLimit(l))
	return int64(max(limit/2, min(softLimitShare*limit, limit-uncountedMemory)))
}

const (
	// requestShare is the share of a process's memory that callers' requests in flight may take.
	requestShare = 0.125
	// defaultMemory is the memory of a process in bytes that shares are of if its limit isn't known.
	defaultMemory = 256 << 20
)

// requestMemory returns the memory in bytes for callers' requests in flight.
func requestMemory(l conf.HostLimit) int64 {
	if l.BodiesMiB > 0 {
		return int64(l.BodiesMiB * (1 << 20))
	}
	return max(int64(requestShare*processMemory(l)), intake.MinBudget(drive.MaxRequestBody))
}

// processMemory returns the memory in bytes at which a process is ended, or defaultMemory if that isn't known.
func processMemory(l conf.HostLimit) float64 {
	if l.MemoryMiB > 0 {
		return float64(MemoryLimit(l))
	}
	return defaultMemory
}

// Metrics of the Go runtime, in the order of ReadMemory's samples.
const (
	metricTotal    = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
	metricObjects  = "/memory/classes/heap/objects:bytes" // live objects and garbage
	metricFree     = "/memory/classes/heap/free:bytes"
	metricUnused   = "/memory/classes/heap/unused:bytes"
	metricLive     = "/gc/heap/live:bytes" // at the last garbage collection
	metricCycles   = "/gc/cycles/total:gc-cycles"
)

// ReadMemory returns the memory that this process uses.
func ReadMemory() drive.MemoryUsage {
	samples := []metrics.Sample{{Name: metricTotal}, {Name: metricReleased}, {Name: metricObjects}, {Name: metricFree}, {Name: metricUnused}, {Name: metricLive}, {Name: metricCycles}}
	metrics.Read(samples)
	total := samples[0].Value.Uint64() - samples[1].Value.Uint64()
	heap := samples[2].Value.Uint64() + samples[3].Value.Uint64() + samples[4].Value.Uint64()
	return drive.MemoryUsage{Live: samples[5].Value.Uint64() + total - heap, Total: total, Collections: samples[6].Value.Uint64()}
}

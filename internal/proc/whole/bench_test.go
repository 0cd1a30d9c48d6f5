package whole

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramleysail.example/bramleysail/internal/plat/hosts"
)

const (
	benchTargets     = 50
	benchSlots       = 8                      // of each target
	benchRequestTime = 200 * time.Millisecond // how long a target runs a request
	benchDuration    = 12 * time.Second       // length of a measurement
)

// BenchmarkPath measures the latency of requests through 9 entry processes to 50 targets of 8
// slots. It compares it with the ideal, a caller with a single queue for all slots that sends
// directly to the targets. Both sides of a ratio are measured in the same run.
func BenchmarkPath(b *testing.B) {
	for _, tc := range []struct {
		name string
		load float64
		slow bool
		kill bool
	}{
		{"50", 0.50, false, false},
		{"80", 0.80, false, false},
		{"95", 0.95, false, false},
		{"50-slow", 0.50, true, false},
		{"80-kill", 0.80, false, true},
	} {
		b.Run(tc.name, func(b *testing.B) {
			for range b.N {
				s := benchSystem(b)
				rate := tc.load * benchTargets * benchSlots / benchRequestTime.Seconds()
				// One target in ten becomes five times slower after a quarter of each measurement.
				slowDown := func(requestTime time.Duration) {
					if tc.slow {
						for i := 0; i < benchTargets; i += 10 {
							s.setTargetFault(s.targetAddrs[i], "", requestTime)
						}
					}
				}
				time.AfterFunc(benchDuration/4, func() { slowDown(5 * benchRequestTime) })
				ideal := measureIdeal(s, rate)
				slowDown(benchRequestTime)
				time.AfterFunc(benchDuration/4, func() { slowDown(5 * benchRequestTime) })
				cpuBefore := s.cpuTime()
				allocBefore := s.allocatedBytes()
				if tc.kill {
					time.AfterFunc(benchDuration/2, func() { _ = s.entries[4].cmd.Process.Kill() })
				}
				latencies, n, failed := measureEntries(s, rate, tc.kill)
				for _, percent := range []float64{50, 99, 99.9} {
					v := float64(latencies.ValueAtPercentile(percent))
					b.ReportMetric(v/1e6, fmt.Sprintf("p%v-ms", percent))
					b.ReportMetric(v/float64(ideal.ValueAtPercentile(percent)), fmt.Sprintf("p%v/ideal", percent))
				}
				b.ReportMetric(float64(failed), "failed")
				b.ReportMetric(float64(s.targetCounts().Over), "over")
				if !tc.kill {
					b.ReportMetric((s.cpuTime()-cpuBefore).Seconds()*1e6/float64(n), "cpu-us/req")
					b.ReportMetric((s.allocatedBytes()-allocBefore)/float64(n), "B-alloc/req")
				}
				for _, p := range s.processes {
					p.kill()
				}
			}
		})
	}
}

// benchSystem returns a system of 9 entry processes and the targets, ready for requests.
func benchSystem(b *testing.B) *system {
	s := &system{t: b, dir: b.TempDir()}
	s.startStoreAndHostList()
	s.addTargets(benchTargets, benchSlots, benchRequestTime)
	for range 9 {
		s.addEntry()
	}
	s.putSheet()
	s.awaitOwnership()
	return s
}

// cpuTime returns the processor time that the entry processes have used. It assumes 100 clock ticks a
// second, and leaves out processes that have ended.
func (s *system) cpuTime() time.Duration {
	var sum time.Duration
	for _, e := range s.entries {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.cmd.Process.Pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
		userTicks, _ := strconv.Atoi(fields[11])
		systemTicks, _ := strconv.Atoi(fields[12])
		sum += time.Duration(userTicks+systemTicks) * (time.Second / 100)
	}
	return sum
}

// allocatedBytes returns the bytes that the entry processes have allocated on the heap in all.
func (s *system) allocatedBytes() float64 {
	sum := 0.0
	for _, e := range s.entries {
		resp, err := http.Get("http://" + e.adminAddr + "/metrics")
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if value, ok := strings.CutPrefix(lines.Text(), "go_memstats_alloc_bytes_total "); ok {
				n, _ := strconv.ParseFloat(value, 64)
				sum += n
			}
		}
		_ = resp.Body.Close()
	}
	return sum
}

// runOpenLoop calls send at Poisson arrivals of the given rate for benchDuration, and waits for all
// calls.
func runOpenLoop(rate float64, send func(n int)) {
	rng := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	next := time.Now()
	end := next.Add(benchDuration)
	for n := 0; next.Before(end); n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		<-time.After(time.Until(next))
		wg.Go(func() { send(n) })
	}
	wg.Wait()
}

// measureIdeal returns the latencies of a caller with a single queue for all slots of the targets.
func measureIdeal(s *system, rate float64) *hdrhistogram.Histogram {
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	freeSlots := make(chan string, benchTargets*benchSlots)
	for range benchSlots {
		for _, targetAddr := range s.targetAddrs {
			freeSlots <- targetAddr
		}
	}
	var mu sync.Mutex
	runOpenLoop(rate, func(int) {
		arrivedAt := time.Now()
		targetAddr := <-freeSlots
		req, _ := http.NewRequest(http.MethodGet, "http://"+targetAddr+"/ideal", nil)
		req.Header.Set("X-Request-Id", "ideal")
		a := doRequest(req)
		freeSlots <- targetAddr
		mu.Lock()
		defer mu.Unlock()
		if a.status == http.StatusOK {
			_ = latencies.RecordValue(int64(time.Since(arrivedAt)))
		}
	})
	return latencies
}

// measureEntries returns the latencies through the entry processes, the number n of requests, and the
// number of those that were not answered with status 200.
func measureEntries(s *system, rate float64, kill bool) (latencies *hdrhistogram.Histogram, n, failed int) {
	latencies = hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	runOpenLoop(rate, func(i int) {
		arrivedAt := time.Now()
		e := s.entries[i%len(s.entries)]
		select {
		case <-e.exited: // the balancer has taken it out
			e = s.entries[(i+1)%len(s.entries)]
		default:
		}
		req, _ := http.NewRequest(http.MethodGet, "http://"+e.callerAddr+"/registro/bottle", nil)
		a := doRequest(req)
		mu.Lock()
		defer mu.Unlock()
		n++
		if a.status != http.StatusOK {
			failed++
			return
		}
		_ = latencies.RecordValue(int64(time.Since(arrivedAt)))
	})
	return latencies, n, failed
}

// BenchmarkIdle measures the store calls and the processor time per second of 9 idle entry processes,
// and then the store calls of a job of 6,000 tasks.
func BenchmarkIdle(b *testing.B) {
	for range b.N {
		// The cost depends on leases and intervals, so those of the example settings are used.
		s := &system{t: b, dir: b.TempDir(), exampleTimings: true}
		s.startStoreAndHostList()
		s.addTargets(10, benchSlots, time.Millisecond)
		s.addWorkers(24, 3)
		for range 9 {
			s.addEntry()
		}
		s.putSheet()
		s.awaitOwnership()
		reads, writes := s.storeCalls()
		cpuBefore, startedAt := s.cpuTime(), time.Now()
		<-time.After(benchDuration)
		seconds := time.Since(startedAt).Seconds()
		readsNow, writesNow := s.storeCalls()
		b.ReportMetric(float64(readsNow-reads)/seconds, "idle-reads/s")
		b.ReportMetric(float64(writesNow-writes)/seconds, "idle-writes/s")
		b.ReportMetric(100*(s.cpuTime()-cpuBefore).Seconds()/seconds/9, "idle-cpu-%/process")
		const tasks = 6000
		reads, writes = readsNow, writesNow
		startedAt = time.Now()
		s.runCommand(0, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "audit", "--n", fmt.Sprint(tasks), "--cpu", "250", "--mem", "100", "--run", "500ms", "bench")
		eventually(b, "the job done", func() bool { return s.getJob(s.entries[0], "bench").State == "done" })
		seconds = time.Since(startedAt).Seconds()
		readsNow, writesNow = s.storeCalls()
		b.ReportMetric(float64(writesNow-writes)/tasks*1000, "writes/1000-tasks")
		b.ReportMetric(float64(readsNow-reads)/tasks*1000, "reads/1000-tasks")
		b.ReportMetric(tasks/seconds, "tasks/s")
		for _, p := range s.processes {
			p.kill()
		}
	}
}

// storeCalls returns the numbers of reads and writes that the store has counted.
func (s *system) storeCalls() (reads, writes int) {
	var calls struct{ Reads, Writes int }
	s.sendJSON(http.MethodGet, "http://"+s.storeAddr+"/calls", nil, &calls)
	return calls.Reads, calls.Writes
}

// BenchmarkOneCore measures how many requests per second one entry process answers on one core
// (GOMAXPROCS=1), and the processor time and allocations of a request.
func BenchmarkOneCore(b *testing.B) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			for range b.N {
				s := &system{t: b, dir: b.TempDir(), entryEnv: "GOMAXPROCS=1"}
				s.startStoreAndHostList()
				s.addTargets(10, benchSlots, time.Millisecond)
				s.addEntry()
				s.putSheet()
				s.awaitOwnership()
				cpuBefore, allocBefore, startedAt := s.cpuTime(), s.allocatedBytes(), time.Now()
				var answered atomic.Int64
				var wg sync.WaitGroup
				for range 64 {
					wg.Go(func() {
						for time.Since(startedAt) < benchDuration/2 {
							req, _ := http.NewRequest(method, "http://"+s.entries[0].callerAddr+"/registro/bottle", strings.NewReader("bottle"))
							if a := doRequest(req); a.status == http.StatusOK {
								answered.Add(1)
							}
						}
					})
				}
				wg.Wait()
				n := float64(answered.Load())
				b.ReportMetric(n/time.Since(startedAt).Seconds(), "req/s")
				b.ReportMetric((s.cpuTime()-cpuBefore).Seconds()*1e6/n, "cpu-us/req")
				b.ReportMetric((s.allocatedBytes()-allocBefore)/n, "B-alloc/req")
				for _, p := range s.processes {
					p.kill()
				}
			}
		})
	}
}

// BenchmarkTakeover measures the time from the failure of the entry process that owns a rack to the
// next start of a task on that rack, as a multiple of the lease.
func BenchmarkTakeover(b *testing.B) {
	const lease = 2 * time.Second
	for range b.N {
		s := &system{t: b, dir: b.TempDir()}
		s.startStoreAndHostList()
		s.addWorkers(6, 3)
		for range 3 {
			s.addEntry()
		}
		s.putSheet()
		s.runCommand(0, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "audit", "--n", "5000", "--cpu", "1000", "--mem", "100", "--run", "100ms", "bench")
		var owner *entryProcess
		eventually(b, "tasks started on rack0, its owner known", func() bool {
			for _, e := range s.entries[1:] {
				if slices.Contains(e.status().Racks, "rack0") && s.startsOnRack(0) > 20 {
					owner = e
				}
			}
			return owner != nil || slices.Contains(s.entries[0].status().Racks, "rack0") && s.startsOnRack(0) > 20
		})
		if owner == nil {
			owner = s.entries[0]
		}
		_ = owner.cmd.Process.Kill()
		<-owner.exited
		killedAt := time.Now()
		startsBefore := s.startsOnRack(0)
		eventually(b, "another task started on the rack", func() bool { return s.startsOnRack(0) > startsBefore })
		b.ReportMetric(time.Since(killedAt).Seconds()/lease.Seconds(), "leases")
		for _, p := range s.processes {
			p.kill()
		}
	}
}

// startsOnRack returns the number of placements started on the workers of a rack. It assumes 3 racks.
func (s *system) startsOnRack(rack int) int {
	n := 0
	for i, addr := range s.workerAddrs {
		if i%3 == rack {
			var stats workerStats
			s.sendJSON(http.MethodGet, "http://"+addr+"/stats", nil, &stats)
			n += len(stats.Starts)
		}
	}
	return n
}

// BenchmarkMemory measures the resident memory of an idle entry process, and its growth per recorded
// request key.
func BenchmarkMemory(b *testing.B) {
	const keys = 40000
	for range b.N {
		s := &system{t: b, dir: b.TempDir()}
		s.startStoreAndHostList()
		s.addTargets(10, benchSlots, 0)
		s.addEntry()
		s.putSheet()
		s.awaitOwnership()
		bytesBefore := s.entries[0].residentBytes()
		var next atomic.Int64
		var wg sync.WaitGroup
		for range 32 {
			wg.Go(func() {
				for n := next.Add(1); n <= keys; n = next.Add(1) {
					postCheckin(s.entries[0].callerAddr, fmt.Sprintf("case-%08d", n), "bottle")
				}
			})
		}
		wg.Wait()
		b.ReportMetric(bytesBefore/(1<<20), "idle-MiB")
		b.ReportMetric((s.entries[0].residentBytes()-bytesBefore)/keys, "B/key")
		for _, p := range s.processes {
			p.kill()
		}
	}
}

// residentBytes returns the resident memory of the process in bytes, or 0 if the process has ended.
func (e *entryProcess) residentBytes() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize())
}

// BenchmarkLeave measures, with the timings of the example settings, for how long a leaving target
// still gets new requests: once when the host list says so, and once when the target announces it
// in its answers.
func BenchmarkLeave(b *testing.B) {
	for range b.N {
		s := &system{t: b, dir: b.TempDir(), exampleTimings: true}
		s.startStoreAndHostList()
		s.addTargets(3, benchSlots, time.Millisecond)
		for range 3 {
			s.addEntry()
		}
		s.putSheet()
		s.awaitOwnership()
		l := startLoad(s, 6)
		for _, cause := range []struct {
			name   string
			target int
			leave  func(addr string)
		}{
			{"host-list", 0, func(addr string) {
				s.setHost(hosts.Host{Addr: addr, Kind: hosts.KindTarget, Zone: zones[0], Service: "registro", State: hosts.StateLeaving})
			}},
			{"own-word", 1, func(addr string) {
				s.sendJSON(http.MethodPost, "http://"+addr+"/fault", struct{ Leaving bool }{true}, nil)
			}},
		} {
			l.awaitAnswers(300)
			cause.leave(s.targetAddrs[cause.target])
			leftAt := time.Now()
			lastRequestAt, total := leftAt, -1
			for time.Since(lastRequestAt) < time.Second {
				var stats targetStats
				s.sendJSON(http.MethodGet, "http://"+s.targetAddrs[cause.target]+"/stats", nil, &stats)
				if stats.Total != total {
					lastRequestAt, total = time.Now(), stats.Total
				}
			}
			b.ReportMetric(lastRequestAt.Sub(leftAt).Seconds(), cause.name+"-s")
		}
		l.stop()
		for _, p := range s.processes {
			p.kill()
		}
	}
}

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
	benchSlots       = 8
	benchRequestTime = 200 * time.Millisecond
	benchDuration    = 12 * time.Second
)

// BenchmarkPath measures answer times of real processes, 9 entry processes before 50
// targets of 8 slots, against a caller that holds one ideal queue before all slots and
// goes straight to the targets. The ratios are of the same run.
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
				// A quarter into each run one target in ten becomes slow.
				slow := func(work time.Duration) {
					if tc.slow {
						for i := 0; i < benchTargets; i += 10 {
							s.setTargetFault(s.targetAddrs[i], "", work)
						}
					}
				}
				time.AfterFunc(benchDuration/4, func() { slow(5 * benchRequestTime) })
				ideal := measureIdeal(s, rate)
				slow(benchRequestTime)
				time.AfterFunc(benchDuration/4, func() { slow(5 * benchRequestTime) })
				before := s.cpuTime()
				alloc := s.allocatedBytes()
				if tc.kill {
					time.AfterFunc(benchDuration/2, func() { _ = s.entries[4].cmd.Process.Kill() })
				}
				own, n, failed := measureEntries(s, rate, tc.kill)
				for _, at := range []float64{50, 99, 99.9} {
					v := float64(own.ValueAtPercentile(at))
					b.ReportMetric(v/1e6, fmt.Sprintf("p%v-ms", at))
					b.ReportMetric(v/float64(ideal.ValueAtPercentile(at)), fmt.Sprintf("p%v/ideal", at))
				}
				b.ReportMetric(float64(failed), "failed")
				b.ReportMetric(float64(s.targetCounts().Over), "over")
				if !tc.kill {
					b.ReportMetric((s.cpuTime()-before).Seconds()*1e6/float64(n), "cpu-us/req")
					b.ReportMetric((s.allocatedBytes()-alloc)/float64(n), "B-alloc/req")
				}
				for _, p := range s.processes {
					p.kill()
				}
			}
		})
	}
}

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

// cpuTime returns the processor time that the entry processes have used.
func (s *system) cpuTime() time.Duration {
	var sum time.Duration
	for _, e := range s.entries {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.cmd.Process.Pid))
		if err != nil {
			continue
		}
		f := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
		user, _ := strconv.Atoi(f[11])
		sys, _ := strconv.Atoi(f[12])
		sum += time.Duration(user+sys) * (time.Second / 100)
	}
	return sum
}

// allocatedBytes returns the bytes that the entry processes have allocated.
func (s *system) allocatedBytes() float64 {
	sum := 0.0
	for _, e := range s.entries {
		resp, err := http.Get("http://" + e.adminAddr + "/metrics")
		if err != nil {
			continue
		}
		sc := bufio.NewScanner(resp.Body)
		for sc.Scan() {
			if v, ok := strings.CutPrefix(sc.Text(), "go_memstats_alloc_bytes_total "); ok {
				n, _ := strconv.ParseFloat(v, 64)
				sum += n
			}
		}
		_ = resp.Body.Close()
	}
	return sum
}

// runOpenLoop calls do at random moments at the rate for the span, and waits for all of them.
func runOpenLoop(rate float64, do func(n int)) {
	r := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	next := time.Now()
	end := next.Add(benchDuration)
	for n := 0; next.Before(end); n++ {
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		<-time.After(time.Until(next))
		wg.Go(func() { do(n) })
	}
	wg.Wait()
}

// measureIdeal measures a caller that knows every slot and queues before all of them.
func measureIdeal(s *system, rate float64) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	free := make(chan string, benchTargets*benchSlots)
	for range benchSlots {
		for _, t := range s.targetAddrs {
			free <- t
		}
	}
	var mu sync.Mutex
	runOpenLoop(rate, func(int) {
		came := time.Now()
		t := <-free
		req, _ := http.NewRequest(http.MethodGet, "http://"+t+"/ideal", nil)
		req.Header.Set("X-Request-Id", "ideal")
		a := doRequest(req)
		free <- t
		mu.Lock()
		defer mu.Unlock()
		if a.status == http.StatusOK {
			_ = h.RecordValue(int64(time.Since(came)))
		}
	})
	return h
}

// measureEntries measures the entry processes; failed counts what wasn't answered whole.
func measureEntries(s *system, rate float64, kill bool) (h *hdrhistogram.Histogram, n, failed int) {
	h = hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	runOpenLoop(rate, func(i int) {
		came := time.Now()
		e := s.entries[i%len(s.entries)]
		select {
		case <-e.exited: // the balancer has noticed
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
		_ = h.RecordValue(int64(time.Since(came)))
	})
	return h, n, failed
}

// BenchmarkIdle measures what 9 idle processes cost: store calls and processor time a
// second, and then what 2,000 tasks cost at the store.
func BenchmarkIdle(b *testing.B) {
	for range b.N {
		// The leases and rounds of the example settings, not those of the tests.
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
		cpu, began := s.cpuTime(), time.Now()
		<-time.After(benchDuration)
		span := time.Since(began).Seconds()
		r, w := s.storeCalls()
		b.ReportMetric(float64(r-reads)/span, "idle-reads/s")
		b.ReportMetric(float64(w-writes)/span, "idle-writes/s")
		b.ReportMetric(100*(s.cpuTime()-cpu).Seconds()/span/9, "idle-cpu-%/process")
		const tasks = 6000
		reads, writes = r, w
		began = time.Now()
		s.runCommand(0, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "audit", "--n", fmt.Sprint(tasks), "--cpu", "250", "--mem", "100", "--run", "500ms", "bench")
		eventually(b, "done", func() bool { return s.getJob(s.entries[0], "bench").State == "done" })
		span = time.Since(began).Seconds()
		r, w = s.storeCalls()
		b.ReportMetric(float64(w-writes)/tasks*1000, "writes/1000-tasks")
		b.ReportMetric(float64(r-reads)/tasks*1000, "reads/1000-tasks")
		b.ReportMetric(tasks/span, "tasks/s")
		for _, p := range s.processes {
			p.kill()
		}
	}
}

func (s *system) storeCalls() (reads, writes int) {
	var c struct{ Reads, Writes int }
	s.sendJSON(http.MethodGet, "http://"+s.storeAddr+"/calls", nil, &c)
	return c.Reads, c.Writes
}

// BenchmarkOneCore measures how many requests a second one entry process answers on one
// core (GOMAXPROCS=1), and what a request costs it.
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
				cpu, alloc, began := s.cpuTime(), s.allocatedBytes(), time.Now()
				var done atomic.Int64
				var wg sync.WaitGroup
				for range 64 {
					wg.Go(func() {
						for time.Since(began) < benchDuration/2 {
							req, _ := http.NewRequest(method, "http://"+s.entries[0].callerAddr+"/registro/bottle", strings.NewReader("bottle"))
							if a := doRequest(req); a.status == http.StatusOK {
								done.Add(1)
							}
						}
					})
				}
				wg.Wait()
				n := float64(done.Load())
				b.ReportMetric(n/time.Since(began).Seconds(), "req/s")
				b.ReportMetric((s.cpuTime()-cpu).Seconds()*1e6/n, "cpu-us/req")
				b.ReportMetric((s.allocatedBytes()-alloc)/n, "B-alloc/req")
				for _, p := range s.processes {
					p.kill()
				}
			}
		})
	}
}

// BenchmarkTakeover measures the time from the death of a rack's holder to the next
// start of a task on that rack, as a multiple of the process's lease.
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
		var victim *entryProcess
		eventually(b, "tasks on a rack of another process", func() bool {
			for _, e := range s.entries[1:] {
				if slices.Contains(e.status().Racks, "rack0") && s.startsOnRack(0) > 20 {
					victim = e
				}
			}
			return victim != nil || slices.Contains(s.entries[0].status().Racks, "rack0") && s.startsOnRack(0) > 20
		})
		if victim == nil {
			victim = s.entries[0]
		}
		_ = victim.cmd.Process.Kill()
		<-victim.exited
		died := time.Now()
		before := s.startsOnRack(0)
		eventually(b, "a start on the rack", func() bool { return s.startsOnRack(0) > before })
		b.ReportMetric(time.Since(died).Seconds()/lease.Seconds(), "leases")
		for _, p := range s.processes {
			p.kill()
		}
	}
}

// startsOnRack returns how many tasks were started on the workers of a rack.
func (s *system) startsOnRack(rack int) int {
	n := 0
	for i, addr := range s.workerAddrs {
		if i%3 == rack {
			var st workerStats
			s.sendJSON(http.MethodGet, "http://"+addr+"/stats", nil, &st)
			n += len(st.Starts)
		}
	}
	return n
}

// BenchmarkMemory measures an entry process's resident memory when idle, and per
// remembered key of a request.
func BenchmarkMemory(b *testing.B) {
	const keys = 40000
	for range b.N {
		s := &system{t: b, dir: b.TempDir()}
		s.startStoreAndHostList()
		s.addTargets(10, benchSlots, 0)
		s.addEntry()
		s.putSheet()
		s.awaitOwnership()
		before := s.entries[0].residentBytes()
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
		b.ReportMetric(before/(1<<20), "idle-MiB")
		b.ReportMetric((s.entries[0].residentBytes()-before)/keys, "B/key")
		for _, p := range s.processes {
			p.kill()
		}
	}
}

// residentBytes returns a process's residentBytes memory in bytes.
func (e *entryProcess) residentBytes() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize())
}

// BenchmarkLeave measures, with the example settings, how long a target that leaves
// goes on getting new requests, by each way in which it becomes known.
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
		for _, way := range []struct {
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
			way.leave(s.targetAddrs[way.target])
			left := time.Now()
			last, total := left, -1
			for time.Since(last) < time.Second {
				var st targetStats
				s.sendJSON(http.MethodGet, "http://"+s.targetAddrs[way.target]+"/stats", nil, &st)
				if st.Total != total {
					last, total = time.Now(), st.Total
				}
			}
			b.ReportMetric(last.Sub(left).Seconds(), way.name+"-s")
		}
		l.stop()
		for _, p := range s.processes {
			p.kill()
		}
	}
}

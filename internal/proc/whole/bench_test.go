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
	benchTargets = 50
	benchSlots   = 8
	benchWork    = 200 * time.Millisecond
	benchSpan    = 12 * time.Second
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
				rate := tc.load * benchTargets * benchSlots / benchWork.Seconds()
				// A quarter into each run one target in ten becomes slow.
				slow := func(work time.Duration) {
					if tc.slow {
						for i := 0; i < benchTargets; i += 10 {
							s.fault(s.targets[i], "", work)
						}
					}
				}
				time.AfterFunc(benchSpan/4, func() { slow(5 * benchWork) })
				ideal := idealRun(s, rate)
				slow(benchWork)
				time.AfterFunc(benchSpan/4, func() { slow(5 * benchWork) })
				before := s.cpu()
				alloc := s.alloc()
				if tc.kill {
					time.AfterFunc(benchSpan/2, func() { _ = s.entries[4].cmd.Process.Kill() })
				}
				own, n, failed := ownRun(s, rate, tc.kill)
				for _, at := range []float64{50, 99, 99.9} {
					v := float64(own.ValueAtPercentile(at))
					b.ReportMetric(v/1e6, fmt.Sprintf("p%v-ms", at))
					b.ReportMetric(v/float64(ideal.ValueAtPercentile(at)), fmt.Sprintf("p%v/ideal", at))
				}
				b.ReportMetric(float64(failed), "failed")
				b.ReportMetric(float64(s.stats().Over), "over")
				if !tc.kill {
					b.ReportMetric((s.cpu()-before).Seconds()*1e6/float64(n), "cpu-us/req")
					b.ReportMetric((s.alloc()-alloc)/float64(n), "B-alloc/req")
				}
				for _, p := range s.procs {
					p.kill()
				}
			}
		})
	}
}

func benchSystem(b *testing.B) *system {
	s := &system{t: b, dir: b.TempDir()}
	s.boot()
	s.addTargets(benchTargets, benchSlots, benchWork)
	for range 9 {
		s.addEntry()
	}
	s.putSheet()
	s.settle()
	return s
}

// cpu returns the processor time that the entry processes have used.
func (s *system) cpu() time.Duration {
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

// alloc returns the bytes that the entry processes have allocated.
func (s *system) alloc() float64 {
	sum := 0.0
	for _, e := range s.entries {
		resp, err := http.Get("http://" + e.admin + "/metrics")
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

// open calls do at random moments at the rate for the span, and waits for all of them.
func open(rate float64, do func(n int)) {
	r := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	next := time.Now()
	end := next.Add(benchSpan)
	for n := 0; next.Before(end); n++ {
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		<-time.After(time.Until(next))
		wg.Go(func() { do(n) })
	}
	wg.Wait()
}

// idealRun measures a caller that knows every slot and queues before all of them.
func idealRun(s *system, rate float64) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	free := make(chan string, benchTargets*benchSlots)
	for range benchSlots {
		for _, t := range s.targets {
			free <- t
		}
	}
	var mu sync.Mutex
	open(rate, func(int) {
		came := time.Now()
		t := <-free
		req, _ := http.NewRequest(http.MethodGet, "http://"+t+"/ideal", nil)
		req.Header.Set("X-Request-Id", "ideal")
		a := do(req)
		free <- t
		mu.Lock()
		defer mu.Unlock()
		if a.status == http.StatusOK {
			_ = h.RecordValue(int64(time.Since(came)))
		}
	})
	return h
}

// ownRun measures the entry processes; failed counts what wasn't answered whole.
func ownRun(s *system, rate float64, kill bool) (h *hdrhistogram.Histogram, n, failed int) {
	h = hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	open(rate, func(i int) {
		came := time.Now()
		e := s.entries[i%len(s.entries)]
		select {
		case <-e.done: // the balancer has noticed
			e = s.entries[(i+1)%len(s.entries)]
		default:
		}
		req, _ := http.NewRequest(http.MethodGet, "http://"+e.caller+"/registro/bottle", nil)
		a := do(req)
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
		s := &system{t: b, dir: b.TempDir(), example: true}
		s.boot()
		s.addTargets(10, benchSlots, time.Millisecond)
		s.addWorkers(24, 3)
		for range 9 {
			s.addEntry()
		}
		s.putSheet()
		s.settle()
		reads, writes := s.storeCalls()
		cpu, began := s.cpu(), time.Now()
		<-time.After(benchSpan)
		span := time.Since(began).Seconds()
		r, w := s.storeCalls()
		b.ReportMetric(float64(r-reads)/span, "idle-reads/s")
		b.ReportMetric(float64(w-writes)/span, "idle-writes/s")
		b.ReportMetric(100*(s.cpu()-cpu).Seconds()/span/9, "idle-cpu-%/process")
		const tasks = 6000
		reads, writes = r, w
		began = time.Now()
		s.run(0, "job", "submit", "--admin", s.entries[0].admin, "--kind", "audit", "--n", fmt.Sprint(tasks), "--cpu", "250", "--mem", "100", "--run", "500ms", "bench")
		eventually(b, "done", func() bool { return s.job(s.entries[0], "bench").State == "done" })
		span = time.Since(began).Seconds()
		r, w = s.storeCalls()
		b.ReportMetric(float64(w-writes)/tasks*1000, "writes/1000-tasks")
		b.ReportMetric(float64(r-reads)/tasks*1000, "reads/1000-tasks")
		b.ReportMetric(tasks/span, "tasks/s")
		for _, p := range s.procs {
			p.kill()
		}
	}
}

func (s *system) storeCalls() (reads, writes int) {
	var c struct{ Reads, Writes int }
	s.send(http.MethodGet, "http://"+s.store+"/calls", nil, &c)
	return c.Reads, c.Writes
}

// BenchmarkOneCore measures how many requests a second one entry process answers on one
// core (GOMAXPROCS=1), and what a request costs it.
func BenchmarkOneCore(b *testing.B) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			for range b.N {
				s := &system{t: b, dir: b.TempDir(), env: "GOMAXPROCS=1"}
				s.boot()
				s.addTargets(10, benchSlots, time.Millisecond)
				s.addEntry()
				s.putSheet()
				s.settle()
				cpu, alloc, began := s.cpu(), s.alloc(), time.Now()
				var done atomic.Int64
				var wg sync.WaitGroup
				for range 64 {
					wg.Go(func() {
						for time.Since(began) < benchSpan/2 {
							req, _ := http.NewRequest(method, "http://"+s.entries[0].caller+"/registro/bottle", strings.NewReader("bottle"))
							if a := do(req); a.status == http.StatusOK {
								done.Add(1)
							}
						}
					})
				}
				wg.Wait()
				n := float64(done.Load())
				b.ReportMetric(n/time.Since(began).Seconds(), "req/s")
				b.ReportMetric((s.cpu()-cpu).Seconds()*1e6/n, "cpu-us/req")
				b.ReportMetric((s.alloc()-alloc)/n, "B-alloc/req")
				for _, p := range s.procs {
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
		s.boot()
		s.addWorkers(6, 3)
		for range 3 {
			s.addEntry()
		}
		s.putSheet()
		s.run(0, "job", "submit", "--admin", s.entries[0].admin, "--kind", "audit", "--n", "5000", "--cpu", "1000", "--mem", "100", "--run", "100ms", "bench")
		var victim *entryProc
		eventually(b, "tasks on a rack of another process", func() bool {
			for _, e := range s.entries[1:] {
				if slices.Contains(e.status().Racks, "rack0") && s.startsOn(0) > 20 {
					victim = e
				}
			}
			return victim != nil || slices.Contains(s.entries[0].status().Racks, "rack0") && s.startsOn(0) > 20
		})
		if victim == nil {
			victim = s.entries[0]
		}
		_ = victim.cmd.Process.Kill()
		<-victim.done
		died := time.Now()
		before := s.startsOn(0)
		eventually(b, "a start on the rack", func() bool { return s.startsOn(0) > before })
		b.ReportMetric(time.Since(died).Seconds()/lease.Seconds(), "leases")
		for _, p := range s.procs {
			p.kill()
		}
	}
}

// startsOn returns how many tasks were started on the workers of a rack.
func (s *system) startsOn(rack int) int {
	n := 0
	for i, addr := range s.workers {
		if i%3 == rack {
			var st workerStats
			s.send(http.MethodGet, "http://"+addr+"/stats", nil, &st)
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
		s.boot()
		s.addTargets(10, benchSlots, 0)
		s.addEntry()
		s.putSheet()
		s.settle()
		before := s.entries[0].resident()
		var next atomic.Int64
		var wg sync.WaitGroup
		for range 32 {
			wg.Go(func() {
				for n := next.Add(1); n <= keys; n = next.Add(1) {
					post(s.entries[0].caller, fmt.Sprintf("case-%08d", n), "bottle")
				}
			})
		}
		wg.Wait()
		b.ReportMetric(before/(1<<20), "idle-MiB")
		b.ReportMetric((s.entries[0].resident()-before)/keys, "B/key")
		for _, p := range s.procs {
			p.kill()
		}
	}
}

// resident returns a process's resident memory in bytes.
func (e *entryProc) resident() float64 {
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
		s := &system{t: b, dir: b.TempDir(), example: true}
		s.boot()
		s.addTargets(3, benchSlots, time.Millisecond)
		for range 3 {
			s.addEntry()
		}
		s.putSheet()
		s.settle()
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
				s.send(http.MethodPost, "http://"+addr+"/fault", struct{ Leaving bool }{true}, nil)
			}},
		} {
			l.more(300)
			way.leave(s.targets[way.target])
			left := time.Now()
			last, total := left, -1
			for time.Since(last) < time.Second {
				var st targetStats
				s.send(http.MethodGet, "http://"+s.targets[way.target]+"/stats", nil, &st)
				if st.Total != total {
					last, total = time.Now(), st.Total
				}
			}
			b.ReportMetric(last.Sub(left).Seconds(), way.name+"-s")
		}
		l.end()
		for _, p := range s.procs {
			p.kill()
		}
	}
}

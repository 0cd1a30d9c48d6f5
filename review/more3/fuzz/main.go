// Command fuzz plays random disruptions and checks the rules on tasks. SEED seeds the disruptions.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramleysail.example/bramleysail/review/world3"
)

type active struct {
	r   *world3.Runner
	run int64
}

type checker struct {
	mu     sync.Mutex
	s      *world3.Site
	active map[string][]active
	starts map[string][]time.Time
	done   map[string]time.Time // end done
	ended  map[string]time.Time // key task/run/runner life -> end time
	failed map[string][]time.Time
	noted  map[string]bool
	cancel map[string]time.Time
	jobs   map[string]*world3.Job
}

func split(task string) (job string, k, step, index int) {
	p := strings.Split(task, ".")
	k, _ = strconv.Atoi(p[1])
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], k, step, index
}

func (c *checker) onStart(r *world3.Runner, task string, number int64, j *world3.Job, step world3.Step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if len(c.active[task]) > 0 {
		c.s.Rec.Broken("TWICE: %s run %d on %s beside %d on %s", task, number, r.ID, c.active[task][0].run, c.active[task][0].r.ID)
	}
	if c.noted["done "+task] {
		c.s.Rec.Broken("TWICE: %s run %d on %s after a noted done end", task, number, r.ID)
	}
	c.active[task] = append(c.active[task], active{r, number})
	c.starts[task] = append(c.starts[task], now)
	id, k, st, _ := split(task)
	for _, a := range step.After {
		for i := range j.JobSteps[a].Count {
			if _, ok := c.done[fmt.Sprintf("%s.%d.%d.%d", id, k, a, i)]; !ok {
				c.s.Rec.Broken("ORDER: %s run %d before %d.%d is done", task, number, a, i)
			}
		}
	}
	if j.RepeatCount > 0 {
		due := time.UnixMilli(j.StartAtMs + int64(k)*j.IntervalMs)
		if now.Before(due.Add(-250 * time.Millisecond)) {
			c.s.Rec.Broken("ORDER: %s run %d %s before it is due", task, number, time.Until(due))
		}
	}
	if step.Requirements != "" && !slices.Contains([]string{r.Kind, r.Rack}, step.Requirements) {
		c.s.Rec.Broken("ROUTE: %s run %d on %s of kind %q", task, number, r.ID, r.Kind)
	}
	if step.AntiAffinity > 0 {
		n := 0
		for t, as := range c.active {
			tid, tk, tst, _ := split(t)
			for _, a := range as {
				if tid == id && tk == k && tst == st && a.r == r {
					n++
				}
			}
		}
		if n > step.AntiAffinity {
			c.s.Rec.Broken("ROUTE: %s run %d on %s: %d of the step there", task, number, r.ID, n)
		}
	}
	if at, ok := c.cancel[id]; ok && now.Sub(at) > 3*time.Second {
		c.s.Rec.Broken("UNASKED: %s run %d %s after the cancel", task, number, now.Sub(at))
	}
	if !step.LongRunning && len(c.failed[task]) >= 4 {
		c.s.Rec.Broken("BUDGET: %s run %d after %d failed", task, number, len(c.failed[task]))
	}
}

func (c *checker) drop(r *world3.Runner, task string, number int64) {
	c.active[task] = slices.DeleteFunc(c.active[task], func(a active) bool { return a.r == r && a.run == number })
	if len(c.active[task]) == 0 {
		delete(c.active, task)
	}
}

func (c *checker) onEnd(r *world3.Runner, task string, number int64, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(r, task, number)
	now := time.Now()
	c.ended[fmt.Sprint(task, number, how)] = now
	if how == "done" {
		c.done[task] = now
	}
	if how == "failed" {
		c.failed[task] = append(c.failed[task], now)
	}
}

func (c *checker) onCrash(r *world3.Runner, task string, number int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(r, task, number)
}

func (c *checker) onNoted(r *world3.Runner, task string, number int64, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how != "done" {
		return
	}
	at := c.ended[fmt.Sprint(task, number, how)]
	for _, st := range c.starts[task] {
		if st.After(at) {
			c.s.Rec.Broken("TWICE: %s run %d's done end on %s is noted, and the task was started after it", task, number, r.ID)
		}
	}
	c.noted["done "+task] = true
}

func main() {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 7))
	s := world3.NewSite(5, 16, 8000, 32000, world3.SmallBounds)
	s.Fleet.Guards = rnd.IntN(2) == 0
	for i, r := range s.Fleet.Runners {
		if i%3 == 0 {
			r.Kind = "b"
		}
	}
	c := &checker{s: s, active: map[string][]active{}, starts: map[string][]time.Time{}, done: map[string]time.Time{}, ended: map[string]time.Time{}, failed: map[string][]time.Time{}, noted: map[string]bool{}, cancel: map[string]time.Time{}, jobs: map[string]*world3.Job{}}
	s.Fleet.OnStart, s.Fleet.OnEnd, s.Fleet.OnCrash, s.Fleet.OnNoted = c.onStart, c.onEnd, c.onCrash, c.onNoted
	s.Fleet.FailAfter = func(string, int64) time.Duration {
		if rand.IntN(25) == 0 {
			return time.Duration(rand.IntN(600)+1) * time.Millisecond
		}
		return 0
	}
	var late, noreply sync.Mutex
	lateOn, noreplyOn := false, false
	var refuse string
	s.Fleet.OrderGate = func(*world3.Runner, string, string) time.Duration {
		late.Lock()
		defer late.Unlock()
		if lateOn && rand.IntN(18) == 0 {
			return 2*time.Second + time.Duration(rand.IntN(10000))*time.Millisecond
		}
		return 0
	}
	down := false
	// Gate is set before the processes start.
	gate(s, &noreply, &noreplyOn, &down, &refuse)
	s.Start()
	stop := make(chan struct{})
	var mu sync.Mutex
	accepted := map[string]*world3.Job{}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(100+rand.IntN(200)) * time.Millisecond):
			}
			j := randomJob()
			s.Fleet.Know(j)
			go func() {
				if world3.Submit(s.Hosts, world3.Queue, j, s.Rec, 12) {
					mu.Lock()
					accepted[j.ID] = j
					mu.Unlock()
					if j.JobSteps[0].LongRunning || rand.IntN(12) == 0 {
						time.Sleep(time.Duration(rand.IntN(20000)) * time.Millisecond)
						for range 10 {
							if code := world3.Cancel(s.Hosts[rand.IntN(len(s.Hosts))], world3.Queue, j.ID, s.Rec); code == 200 || code == 410 {
								c.mu.Lock()
								c.cancel[j.ID] = time.Now()
								c.mu.Unlock()
								mu.Lock()
								delete(accepted, j.ID)
								mu.Unlock()
								return
							}
							time.Sleep(500 * time.Millisecond)
						}
					}
				}
			}()
		}
	}()
	time.Sleep(3 * time.Second)
	alive := func() *world3.Host {
		if h := s.Holder(); h != nil {
			return h
		}
		return s.Hosts[rnd.IntN(len(s.Hosts))]
	}
	for end := time.Now().Add(65 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond) {
		switch rnd.IntN(10) {
		case 0, 1:
			h := alive()
			h.Kill()
			time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
			_ = h.Start()
		case 2:
			h := alive()
			h.Signal(syscall.SIGSTOP)
			time.Sleep(3500 * time.Millisecond)
			h.Signal(syscall.SIGCONT)
		case 3:
			h := alive()
			h.Term()
			_ = h.Start()
		case 4:
			noreply.Lock()
			down = true
			noreply.Unlock()
			s.Rec.Note("store down")
			time.Sleep(4500 * time.Millisecond)
			noreply.Lock()
			down = false
			noreply.Unlock()
			s.Rec.Note("store up")
		case 5:
			noreply.Lock()
			if h := s.Holder(); h != nil {
				refuse = h.Name
			}
			noreply.Unlock()
			s.Rec.Note("store refuses %s", refuse)
			time.Sleep(5 * time.Second)
			noreply.Lock()
			refuse = ""
			noreply.Unlock()
			s.Rec.Note("store serves all")
		case 6:
			noreply.Lock()
			noreplyOn = true
			noreply.Unlock()
			time.Sleep(4500 * time.Millisecond)
			noreply.Lock()
			noreplyOn = false
			noreply.Unlock()
		case 7:
			r := s.Fleet.Runners[rnd.IntN(16)]
			q := s.Fleet.Runners[rnd.IntN(16)]
			r.Crash()
			if q != r {
				q.Crash()
			}
			time.Sleep(time.Duration(100+rnd.IntN(2500)) * time.Millisecond)
			_ = r.Restart(r.Kind)
			if q != r {
				_ = q.Restart(q.Kind)
			}
		case 8:
			r := s.Fleet.Runners[rnd.IntN(16)]
			r.SetDark(true)
			go func() {
				time.Sleep(time.Duration(2000+rand.IntN(5000)) * time.Millisecond)
				r.SetDark(false)
			}()
		case 9:
			late.Lock()
			lateOn = true
			late.Unlock()
			go func() {
				time.Sleep(5500 * time.Millisecond)
				late.Lock()
				lateOn = false
				late.Unlock()
			}()
		}
	}
	s.Rec.Note("troubles are over")
	close(stop)
	time.Sleep(24 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for id, j := range accepted {
		code, state := world3.State(s.Hosts[rand.IntN(len(s.Hosts))], world3.Queue, id, s.Rec)
		if state != "completed" && state != "failed" && state != "cancelled" && !j.JobSteps[0].LongRunning {
			s.Rec.Broken("LOST: %s is %d %s at the end", id, code, state)
		}
	}
	s.Finish()
}

func gate(s *world3.Site, mu *sync.Mutex, noreply, down *bool, refuse *string) {
	s.Store.Gate = func(host string, r *http.Request) world3.Verdict {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case *down:
			return world3.Silent
		case *refuse == host:
			return world3.Refuse
		case *noreply && r.Method != "GET" && rand.IntN(3) == 0:
			return world3.NoReply
		}
		return world3.Serve
	}
}

func randomJob() *world3.Job {
	j := &world3.Job{ID: world3.NewID(), Spec: "x"}
	step := func() world3.Step {
		ms := 200 + rand.IntN(1500)
		return world3.Step{Count: 1 + rand.IntN(6), CPU: 500 + rand.IntN(2000), MemMb: 500, EstimateMs: ms, TaskMs: ms}
	}
	switch rand.IntN(10) {
	case 0:
		x := step()
		x.LongRunning, x.Count = true, 2
		j.JobSteps = append(j.JobSteps, x)
	case 1, 2:
		j.JobSteps = append(j.JobSteps, step())
		j.RepeatCount, j.IntervalMs, j.StartAtMs = 2+rand.IntN(4), int64(500+rand.IntN(1500)), time.Now().UnixMilli()+int64(rand.IntN(2000))
	case 3, 4:
		x := step()
		x.Requirements = "b"
		j.JobSteps = append(j.JobSteps, x)
	case 5:
		x := step()
		x.AntiAffinity = 1
		j.JobSteps = append(j.JobSteps, x)
	default:
		j.JobSteps = append(j.JobSteps, step())
	}
	if rand.IntN(2) == 0 && !j.JobSteps[0].LongRunning {
		x := step()
		x.After = []int{0}
		j.JobSteps = append(j.JobSteps, x)
	}
	return j
}

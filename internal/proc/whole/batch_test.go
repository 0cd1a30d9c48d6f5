package whole

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/jobs"
)

func smallBatch(t *testing.T, entries, workers, racks int) *system {
	t.Helper()
	s := newSystem(t)
	s.addWorkers(workers, racks)
	for range entries {
		s.addEntry()
	}
	s.putSheet()
	return s
}

func (s *system) submit(id string, n int, run time.Duration) {
	s.t.Helper()
	s.run(0, "job", "submit", "--admin", s.entries[0].admin, "--kind", "audit", "--n", fmt.Sprint(n), "--cpu", "1000", "--run", run.String(), id)
}

// doneOnce waits until the job is done and every result has gone out, once.
func (s *system) doneOnce(e *entryProc, id string, n int) {
	s.t.Helper()
	eventually(s.t, "job "+id+" done", func() bool { return s.job(e, id).State == jobs.StateDone })
	out := func() map[string]int {
		_, accepts := s.work()
		mine := map[string]int{}
		for task, k := range accepts {
			if strings.HasPrefix(task, id+"/") {
				mine[task] = k
			}
		}
		return mine
	}
	eventually(s.t, "every result out", func() bool { return len(out()) == n })
	for task, k := range out() {
		if k != 1 {
			s.t.Errorf("the result of %s went out %d times", task, k)
		}
	}
	starts, _ := s.work()
	for id, k := range starts {
		if k != 1 {
			s.t.Errorf("placement %s was started %d times", id, k)
		}
	}
}

// The entry process that holds racks and buckets is killed, and another stands still for
// longer than its lease and wakes up, while photo books are made. Each must go out once.
func TestBatchDeaths(t *testing.T) {
	s := smallBatch(t, 4, 6, 3)
	s.submit("books", 150, 300*time.Millisecond)
	eventually(t, "some done", func() bool { return s.job(s.entries[0], "books").FinishedTasks > 20 })
	_ = s.entries[1].cmd.Process.Kill()
	_ = s.entries[2].cmd.Process.Signal(syscall.SIGSTOP)
	eventually(t, "two members left", func() bool { return len(s.entries[0].status().Members) == 2 })
	_ = s.entries[2].cmd.Process.Signal(syscall.SIGCONT)
	s.doneOnce(s.entries[0], "books", 150)
}

// An operator takes a failure domain out. Nothing may start there, what runs there goes
// on elsewhere, and once it is back it is used again.
func TestDomainOut(t *testing.T) {
	s := smallBatch(t, 3, 6, 3)
	s.submit("audits", 24, 4*time.Second)
	running := func(zone int) int {
		n := 0
		for i, addr := range s.workers {
			if i%3 == zone {
				var rep struct{ Tasks []struct{ State string } }
				s.send(http.MethodGet, "http://"+addr+"/v1/report", nil, &rep)
				for _, k := range rep.Tasks {
					if k.State == "running" {
						n++
					}
				}
			}
		}
		return n
	}
	eventually(t, "tasks in every domain", func() bool { return running(0) > 0 && running(1) > 0 && running(2) > 0 })
	s.run(0, "domain", "out", "--admin", s.entries[2].admin, zones[1])
	eventually(t, "none left there", func() bool { return running(1) == 0 })
	there := s.startsOn(1)
	s.submit("more", 12, 300*time.Millisecond)
	s.doneOnce(s.entries[1], "more", 12)
	s.doneOnce(s.entries[1], "audits", 24)
	if n := s.startsOn(1); n != there {
		t.Errorf("%d tasks were started in a domain that is out", n-there)
	}
	s.run(0, "domain", "back", "--admin", s.entries[0].admin, zones[1])
	s.submit("again", 60, 300*time.Millisecond)
	s.doneOnce(s.entries[2], "again", 60)
	if s.startsOn(1) == there {
		t.Error("nothing was started in the domain after it was back")
	}
}

// The store goes away while audits run, for longer than every lease, and comes back.
// What runs must run on; what finishes meanwhile is recorded later, once; nothing that
// is submitted meanwhile is called accepted.
func TestBatchStoreAway(t *testing.T) {
	s := smallBatch(t, 3, 6, 3)
	s.submit("audits", 12, 5*time.Second)
	eventually(t, "all started", func() bool { starts, _ := s.work(); return len(starts) == 12 })
	s.storeDown(true)
	s.run(4, "job", "submit", "--admin", s.entries[0].admin, "--kind", "audit", "late")
	finished := func() int {
		n := 0
		for _, addr := range s.workers {
			var rep struct{ Tasks []struct{ State string } }
			s.send(http.MethodGet, "http://"+addr+"/v1/report", nil, &rep)
			for _, k := range rep.Tasks {
				if k.State == "finished" {
					n++
				}
			}
		}
		return n
	}
	eventually(t, "all finished and held", func() bool { return finished() == 12 })
	if _, accepts := s.work(); len(accepts) > 0 {
		t.Errorf("results went out before they were recorded: %v", accepts)
	}
	s.storeDown(false)
	s.doneOnce(s.entries[1], "audits", 12)
	if starts, _ := s.work(); len(starts) < 12 {
		t.Errorf("%d starts for 12 tasks", len(starts))
	}
	s.run(0, "job", "submit", "--admin", s.entries[0].admin, "--kind", "audit", "late")
	s.doneOnce(s.entries[1], "late", 1)
}

// Two operators change the configuration at the same time, and a sheet drawn up before
// one of the changes comes after it. One wins, the others are told so; nothing reverts.
func TestOperatorsRace(t *testing.T) {
	s := smallBatch(t, 3, 3, 3)
	s.run(0, "domain", "out", "--admin", s.entries[0].admin, zones[0])
	out := s.run(3, "sheet", "put", "--admin", s.entries[1].admin, "../../../examples/association.sheet.toml")
	if !strings.Contains(out, "drawn from configuration 0, in force is 2 (out: heredia)") {
		t.Errorf("the refusal doesn't say what has changed: %s", out)
	}
	type result struct{ code, num int }
	results := make(chan result, 6)
	for i := range 6 {
		go func() {
			verb, zone := "out", zones[1+i%2]
			resp, err := http.Post("http://"+s.entries[i%3].admin+"/v1/zones/"+zone+"/"+verb, "", nil)
			if err != nil {
				results <- result{}
				return
			}
			defer resp.Body.Close()
			var v struct{ Num int }
			_ = json.NewDecoder(resp.Body).Decode(&v)
			results <- result{resp.StatusCode, v.Num}
		}()
	}
	high := 0
	for range 6 {
		r := <-results
		if r.code != http.StatusOK && r.code != http.StatusConflict {
			t.Errorf("a racing operator got %d", r.code)
		}
		high = max(high, r.num)
	}
	eventually(t, "one configuration everywhere", func() bool {
		for _, e := range s.entries {
			if int(e.status().ConfigVersion) != high || len(e.status().EvacuatedZones) < 2 {
				return false
			}
		}
		return true
	})
}

// An operator stops, with SIGTERM, a process that holds racks and buckets. Others must
// take them over while everything runs on: no task is evicted or started again.
func TestBatchStop(t *testing.T) {
	s := smallBatch(t, 3, 6, 3)
	s.submit("audits", 12, 4*time.Second)
	eventually(t, "all started", func() bool { starts, _ := s.work(); return len(starts) == 12 })
	p := s.entries[1]
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.done
	s.doneOnce(s.entries[0], "audits", 12)
	if starts, _ := s.work(); len(starts) != 12 {
		t.Errorf("%d starts for 12 tasks", len(starts))
	}
	if p.err != nil {
		t.Errorf("it ended with %v", p.err)
	}
}

// The store answers slowly for a long while. Requests and batch work must go on as
// before, if slower to begin.
func TestStoreSlow(t *testing.T) {
	s := newSystem(t)
	s.addTargets(3, 3, 2*time.Millisecond)
	s.addWorkers(6, 3)
	for range 3 {
		s.addEntry()
	}
	s.putSheet()
	s.settle()
	s.send(http.MethodPost, "http://"+s.store+"/fault", struct{ Delay string }{"250ms"}, nil)
	l := startLoad(s, 6)
	s.submit("audits", 12, 300*time.Millisecond)
	l.more(200)
	s.doneOnce(s.entries[1], "audits", 12)
	l.end()
	l.check(t)
	for key, a := range l.answers {
		if a.status != http.StatusOK {
			t.Errorf("%s: %+v", key, a)
		}
	}
}

// The store takes many writes without answering them, while jobs are submitted and run
// and an operator takes a domain out. Each write must be found to have taken effect:
// nothing is done twice and nobody is told of a conflict that there wasn't.
func TestStoreLosesAnswers(t *testing.T) {
	s := smallBatch(t, 3, 6, 3)
	lose := func(n int) {
		s.send(http.MethodPost, "http://"+s.store+"/fault", struct{ Lose int }{n}, nil)
	}
	lose(3)
	s.run(0, "domain", "out", "--admin", s.entries[1].admin, zones[2])
	for i := range 4 {
		lose(8)
		id := fmt.Sprint("audit-", i)
		s.submit(id, 10, 200*time.Millisecond)
		s.doneOnce(s.entries[2], id, 10)
	}
	if c := s.entries[0].status().ConfigVersion; c != 2 {
		t.Errorf("configuration %d after one sheet and one move", c)
	}
}

// A worker's host dies with audits on it, as some do every day. They must be run on
// other workers, and the job finish.
func TestWorkerDeath(t *testing.T) {
	s := smallBatch(t, 3, 6, 3)
	s.submit("audits", 18, 2*time.Second)
	eventually(t, "most started", func() bool { starts, _ := s.work(); return len(starts) > 12 })
	dead := s.workers[0]
	for _, p := range s.procs {
		if strings.Contains(p.text(), dead) && strings.Contains(p.cmd.String(), "standin worker") {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	s.workers = s.workers[1:]
	eventually(t, "the job done", func() bool { return s.job(s.entries[1], "audits").State == jobs.StateDone })
	_, accepts := s.work()
	for task, n := range accepts {
		if n != 1 {
			t.Errorf("the result of %s went out %d times", task, n)
		}
	}
}

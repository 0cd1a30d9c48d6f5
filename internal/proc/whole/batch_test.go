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

func newBatchSystem(t *testing.T, entries, workers, racks int) *system {
	t.Helper()
	s := newSystem(t)
	s.addWorkers(workers, racks)
	for range entries {
		s.addEntry()
	}
	s.putSheet()
	return s
}

func (s *system) submitJob(id string, n int, run time.Duration) {
	s.t.Helper()
	s.runCommand(0, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "audit", "--n", fmt.Sprint(n), "--cpu", "1000", "--run", run.String(), id)
}

// awaitDoneOnce waits until the job is done and every result has gone out, once.
func (s *system) awaitDoneOnce(e *entryProcess, id string, n int) {
	s.t.Helper()
	eventually(s.t, "job "+id+" done", func() bool { return s.getJob(e, id).State == jobs.StateDone })
	out := func() map[string]int {
		_, accepts := s.workerCounts()
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
	starts, _ := s.workerCounts()
	for id, k := range starts {
		if k != 1 {
			s.t.Errorf("placement %s was started %d times", id, k)
		}
	}
}

// The entry process that holds racks and buckets is killed, and another stands still for
// longer than its lease and wakes up, while photo books are made. Each must go out once.
func TestBatchEntryFailures(t *testing.T) {
	s := newBatchSystem(t, 4, 6, 3)
	s.submitJob("books", 150, 300*time.Millisecond)
	eventually(t, "some done", func() bool { return s.getJob(s.entries[0], "books").FinishedTasks > 20 })
	_ = s.entries[1].cmd.Process.Kill()
	_ = s.entries[2].cmd.Process.Signal(syscall.SIGSTOP)
	eventually(t, "two members left", func() bool { return len(s.entries[0].status().Members) == 2 })
	_ = s.entries[2].cmd.Process.Signal(syscall.SIGCONT)
	s.awaitDoneOnce(s.entries[0], "books", 150)
}

// An operator takes a failure domain out. Nothing may start there, what runs there goes
// on elsewhere, and once it is back it is used again.
func TestDomainOut(t *testing.T) {
	s := newBatchSystem(t, 3, 6, 3)
	s.submitJob("audits", 24, 4*time.Second)
	running := func(zone int) int {
		n := 0
		for i, addr := range s.workerAddrs {
			if i%3 == zone {
				var rep struct{ Tasks []struct{ State string } }
				s.sendJSON(http.MethodGet, "http://"+addr+"/v1/report", nil, &rep)
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
	s.runCommand(0, "domain", "out", "--admin", s.entries[2].adminAddr, zones[1])
	eventually(t, "none left there", func() bool { return running(1) == 0 })
	there := s.startsOnRack(1)
	s.submitJob("more", 12, 300*time.Millisecond)
	s.awaitDoneOnce(s.entries[1], "more", 12)
	s.awaitDoneOnce(s.entries[1], "audits", 24)
	if n := s.startsOnRack(1); n != there {
		t.Errorf("%d tasks were started in a domain that is out", n-there)
	}
	s.runCommand(0, "domain", "back", "--admin", s.entries[0].adminAddr, zones[1])
	s.submitJob("again", 60, 300*time.Millisecond)
	s.awaitDoneOnce(s.entries[2], "again", 60)
	if s.startsOnRack(1) == there {
		t.Error("nothing was started in the domain after it was back")
	}
}

// The store goes away while audits run, for longer than every lease, and comes back.
// What runs must run on; what finishes meanwhile is recorded later, once; nothing that
// is submitted meanwhile is called accepted.
func TestBatchStoreOutage(t *testing.T) {
	s := newBatchSystem(t, 3, 6, 3)
	s.submitJob("audits", 12, 5*time.Second)
	eventually(t, "all started", func() bool { starts, _ := s.workerCounts(); return len(starts) == 12 })
	s.setStoreDown(true)
	s.runCommand(4, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "audit", "late")
	finished := func() int {
		n := 0
		for _, addr := range s.workerAddrs {
			var rep struct{ Tasks []struct{ State string } }
			s.sendJSON(http.MethodGet, "http://"+addr+"/v1/report", nil, &rep)
			for _, k := range rep.Tasks {
				if k.State == "finished" {
					n++
				}
			}
		}
		return n
	}
	eventually(t, "all finished and held", func() bool { return finished() == 12 })
	if _, accepts := s.workerCounts(); len(accepts) > 0 {
		t.Errorf("results went out before they were recorded: %v", accepts)
	}
	s.setStoreDown(false)
	s.awaitDoneOnce(s.entries[1], "audits", 12)
	if starts, _ := s.workerCounts(); len(starts) < 12 {
		t.Errorf("%d starts for 12 tasks", len(starts))
	}
	s.runCommand(0, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "audit", "late")
	s.awaitDoneOnce(s.entries[1], "late", 1)
}

// Two operators change the configuration at the same time, and a sheet drawn up before
// one of the changes comes after it. One wins, the others are told so; nothing reverts.
func TestConcurrentOperators(t *testing.T) {
	s := newBatchSystem(t, 3, 3, 3)
	s.runCommand(0, "domain", "out", "--admin", s.entries[0].adminAddr, zones[0])
	out := s.runCommand(3, "sheet", "put", "--admin", s.entries[1].adminAddr, "../../../examples/association.sheet.toml")
	if !strings.Contains(out, "drawn from configuration 0, in force is 2 (out: heredia)") {
		t.Errorf("the refusal doesn't say what has changed: %s", out)
	}
	type result struct{ code, num int }
	results := make(chan result, 6)
	for i := range 6 {
		go func() {
			verb, zone := "out", zones[1+i%2]
			resp, err := http.Post("http://"+s.entries[i%3].adminAddr+"/v1/zones/"+zone+"/"+verb, "", nil)
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
func TestBatchGracefulStop(t *testing.T) {
	s := newBatchSystem(t, 3, 6, 3)
	s.submitJob("audits", 12, 4*time.Second)
	eventually(t, "all started", func() bool { starts, _ := s.workerCounts(); return len(starts) == 12 })
	p := s.entries[1]
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.exited
	s.awaitDoneOnce(s.entries[0], "audits", 12)
	if starts, _ := s.workerCounts(); len(starts) != 12 {
		t.Errorf("%d starts for 12 tasks", len(starts))
	}
	if p.exitErr != nil {
		t.Errorf("it ended with %v", p.exitErr)
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
	s.awaitOwnership()
	s.sendJSON(http.MethodPost, "http://"+s.storeAddr+"/fault", struct{ Delay string }{"250ms"}, nil)
	l := startLoad(s, 6)
	s.submitJob("audits", 12, 300*time.Millisecond)
	l.awaitAnswers(200)
	s.awaitDoneOnce(s.entries[1], "audits", 12)
	l.stop()
	l.checkAnswers(t)
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
	s := newBatchSystem(t, 3, 6, 3)
	lose := func(n int) {
		s.sendJSON(http.MethodPost, "http://"+s.storeAddr+"/fault", struct{ Lose int }{n}, nil)
	}
	lose(3)
	s.runCommand(0, "domain", "out", "--admin", s.entries[1].adminAddr, zones[2])
	for i := range 4 {
		lose(8)
		id := fmt.Sprint("audit-", i)
		s.submitJob(id, 10, 200*time.Millisecond)
		s.awaitDoneOnce(s.entries[2], id, 10)
	}
	if c := s.entries[0].status().ConfigVersion; c != 2 {
		t.Errorf("configuration %d after one sheet and one move", c)
	}
}

// A worker's host dies with audits on it, as some do every day. They must be run on
// other workers, and the job finish.
func TestWorkerFailure(t *testing.T) {
	s := newBatchSystem(t, 3, 6, 3)
	s.submitJob("audits", 18, 2*time.Second)
	eventually(t, "most started", func() bool { starts, _ := s.workerCounts(); return len(starts) > 12 })
	dead := s.workerAddrs[0]
	for _, p := range s.processes {
		if strings.Contains(p.outputText(), dead) && strings.Contains(p.cmd.String(), "standin worker") {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	s.workerAddrs = s.workerAddrs[1:]
	eventually(t, "the job done", func() bool { return s.getJob(s.entries[1], "audits").State == jobs.StateDone })
	_, accepts := s.workerCounts()
	for task, n := range accepts {
		if n != 1 {
			t.Errorf("the result of %s went out %d times", task, n)
		}
	}
}

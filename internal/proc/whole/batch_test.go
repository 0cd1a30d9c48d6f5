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

// newBatchSystem returns a system of workers and entry processes.
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

// submitJob submits a job of n tasks, each with the given run time, through the command line.
func (s *system) submitJob(id string, n int, run time.Duration) {
	s.t.Helper()
	s.runCommand(0, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "audit", "--n", fmt.Sprint(n), "--cpu", "1000", "--run", run.String(), id)
}

// awaitDoneOnce waits until the job is done and a result of each of its n tasks is accepted. It checks
// that each was accepted once and that no placement was started twice.
func (s *system) awaitDoneOnce(e *entryProcess, id string, n int) {
	s.t.Helper()
	eventually(s.t, "job "+id+" done", func() bool { return s.getJob(e, id).State == jobs.StateDone })
	jobResults := func() map[string]int {
		_, accepted := s.workerCounts()
		results := map[string]int{}
		for task, k := range accepted {
			if strings.HasPrefix(task, id+"/") {
				results[task] = k
			}
		}
		return results
	}
	eventually(s.t, "every result accepted", func() bool { return len(jobResults()) == n })
	for task, k := range jobResults() {
		if k != 1 {
			s.t.Errorf("the result of %s was accepted %d times", task, k)
		}
	}
	starts, _ := s.workerCounts()
	for id, k := range starts {
		if k != 1 {
			s.t.Errorf("placement %s was started %d times", id, k)
		}
	}
}

// While a job runs, an entry process that owns racks and buckets is killed, and another is paused
// for longer than its lease and resumed. Each result must be accepted once.
func TestBatchEntryFailures(t *testing.T) {
	s := newBatchSystem(t, 4, 6, 3)
	s.submitJob("books", 150, 300*time.Millisecond)
	eventually(t, "more than 20 tasks finished", func() bool { return s.getJob(s.entries[0], "books").FinishedTasks > 20 })
	_ = s.entries[1].cmd.Process.Kill()
	_ = s.entries[2].cmd.Process.Signal(syscall.SIGSTOP)
	eventually(t, "two members remaining", func() bool { return len(s.entries[0].status().Members) == 2 })
	_ = s.entries[2].cmd.Process.Signal(syscall.SIGCONT)
	s.awaitDoneOnce(s.entries[0], "books", 150)
}

// An operator evacuates a failure domain. No task may start there, the tasks that run there must be
// moved to other workers, and after the evacuation the domain must be used again.
func TestDomainOut(t *testing.T) {
	s := newBatchSystem(t, 3, 6, 3)
	s.submitJob("audits", 24, 4*time.Second)
	running := func(zone int) int {
		n := 0
		for i, addr := range s.workerAddrs {
			if i%3 == zone {
				var report struct{ Tasks []struct{ State string } }
				s.sendJSON(http.MethodGet, "http://"+addr+"/v1/report", nil, &report)
				for _, task := range report.Tasks {
					if task.State == "running" {
						n++
					}
				}
			}
		}
		return n
	}
	eventually(t, "tasks running in every failure domain", func() bool { return running(0) > 0 && running(1) > 0 && running(2) > 0 })
	s.runCommand(0, "domain", "out", "--admin", s.entries[2].adminAddr, zones[1])
	eventually(t, "no task running in the evacuated failure domain", func() bool { return running(1) == 0 })
	startsBefore := s.startsOnRack(1)
	s.submitJob("more", 12, 300*time.Millisecond)
	s.awaitDoneOnce(s.entries[1], "more", 12)
	s.awaitDoneOnce(s.entries[1], "audits", 24)
	if n := s.startsOnRack(1); n != startsBefore {
		t.Errorf("%d tasks were started in the evacuated failure domain", n-startsBefore)
	}
	s.runCommand(0, "domain", "back", "--admin", s.entries[0].adminAddr, zones[1])
	s.submitJob("again", 60, 300*time.Millisecond)
	s.awaitDoneOnce(s.entries[2], "again", 60)
	if s.startsOnRack(1) == startsBefore {
		t.Error("no task was started in the failure domain after the evacuation")
	}
}

// The store is unreachable for longer than every lease while a job runs. The tasks must continue,
// those that finish during the outage must be recorded once after it, and a job submitted during
// the outage must not be reported as accepted.
func TestBatchStoreOutage(t *testing.T) {
	s := newBatchSystem(t, 3, 6, 3)
	s.submitJob("audits", 12, 5*time.Second)
	eventually(t, "all tasks started", func() bool { starts, _ := s.workerCounts(); return len(starts) == 12 })
	s.setStoreDown(true)
	s.runCommand(4, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "audit", "late")
	finished := func() int {
		n := 0
		for _, addr := range s.workerAddrs {
			var report struct{ Tasks []struct{ State string } }
			s.sendJSON(http.MethodGet, "http://"+addr+"/v1/report", nil, &report)
			for _, task := range report.Tasks {
				if task.State == "finished" {
					n++
				}
			}
		}
		return n
	}
	eventually(t, "all tasks finished, their results not yet accepted", func() bool { return finished() == 12 })
	if _, accepted := s.workerCounts(); len(accepted) > 0 {
		t.Errorf("results were accepted before they were recorded: %v", accepted)
	}
	s.setStoreDown(false)
	s.awaitDoneOnce(s.entries[1], "audits", 12)
	if starts, _ := s.workerCounts(); len(starts) < 12 {
		t.Errorf("%d starts for 12 tasks", len(starts))
	}
	s.runCommand(0, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "audit", "late")
	s.awaitDoneOnce(s.entries[1], "late", 1)
}

// Operators change the configuration concurrently, and a sheet that is based on an older
// configuration is put after a change. Of conflicting changes one must win and the others must be
// answered with a conflict. No change may be reverted.
func TestConcurrentOperators(t *testing.T) {
	s := newBatchSystem(t, 3, 3, 3)
	s.runCommand(0, "domain", "out", "--admin", s.entries[0].adminAddr, zones[0])
	out := s.runCommand(3, "sheet", "put", "--admin", s.entries[1].adminAddr, "../../../examples/association.sheet.toml")
	if !strings.Contains(out, "drawn from configuration 0, in force is 2 (out: heredia)") {
		t.Errorf("the refusal does not say what has changed: %s", out)
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
			var config struct{ Num int }
			_ = json.NewDecoder(resp.Body).Decode(&config)
			results <- result{resp.StatusCode, config.Num}
		}()
	}
	highest := 0
	for range 6 {
		r := <-results
		if r.code != http.StatusOK && r.code != http.StatusConflict {
			t.Errorf("a concurrent change was answered with %d", r.code)
		}
		highest = max(highest, r.num)
	}
	eventually(t, "the same configuration in every entry process", func() bool {
		for _, e := range s.entries {
			if int(e.status().ConfigVersion) != highest || len(e.status().EvacuatedZones) < 2 {
				return false
			}
		}
		return true
	})
}

// An operator stops an entry process that owns racks and buckets with SIGTERM. Others must take
// them over while the tasks continue: no task may be evicted or started again.
func TestBatchGracefulStop(t *testing.T) {
	s := newBatchSystem(t, 3, 6, 3)
	s.submitJob("audits", 12, 4*time.Second)
	eventually(t, "all tasks started", func() bool { starts, _ := s.workerCounts(); return len(starts) == 12 })
	stopping := s.entries[1]
	_ = stopping.cmd.Process.Signal(syscall.SIGTERM)
	<-stopping.exited
	s.awaitDoneOnce(s.entries[0], "audits", 12)
	if starts, _ := s.workerCounts(); len(starts) != 12 {
		t.Errorf("%d starts for 12 tasks", len(starts))
	}
	if stopping.exitErr != nil {
		t.Errorf("the stopped process exited with %v", stopping.exitErr)
	}
}

// The store takes 250 ms for each call. Requests must be answered and jobs must finish, although
// they may start later.
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

// The store carries out many writes without answering them, while jobs run and an operator
// evacuates a failure domain. The entry processes must find out that each write took effect: no
// task may run twice, and no caller may get a conflict where there was none.
func TestStoreLosesAnswers(t *testing.T) {
	s := newBatchSystem(t, 3, 6, 3)
	loseAnswers := func(n int) {
		s.sendJSON(http.MethodPost, "http://"+s.storeAddr+"/fault", struct{ Lose int }{n}, nil)
	}
	loseAnswers(3)
	s.runCommand(0, "domain", "out", "--admin", s.entries[1].adminAddr, zones[2])
	for i := range 4 {
		loseAnswers(8)
		id := fmt.Sprint("audit-", i)
		s.submitJob(id, 10, 200*time.Millisecond)
		s.awaitDoneOnce(s.entries[2], id, 10)
	}
	if c := s.entries[0].status().ConfigVersion; c != 2 {
		t.Errorf("configuration %d after one sheet and one evacuation", c)
	}
}

// A worker fails with tasks on it, as some do every day. The tasks must run on other workers, and
// the job must finish.
func TestWorkerFailure(t *testing.T) {
	s := newBatchSystem(t, 3, 6, 3)
	s.submitJob("audits", 18, 2*time.Second)
	eventually(t, "more than 12 tasks started", func() bool { starts, _ := s.workerCounts(); return len(starts) > 12 })
	failedAddr := s.workerAddrs[0]
	for _, p := range s.processes {
		if strings.Contains(p.outputText(), failedAddr) && strings.Contains(p.cmd.String(), "standin worker") {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	s.workerAddrs = s.workerAddrs[1:]
	eventually(t, "the job done", func() bool { return s.getJob(s.entries[1], "audits").State == jobs.StateDone })
	_, accepted := s.workerCounts()
	for task, n := range accepted {
		if n != 1 {
			t.Errorf("the result of %s was accepted %d times", task, n)
		}
	}
}

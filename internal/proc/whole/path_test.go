package whole

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramleysail.example/bramleysail/internal/batch/jobs"
)

// A caller's request enters at any entry process, reaches a target, and its complete answer comes
// back. A repeat through another entry process must be answered but not run.
func TestRequestPath(t *testing.T) {
	s := newSystem(t)
	s.addTargets(3, 8, 5*time.Millisecond)
	for range 3 {
		s.addEntry()
	}
	s.putSheet()
	s.awaitOwnership()
	for i, e := range s.entries {
		a := postCheckin(e.callerAddr, "case-7", "bottle 7")
		if a.status != http.StatusOK || a.outcome != "done" || a.body != "POST /checkin bottle 7" {
			t.Errorf("answer of entry process %d: %+v", i, a)
		}
	}
	if stats := s.targetCounts(); stats.Total != 1 || stats.Twice != 0 {
		t.Errorf("three requests with one key: %+v", stats)
	}
	if a := postCheckin(s.entries[1].callerAddr, "case-7", "bottle 8"); a.status != http.StatusUnprocessableEntity {
		t.Errorf("the same key with another body: %+v", a)
	}
}

// Guards against a caller that repeats its request through another process, as its connection broke, and is sent away
// although the answer is on its way.
func TestRepeatWaitsForAnswer(t *testing.T) {
	s := newRequestSystem(t, 3, 3, 8, 300*time.Millisecond)
	first := make(chan answer)
	go func() { first <- postCheckin(s.entries[0].callerAddr, "case-7", "bottle 7") }()
	eventually(t, "the request at a target", func() bool { return s.targetCounts().Total == 1 })
	for i, e := range s.entries {
		if a := postCheckin(e.callerAddr, "case-7", "bottle 7"); a.status != http.StatusOK || a.body != "POST /checkin bottle 7" {
			t.Errorf("answer of entry process %d to the repeat: %+v", i, a)
		}
	}
	if a := <-first; a.status != http.StatusOK {
		t.Errorf("first answer: %+v", a)
	}
	if stats := s.targetCounts(); stats.Total != 1 {
		t.Errorf("%d runs, want 1", stats.Total)
	}
}

// A batch job is submitted through one entry process and again through others. It must run on the
// workers of racks that other entry processes own, too, and be recorded as finished once.
func TestJobPath(t *testing.T) {
	s := newSystem(t)
	s.addWorkers(4, 2)
	for range 3 {
		s.addEntry()
	}
	s.putSheet()
	for _, e := range s.entries {
		s.runCommand(0, "job", "submit", "--admin", e.adminAddr, "--kind", "audit", "--n", "20", "--run", "50ms", "audit-7")
	}
	eventually(t, "the job done", func() bool { return s.getJob(s.entries[1], "audit-7").State == jobs.StateDone })
	eventually(t, "every result accepted", func() bool { _, accepted := s.workerCounts(); return len(accepted) == 20 })
	starts, accepted := s.workerCounts()
	for task, n := range accepted {
		if n != 1 {
			t.Errorf("the result of %s was accepted %d times", task, n)
		}
	}
	if len(starts) != 20 {
		t.Errorf("%d starts for 20 tasks: %v", len(starts), starts)
	}
	s.runCommand(2, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "unheard-of", "x")
	s.runCommand(3, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "audit", "--n", "21", "audit-7")
}

// Operators remove a service from the sheet and declare it again later. In between, callers must be
// answered that the service is unknown. Afterwards its targets must be used as before, and no two
// entry processes may both assume that they own the same target.
func TestRedeclaredService(t *testing.T) {
	s := newRequestSystem(t, 2, 2, 3, time.Millisecond)
	putSheet := func(base int, declared bool) {
		data, err := os.ReadFile(filepath.Join(s.dir, "sheet.toml"))
		if err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(string(data), "base = 0", fmt.Sprint("base = ", base), 1)
		if !declared {
			text = strings.Replace(text, `name = "registro"`, `name = "another"`, 1)
		}
		file := filepath.Join(s.dir, fmt.Sprintf("sheet%d.toml", base))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.runCommand(0, "sheet", "put", "--admin", s.entries[0].adminAddr, file)
	}
	putSheet(1, false)
	for _, e := range s.entries {
		eventually(t, "the service unknown", func() bool { return postCheckin(e.callerAddr, "", "x").errorCode() == "unknown-service" })
	}
	putSheet(2, true)
	for _, e := range s.entries {
		eventually(t, "the service known", func() bool { return postCheckin(e.callerAddr, "", "x").status == http.StatusOK })
	}
	l := startLoad(s, 12)
	l.awaitAnswers(200)
	l.stop()
	l.checkAnswers(t)
}

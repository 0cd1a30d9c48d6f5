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

// The main job: a caller's request enters at any process, reaches a target and its
// whole answer comes back; a repeat through another process is answered but not run.
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
			t.Errorf("answer %d: %+v", i, a)
		}
	}
	if st := s.targetCounts(); st.Total != 1 || st.Twice != 0 {
		t.Errorf("three requests with one key: %+v", st)
	}
	if a := postCheckin(s.entries[1].callerAddr, "case-7", "bottle 8"); a.status != http.StatusUnprocessableEntity {
		t.Errorf("the same key with other content: %+v", a)
	}
}

// The other main job: a batch job submitted through one process, and again through
// another, runs on workers that others hold and is recorded as finished once.
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
	eventually(t, "every result let out", func() bool { _, accepts := s.workerCounts(); return len(accepts) == 20 })
	starts, accepts := s.workerCounts()
	for task, n := range accepts {
		if n != 1 {
			t.Errorf("task %s: its result went out %d times", task, n)
		}
	}
	if len(starts) != 20 {
		t.Errorf("%d starts for 20 tasks: %v", len(starts), starts)
	}
	s.runCommand(2, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "unheard-of", "x")
	s.runCommand(3, "job", "submit", "--admin", s.entries[0].adminAddr, "--kind", "audit", "--n", "21", "audit-7")
}

// Operators drop a service from the sheet and declare it again later. Callers are told
// in between that it isn't known; afterwards its targets are used as before, none of them
// by two processes that each think they own it.
func TestRedeclaredService(t *testing.T) {
	s := newRequestSystem(t, 2, 2, 3, time.Millisecond)
	put := func(base int, with bool) {
		data, err := os.ReadFile(filepath.Join(s.dir, "sheet.toml"))
		if err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(string(data), "base = 0", fmt.Sprint("base = ", base), 1)
		if !with {
			text = strings.Replace(text, `name = "registro"`, `name = "another"`, 1)
		}
		file := filepath.Join(s.dir, fmt.Sprintf("sheet%d.toml", base))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.runCommand(0, "sheet", "put", "--admin", s.entries[0].adminAddr, file)
	}
	put(1, false)
	for _, e := range s.entries {
		eventually(t, "the service unknown", func() bool { return postCheckin(e.callerAddr, "", "x").errorCode() == "unknown-service" })
	}
	put(2, true)
	for _, e := range s.entries {
		eventually(t, "the service known", func() bool { return postCheckin(e.callerAddr, "", "x").status == http.StatusOK })
	}
	l := startLoad(s, 12)
	l.awaitAnswers(200)
	l.stop()
	l.checkAnswers(t)
}

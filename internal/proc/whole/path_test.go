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
func TestPath(t *testing.T) {
	s := newSystem(t)
	s.addTargets(3, 8, 5*time.Millisecond)
	for range 3 {
		s.addEntry()
	}
	s.putSheet()
	s.settle()
	for i, e := range s.entries {
		a := post(e.caller, "case-7", "bottle 7")
		if a.status != http.StatusOK || a.outcome != "done" || a.body != "POST /checkin bottle 7" {
			t.Errorf("answer %d: %+v", i, a)
		}
	}
	if st := s.stats(); st.Total != 1 || st.Twice != 0 {
		t.Errorf("three requests with one key: %+v", st)
	}
	if a := post(s.entries[1].caller, "case-7", "bottle 8"); a.status != http.StatusUnprocessableEntity {
		t.Errorf("the same key with other content: %+v", a)
	}
}

// The other main job: a batch job submitted through one process, and again through
// another, runs on workers that others hold and is recorded as finished once.
func TestBatchPath(t *testing.T) {
	s := newSystem(t)
	s.addWorkers(4, 2)
	for range 3 {
		s.addEntry()
	}
	s.putSheet()
	for _, e := range s.entries {
		s.run(0, "job", "submit", "--admin", e.admin, "--kind", "audit", "--n", "20", "--run", "50ms", "audit-7")
	}
	eventually(t, "the job done", func() bool { return s.job(s.entries[1], "audit-7").State == jobs.StateDone })
	eventually(t, "every result let out", func() bool { _, accepts := s.work(); return len(accepts) == 20 })
	starts, accepts := s.work()
	for task, n := range accepts {
		if n != 1 {
			t.Errorf("task %s: its result went out %d times", task, n)
		}
	}
	if len(starts) != 20 {
		t.Errorf("%d starts for 20 tasks: %v", len(starts), starts)
	}
	s.run(2, "job", "submit", "--admin", s.entries[0].admin, "--kind", "unheard-of", "x")
	s.run(3, "job", "submit", "--admin", s.entries[0].admin, "--kind", "audit", "--n", "21", "audit-7")
}

// Operators drop a service from the sheet and declare it again later. Callers are told
// in between that it isn't known; afterwards its targets are used as before, none of them
// by two processes that each think they own it.
func TestRedeclared(t *testing.T) {
	s := small(t, 2, 2, 3, time.Millisecond)
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
		s.run(0, "sheet", "put", "--admin", s.entries[0].admin, file)
	}
	put(1, false)
	for _, e := range s.entries {
		eventually(t, "the service unknown", func() bool { return post(e.caller, "", "x").code() == "unknown-service" })
	}
	put(2, true)
	for _, e := range s.entries {
		eventually(t, "the service known", func() bool { return post(e.caller, "", "x").status == http.StatusOK })
	}
	l := startLoad(s, 12)
	l.more(200)
	l.end()
	l.check(t)
}

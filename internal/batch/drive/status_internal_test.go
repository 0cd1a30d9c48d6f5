package drive

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	tally "github.com/uber-go/tally/v4"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// Guards against a holder that refuses jobs without a word to operators, or with a line for each second in which it does.
func TestRefusalsAreLogged(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	scope := tally.NewTestScope("", nil)
	h := &Holder{log: log}
	s := newStatusReporter(scope)
	refusedAt := time.Unix(1000, 0)
	for i, refusing := range []bool{false, true, true, true, false, false} {
		s.reportMemory(h, memoryGuard{refusing: refusing, level: float64(i)})
		s.logRefusing(h, refusedAt.Add(time.Duration(i)*statusInterval), refusedAt, sched.Stats{HeldTasks: 7})
	}
	want := []string{
		`"msg"="starts behind" "now"=true "tasks"=7`, `"msg"="memory short" "now"=true`,
		`"msg"="starts behind" "now"=false`, `"msg"="memory short" "now"=false`,
	}
	if len(lines) != len(want) {
		t.Fatalf("%d lines, want %d:\n%s", len(lines), len(want), strings.Join(lines, "\n"))
	}
	for i, line := range lines {
		if !strings.Contains(line, want[i]) {
			t.Errorf("line %d is %s, want %s", i, line, want[i])
		}
	}
	if got := scope.Snapshot().Gauges()["memory_level+"].Value(); got != 5 {
		t.Errorf("gauge of the memory level is %v, want 5", got)
	}
}

// Guards against refusals that are counted under another cause, or not at all.
func TestRefusalsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	a := newAdmission(Options{Scope: scope})
	for n, cause := range refusalCauses {
		for range n + 1 {
			a.refuse(cause, "", time.Second)
		}
	}
	for n, cause := range refusalCauses {
		if got := scope.Snapshot().Counters()["refusals+cause="+string(cause)].Value(); got != int64(n+1) {
			t.Errorf("%d refusals by %s are counted, want %d", got, cause, n+1)
		}
	}
}

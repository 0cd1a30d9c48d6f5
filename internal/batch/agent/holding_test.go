package agent

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an agent whose loss costs its workers their leases, or makes a task run twice: its polls and starts are
// in flight as its connections break, or as its process freezes, which carries out seconds later what it has received.
func TestAgentLostWithCallsInFlight(t *testing.T) {
	for _, tt := range []struct {
		name   string
		frozen bool
	}{{"connections broken", false}, {"frozen for a while", true}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const workers, tasks = 20, 60
				h := startHolding(t, workers, 8, time.Hour)
				h.submit("a", tasks, true)
				lost := h.awaitStart()
				if tt.frozen {
					lost.freeze()
				} else {
					lost.lose()
				}
				h.submit("b", tasks, true)
				time.Sleep(4 * time.Second)
				if tt.frozen {
					lost.thaw()
				}
				time.Sleep(8 * time.Second)
				if n := h.workers.RunningCount(); n != 2*tasks {
					t.Errorf("%d tasks run, want %d", n, 2*tasks)
				}
				if n, all := h.client.logged(`"msg"="agent lost" "agent"="`+lost.addr+`"`), h.client.logged(`"msg"="agent lost"`); n == 0 || n != all {
					t.Errorf("%s lost %d times, all agents %d times", lost.addr, n, all)
				}
				if n := h.client.logged(`"msg"="contact"`); n != 0 {
					t.Errorf("%d workers lost contact", n)
				}
				h.check()
				h.stop()
			})
		})
	}
}

// Guards against a worker that restarts while an agent is frozen with a poll and starts for its former incarnation. The
// agent must not carry them out later: the new incarnation would forget its ends and run tasks that run elsewhere.
func TestWorkerRestartsBehindFrozenAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, tasks = 10, 40
		h := startHolding(t, workers, 4, 3*time.Second)
		for _, a := range h.client.agents {
			a.freeze()
		}
		h.submit("a", tasks, false)
		time.Sleep(2 * time.Second) // the holder calls directly
		for _, m := range h.workers.Members() {
			h.workers.Crash(m.ID)
		}
		for _, a := range h.client.agents {
			a.thaw()
		}
		time.Sleep(40 * time.Second)
		if n := len(h.workers.Starts()); n != tasks {
			t.Errorf("%d tasks were started, want %d", n, tasks)
		}
		for _, violation := range h.workers.Violations() {
			t.Error(violation)
		}
		if n := h.workers.RunningCount(); n != 0 {
			t.Errorf("%d tasks still run", n)
		}
		h.stop()
	})
}

package agent

import (
	"fmt"
	"testing"
	"time"
)

func TestAgentCount(t *testing.T) {
	for _, tt := range []struct {
		name                       string
		present, workers, capacity int
		want                       int
	}{
		{"capacity for all", 0, 108, 108, 0},
		{"capacity not known", 0, 1000, 0, 0},
		{"no worker", 0, 0, 108, 0},
		{"one more than the capacity", 0, 109, 108, 1},
		{"many workers", 0, 1002, 108, 4},
		{"more workers", 4, 1100, 108, 5},
		{"slightly fewer", 5, 1050, 108, 5},
		{"clearly fewer", 5, 900, 108, 4},
		{"slightly fewer than the capacity", 1, 100, 108, 1},
		{"clearly fewer than the capacity", 1, 90, 108, 0},
	} {
		if got := agentCount(tt.present, tt.workers, tt.capacity); got != tt.want {
			t.Errorf("%s: %d agents, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against answers that all count as late at the start limiter because of the pauses between batches.
func TestBatchPause(t *testing.T) {
	for n, want := range map[int]time.Duration{1: 5 * time.Millisecond, 4: 20 * time.Millisecond, 10: maxBatchPause, 100: maxBatchPause} {
		if got := batchPause(n); got != want {
			t.Errorf("%d agents: pause %s, want %s", n, got, want)
		}
	}
}

// Guards against the loss of one agent that moves the workers of others too, which then need new connections.
func TestWorkersStayWithTheirAgents(t *testing.T) {
	const workers = 1000
	var agents []*clientSession
	addrs := map[string]bool{}
	for i := range 20 {
		addrs[fmt.Sprintf("10.0.0.%d:7000", i)] = true
	}
	for addr := range topRanked(addrs, 5) {
		agents = append(agents, &clientSession{addr: addr, state: stateOpen})
	}
	sortByRank(agents)
	before, load := map[string]*clientSession{}, map[*clientSession]int{}
	for i := range workers {
		w := fmt.Sprintf("w%d", i)
		before[w] = preferred(agents, w)
		load[before[w]]++
	}
	for _, r := range agents {
		if n := load[r]; n < workers/5*7/10 || n > workers/5*13/10 {
			t.Errorf("%s has %d of %d workers", r.addr, n, workers)
		}
	}
	agents[2].state = stateEnded
	for w, former := range before {
		if now := preferred(agents, w); now == agents[2] || former != agents[2] && now != former {
			t.Errorf("%s moved from %s to %s", w, former.addr, now.addr)
		}
	}
	delete(addrs, agents[2].addr)
	for _, r := range agents {
		if r != agents[2] && !topRanked(addrs, 5)[r.addr] {
			t.Errorf("%s isn't chosen any more", r.addr)
		}
	}
}

package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// testCandidates returns n candidates with the given limits.
func testCandidates(name string, n int, l Limits) []Candidate {
	var all []Candidate
	for i := range n {
		all = append(all, Candidate{fmt.Sprintf("%s%d:7000", name, i), l})
	}
	return all
}

func TestAgentCount(t *testing.T) {
	unknown := testCandidates("10.0.0.", 20, Limits{})
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
		if got := agentCount(tt.present, unknown, Demand{Workers: tt.workers, Capacity: tt.capacity}); got != tt.want {
			t.Errorf("%s: %d agents, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against one agent on a narrow link that carries all starts because agents are provided by the number of workers.
func TestAgentsCarryStarts(t *testing.T) {
	narrow, wide := Limits{Cores: 0.2, LinkMbps: 20, Conns: 3000}, Limits{Cores: 0.8, LinkMbps: 200, Conns: 6000}
	slowLink := Limits{Cores: 0.8, LinkMbps: 2, Conns: 6000}
	many := append(testCandidates("n", 100, narrow), testCandidates("w", 14, wide)...)
	for _, tt := range []struct {
		name       string
		present    int
		candidates []Candidate
		demand     Demand
		own        Limits
		capacity   int
		least, max int
	}{
		{"few starts", 0, many, Demand{Workers: 1100, Starts: 100}, wide, 666, 1, 1},
		{"many starts", 0, many, Demand{Workers: 1100, Starts: 3300, SpecBytes: 500}, wide, 666, 3, 8},
		{"four times as many", 0, many, Demand{Workers: 1100, Starts: 13200, SpecBytes: 500}, wide, 666, 12, 32},
		{"narrow hosts only", 0, many[:100], Demand{Workers: 1100, Starts: 3300, SpecBytes: 500}, wide, 666, 11, 33},
		{"slow links", 0, testCandidates("s", 24, slowLink), Demand{Workers: 120, Starts: 360, SpecBytes: 500}, slowLink, 100, 5, 15},
		{"capacity for the workers, not for their starts", 0, many, Demand{Workers: 400, Starts: 2000, SpecBytes: 500}, narrow, 500, 1, 5},
		{"capacity for all", 0, many, Demand{Workers: 48, Starts: 150, SpecBytes: 500}, wide, 666, 0, 0},
		{"slightly fewer starts", 6, many, Demand{Workers: 1100, Starts: 3000, SpecBytes: 500}, wide, 666, 4, 6},
		{"clearly fewer starts", 6, many, Demand{Workers: 1100, Starts: 300, SpecBytes: 500}, wide, 666, 1, 2},
		{"all carry too little", 0, many[:2], Demand{Workers: 1100, Starts: 3300, SpecBytes: 500}, wide, 666, 3, 40},
	} {
		t.Run(tt.name, func(t *testing.T) {
			candidates := slices.Clone(tt.candidates)
			sortByRank(candidates)
			tt.demand.Own, tt.demand.Capacity = tt.own, tt.capacity
			got := agentCount(tt.present, candidates, tt.demand)
			if got < tt.least || got > tt.max {
				t.Errorf("%d agents, want %d to %d", got, tt.least, tt.max)
			}
			for _, c := range candidates[:min(got, len(candidates))] {
				if len(tt.candidates) > 100 && got <= 14 && c.Limits != wide {
					t.Errorf("%s is chosen before a host with higher limits", c.Addr)
				}
			}
		})
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
	wide := Limits{Cores: 0.8, LinkMbps: 200}
	for _, tt := range []struct {
		name       string
		candidates []Candidate
	}{
		{"limits not known", testCandidates("10.0.0.", 20, Limits{})},
		{"the same limits", testCandidates("10.0.0.", 20, wide)},
		{"one has twice the limits", append(testCandidates("10.0.0.", 19, wide), Candidate{"10.0.1.1:7000", Limits{Cores: 1.6, LinkMbps: 400}})},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sortByRank(tt.candidates)
			var agents []*clientSession
			total := 0.0
			for _, c := range tt.candidates[:5] {
				weight := c.Limits.weight()
				agents = append(agents, &clientSession{addr: c.Addr, weight: weight, state: stateOpen})
				total += max(weight, 1)
			}
			before, load := map[string]*clientSession{}, map[*clientSession]int{}
			for i := range workers {
				w := fmt.Sprintf("w%d", i)
				before[w] = preferred(agents, w)
				load[before[w]]++
			}
			for _, r := range agents {
				fair := workers * max(r.weight, 1) / total
				if n := float64(load[r]); n < fair*7/10 || n > fair*13/10 {
					t.Errorf("%s has %v of %d workers, its share are %v", r.addr, n, workers, fair)
				}
			}
			agents[2].state = stateEnded
			for w, former := range before {
				if now := preferred(agents, w); now == agents[2] || former != agents[2] && now != former {
					t.Errorf("%s moved from %s to %s", w, former.addr, now.addr)
				}
			}
			rest := slices.DeleteFunc(slices.Clone(tt.candidates), agents[2].isWith)
			sortByRank(rest)
			for _, r := range agents {
				if r != agents[2] && !slices.ContainsFunc(rest[:5], r.isWith) {
					t.Errorf("%s isn't chosen any more", r.addr)
				}
			}
		})
	}
}

package front

import (
	"time"

	"bramleysail.example/bramleysail/internal/base/wait"
	"bramleysail.example/bramleysail/internal/batch/agent"
	"bramleysail.example/bramleysail/internal/ctrl/lead"
)

const (
	// firstAgentChoice is how long a new holder hears its followers before it chooses agents. They send their first
	// heartbeats as soon as they know of it.
	firstAgentChoice = 150 * time.Millisecond
	// agentCheckInterval is the interval at which the holder chooses its agents.
	agentCheckInterval = 300 * time.Millisecond
	// agentHeardWithin is how long ago the last heartbeat of a new agent may be.
	agentHeardWithin = 3 * heartbeatInterval
)

// chooseAgents keeps the holder's agents up to date until the tenure ends, and waits for the end of the sessions.
func (p *Process) chooseAgents(t *lead.Tenure, c *agent.Client) {
	defer c.Wait()
	delay := firstAgentChoice
	if !needsAgents(t.Load(), p.agentCapacity()) {
		delay = 0
	}
	for wait.For(t.Context(), delay) {
		delay = agentCheckInterval
		now := time.Now()
		c.Update(now, p.monitor.heardSince(now.Add(-agentHeardWithin)), p.workerCount(t), p.agentCapacity())
	}
}

// needsAgents reports whether there are more workers than the capacity, if that is known.
func needsAgents(workers, capacity int) bool { return capacity > 0 && workers > capacity }

// agentCapacity returns how many workers a holder with this process's limits can call by itself. A slowdown of the
// machine, which passes, doesn't change the agents.
func (p *Process) agentCapacity() int { return workerCapacity(p.settings.Limit, 1) }

// workerCount returns the number of workers, as the former holder has stored it until this one has read the directory.
func (p *Process) workerCount(t *lead.Tenure) int {
	if h := p.forwarder.localHolder(); h != nil {
		return max(h.TrackedWorkerCount(), 0)
	}
	return t.Load()
}

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
	// firstStartRate is the number of starts a second for each worker that a holder expects in its firstStartPeriod.
	firstStartRate   = 1
	firstStartPeriod = 30 * time.Second
)

// chooseAgents keeps the holder's agents up to date until the tenure ends, and waits for the end of the sessions.
func (p *Process) chooseAgents(t *lead.Tenure, c *agent.Client) {
	defer c.Wait()
	delay := firstAgentChoice
	if !p.agentDemand(t).AgentsNeeded() {
		delay = 0
	}
	for wait.For(t.Context(), delay) {
		delay = agentCheckInterval
		now := time.Now()
		c.Update(now, p.monitor.heardSince(now.Add(-agentHeardWithin)), p.agentDemand(t))
	}
}

// agentDemand returns the load of the calls to workers. The number of workers is that which the former holder has stored
// until this one has read the directory. A slowdown of the machine, which passes, doesn't change the agents.
func (p *Process) agentDemand(t *lead.Tenure) agent.Demand {
	d := agent.Demand{Workers: t.Load(), Capacity: workerCapacity(p.settings.Limit, 1), Own: agentLimits(p.settings.Limit)}
	h := p.forwarder.localHolder()
	if h != nil {
		starts := h.StartDemand()
		d.Workers, d.Starts, d.SpecBytes = max(h.TrackedWorkerCount(), 0), starts.Rate, starts.SpecBytes
	}
	if d.Workers > d.Capacity && time.Since(t.ClaimedAt()) < firstStartPeriod {
		d.Starts = max(d.Starts, firstStartRate*float64(d.Workers))
	}
	return d
}

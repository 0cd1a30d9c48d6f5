package agent

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

const (
	// maxReopenWait is how long calls wait for agents that are opened again after all of them fell silent.
	maxReopenWait = 400 * time.Millisecond
	// maxQuiet is the longest time between two replies of an agent without delays.
	maxQuiet = receiveTimeout + readGrace
	// maxSilence is the time after which all agents that were found silent have replied or were lost.
	maxSilence = receiveTimeout + agentTimeout + readGrace
	// lostAgentCooldown is how long an agent that was lost or stops isn't chosen again.
	lostAgentCooldown = 5 * time.Second
	// refusedAgentCooldown is the same for one of an older build, which lacks the service.
	refusedAgentCooldown = time.Minute
)

// Update chooses the agents among the candidates, as many as the demand needs. If this process has the capacity for it, or
// its capacity isn't known, all calls are made directly.
func (c *Client) Update(now time.Time, candidates []Candidate, d Demand) {
	c.mu.Lock()
	c.heardOf, c.demand = candidates, d
	change := c.updateAgents(now)
	if change.started || len(change.removed) > 0 {
		c.lanesVersion++
	}
	if change.wanted == 0 {
		c.closeReady()
	}
	c.mu.Unlock()
	change.finish(c.opts.Log.WithValues("workers", d.Workers, "carries", d.Capacity, "starts", int(d.Starts)))
	c.updateGauge()
}

// agentChange is a change of the agents.
type agentChange struct {
	wanted  int
	chosen  []string         // addresses of the agents from now on
	started bool             // sessions have been started
	removed []*clientSession // sessions to be ended
}

// updateAgents starts sessions with the agents that are to be used, and forgets the others. The caller holds c.mu, and
// passes the change to finish when it has released it.
func (c *Client) updateAgents(now time.Time) agentChange {
	for _, until := range []map[string]time.Time{c.excludedUntil, c.avoidedUntil, c.directUntil, c.agentsUntil} {
		deletePassed(until, now)
	}
	chosen := c.choose()
	change := agentChange{wanted: c.agentsWanted}
	var kept []*clientSession
	for _, s := range c.sessions {
		switch {
		case s.currentState() >= stateDraining:
		case !slices.ContainsFunc(chosen, s.isWith):
			change.removed = append(change.removed, s)
		default:
			kept = append(kept, s)
		}
	}
	var sessions []*clientSession
	for _, candidate := range chosen {
		i := slices.IndexFunc(kept, func(s *clientSession) bool { return s.isWith(candidate) })
		if i >= 0 {
			sessions = append(sessions, kept[i])
			continue
		}
		change.started = true
		sessions = append(sessions, c.start(candidate))
	}
	c.sessions = sessions
	for _, s := range sessions {
		s.pause.Store(int64(batchPause(len(sessions))))
		change.chosen = append(change.chosen, s.addr)
	}
	return change
}

// finish ends the sessions with agents that are no longer used, and logs the change if there is one.
func (change agentChange) finish(log logr.Logger) {
	for _, s := range change.removed {
		s.drain()
	}
	if change.started || len(change.removed) > 0 {
		log.Info("agents", "wanted", change.wanted, "chosen", strings.Join(change.chosen, ","))
	}
}

// updateGauge updates the gauge of the agents that take calls.
func (c *Client) updateGauge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.Scope.Gauge("agents").Update(float64(openCount(c.sessions)))
}

// deletePassed deletes the entries whose time has passed.
func deletePassed(until map[string]time.Time, now time.Time) {
	for key, t := range until {
		if !now.Before(t) {
			delete(until, key)
		}
	}
}

// choose returns the agents among those last heard of and the present ones, the highest rank first: a session shows more
// reliably than heartbeats that an agent is there. The caller holds c.mu.
func (c *Client) choose() []Candidate {
	byAddr := map[string]Candidate{}
	for _, s := range c.sessions {
		if s.currentState() < stateDraining {
			byAddr[s.addr] = s.candidate()
		}
	}
	for _, candidate := range c.heardOf {
		byAddr[candidate.Addr] = candidate
	}
	for addr := range c.excludedUntil {
		delete(byAddr, addr)
	}
	candidates := slices.Collect(maps.Values(byAddr))
	sortByRank(candidates)
	avoided := func(candidate Candidate) int {
		if _, ok := c.avoidedUntil[candidate.Addr]; ok {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(avoided(a), avoided(b)) })
	c.agentsWanted = agentCount(c.agentsWanted, candidates, c.demand)
	return candidates[:min(c.agentsWanted, len(candidates))]
}

// start begins a session with an agent. The caller holds c.mu.
func (c *Client) start(candidate Candidate) *clientSession {
	s := newClientSession(c.ctx, candidate, c.dial(candidate.Addr), ownLink{c.opts.LinkMbps, c.opts.ReceivedBytes}, c)
	c.wg.Go(func() {
		s.run()
		<-s.ctx.Done() // when sessionEnded has returned
		c.replaceSilent(s)
	})
	return s
}

// sessionOpened implements sessionObserver.
func (c *Client) sessionOpened(*clientSession) {
	c.mu.Lock()
	c.checkReady()
	c.mu.Unlock()
	c.updateGauge()
}

// sessionDraining implements sessionObserver. An agent that is still chosen stops, and isn't chosen again for a while.
func (c *Client) sessionDraining(s *clientSession) {
	c.mu.Lock()
	c.checkReady()
	stops := slices.Contains(c.sessions, s)
	if stops {
		c.excludedUntil[s.addr] = time.Now().Add(lostAgentCooldown)
	}
	c.mu.Unlock()
	if stops {
		c.opts.Log.Info("agent stops", "agent", s.addr)
	}
	c.updateGauge()
}

// sessionEnded implements sessionObserver.
func (c *Client) sessionEnded(s *clientSession, cause error) {
	c.mu.Lock()
	c.checkReady()
	how := ""
	if cause != nil {
		how = c.handleLoss(s, cause)
	}
	c.mu.Unlock()
	switch {
	case how == "":
	case isStopping(cause):
		c.opts.Log.Info("agent stops", "agent", s.addr)
	default:
		c.opts.Log.Info("agent lost", "agent", s.addr, "how", how, "cause", cause.Error())
		c.opts.Scope.Tagged(map[string]string{"how": how}).Counter("agents_lost").Inc(1)
	}
	c.updateGauge()
}

// handleLoss makes other agents be chosen and returns how the agent was lost. The caller holds c.mu.
func (c *Client) handleLoss(s *clientSession, cause error) string {
	switch {
	case lacksService(cause):
		c.excludedUntil[s.addr] = time.Now().Add(refusedAgentCooldown)
		return "refused"
	case errors.Is(cause, errNoReply) && (c.othersQuiet(s) || c.inSilence(s)):
		c.handleSilence(s)
		return "silent"
	}
	c.excludedUntil[s.addr] = time.Now().Add(lostAgentCooldown)
	return "lost"
}

// checkReady is called after a change of the agents that take calls. It lets calls go on if agents take them and no other
// agent is about to. The caller holds c.mu.
func (c *Client) checkReady() {
	c.lanesVersion++
	if openCount(c.responsive()) > 0 && !c.opening() {
		c.closeReady()
	}
}

// openCount returns the number of sessions that take calls.
func openCount(sessions []*clientSession) int {
	n := 0
	for _, s := range sessions {
		if s.currentState() == stateOpen {
			n++
		}
	}
	return n
}

// opening reports whether an agent hasn't answered yet. The caller holds c.mu.
func (c *Client) opening() bool {
	return slices.ContainsFunc(c.sessions, func(s *clientSession) bool { return s.currentState() == stateOpening })
}

// responsive returns the sessions without those that have not been answered since before all agents were found silent. The
// caller holds c.mu.
func (c *Client) responsive() []*clientSession {
	if time.Since(c.silentAt) > maxSilence {
		return c.sessions
	}
	var sessions []*clientSession
	for _, s := range c.sessions {
		if s.lastReplyAt().After(c.silentAt.Add(-maxQuiet)) {
			sessions = append(sessions, s)
		}
	}
	return sessions
}

// othersQuiet reports whether no other agent replies either, which speaks for a delay of this process rather than for the
// loss of an agent. The caller holds c.mu.
func (c *Client) othersQuiet(s *clientSession) bool {
	for _, other := range c.sessions {
		if at := other.lastReplyAt(); other != s && !at.IsZero() && time.Since(at) <= maxQuiet {
			return false
		}
	}
	return true
}

// inSilence reports whether a session hasn't been answered since all agents were last found silent, and was open then or
// started soon after. The caller holds c.mu.
func (c *Client) inSilence(s *clientSession) bool {
	return s.lastReplyAt().Before(c.silentAt) && s.startedAt.Sub(c.silentAt) < maxSilence
}

// handleSilence prepares the replacement of a silent agent that is perhaps not lost. The caller holds c.mu.
//
// The exclusion of all agents would leave the calls to a holder without the capacity for them, just when it is short of
// processor time. The same agents are used again, unless one doesn't reply the second time or is the only one: then others
// come first.
func (c *Client) handleSilence(s *clientSession) {
	replied := !s.lastReplyAt().IsZero()
	s.silent = true
	only := !slices.ContainsFunc(c.sessions, func(other *clientSession) bool { return other.addr != s.addr })
	if !replied || only {
		c.avoidedUntil[s.addr] = time.Now().Add(lostAgentCooldown)
	}
	if now := time.Now(); replied && now.Sub(c.silentAt) > agentTimeout {
		c.silentAt = now
		c.holdCalls()
	}
}

// holdCalls makes calls wait for agents, maxReopenWait at most. The caller holds c.mu.
func (c *Client) holdCalls() {
	c.closeReady()
	c.agentsReady = make(chan struct{})
	c.limitWait(c.agentsReady, maxReopenWait)
}

// replaceSilent starts another session in place of one that has ended by handleSilence.
func (c *Client) replaceSilent(s *clientSession) {
	c.mu.Lock()
	if !s.silent || c.ctx.Err() != nil {
		c.mu.Unlock()
		return
	}
	change := c.updateAgents(time.Now())
	c.mu.Unlock()
	change.finish(c.opts.Log)
}

// limitWait closes ready, unless that has been done, after d or when the client's context ends.
func (c *Client) limitWait(ready chan struct{}, d time.Duration) {
	ctx, cancel := context.WithTimeout(c.ctx, d)
	context.AfterFunc(ctx, func() {
		cancel()
		c.endWait(ready)
	})
}

// endWait lets the calls go on that wait for ready, unless others wait for a later one.
func (c *Client) endWait(ready chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.agentsReady == ready {
		c.closeReady()
	}
}

// closeReady lets the calls go on that wait for agents. The caller holds c.mu.
func (c *Client) closeReady() {
	select {
	case <-c.agentsReady:
	default:
		close(c.agentsReady)
	}
}

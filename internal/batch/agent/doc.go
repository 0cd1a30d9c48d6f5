// Package agent spreads the holder's calls to workers over other entry processes, its agents. A Client collects the
// calls of the holder and sends them in batches; a Service on each agent makes them and returns the outcomes in batches.
// Each pair has a session, with a clientSession as the holder's half and a serviceSession as the agent's. All decisions
// stay with the holder.
package agent

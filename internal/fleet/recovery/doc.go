// Package recovery decides how one agent returns to service after an outage of the whole fleet of servers, such as a loss of power: what
// of its earlier knowledge it uses, which server it tries first, and how many requests of which class it admits.
//
// # Phases
//
//	FullService    all requests pass to the next Admitter; the agent averages what is usual, for a later recovery
//	NoEndpoints    no server is known: requests are rejected
//	PollingPeers   servers are known from before; other agents are asked what they know of them
//	TrialRequests  single requests go to servers that the agent chooses, spread over the agents, until one answers
//	TopPriority    requests are admitted at a limited rate, the class of the highest priority first
//	Ramping        the highest class has what it asks for; the others follow as capacity returns
//
// The order is from NoEndpoints down to Ramping and then FullService; Start enters one of the first three, and a fleet that is seen to go
// down in FullService enters TrialRequests.
//
// # Why cold servers aren't overloaded
//
// A server that has just started serves a part of its capacity (Options.ColdCapacityRatio) and fails above a multiple of that
// (ColdOverloadFactor). While the fleet is cold each agent admits at most half of
//
//	ColdOverloadFactor * s / u
//
// of the rate at which it was served itself before, where s is the part of its capacity that a server has at least so long after its start
// and u how busy servers were then. Before the outage the sum of these rates over all agents was u times the capacity, so that now the sum
// is at most half of what overloads the fleet. An agent that remembers no rate goes by the first attempts that it is asked for, which add
// up to the same while clients ask as before. No message of another agent enters that sum, so that it holds for a partitioned fleet too.
// Only the agent's own answers raise s: a server's report says what it can do now.
//
// # Use
//
// The Controller stands where the engine asks whether to admit a request (Arrive and Done). The engine also reports changes of its endpoint
// list (UpdateServer, then ListApplied), the result of each attempt (ObserveAttempt), what other agents say (PeerReportsResponding,
// SetLiveAgents) and calls Tick now and then. All calls come from the engine's goroutine. The package does no I/O and reads no clock: times
// are parameters, on the agent's monotonic clock.
package recovery

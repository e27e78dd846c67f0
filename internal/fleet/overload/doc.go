// Package overload lets the agents of one fleet shed load and limit retries as one, by what all of them observe.
//
// Each agent alone sees few requests and few servers' reports, and learns of an overload late. So the agents tell each other, in payloads
// that package gossip carries:
//
//   - a LoadDigest of what each agent is asked for and admits;
//   - a LoadReport of what a server last said of its utilization and capacity;
//   - an Observation that a server doesn't serve an agent.
//
// A FleetView puts these together. From it the AdmissionController makes a plan some twenty times a second: the fleet's demand, the
// capacity of the servers, the rate that the fleet may admit, and for each class of requests the probability to be admitted. The rate is
// filled in the order of the classes' priority; within a class tenants within their quota come before those over it, and first attempts
// before clients' retries. As all agents make nearly the same plan, each applies it to its own requests without agreeing on anything.
//
// # What protects an agent from the others
//
// What others say makes an agent reject more at once, but only while its own answers, if it has any, show busy servers too. That it may
// admit more has to be confirmed by its own answers. What one agent claims, for itself or in another's name, counts up to a bound. With
// little known of the fleet, or without an own answer, the agent decides by its local admission.Controller, as it would alone: the plan
// applies to a part of the requests, by how far the view is trusted.
//
// # Use
//
// The engine asks Arrive and Done for each request and AllowsRetry before an attempt beyond a request's first, and reports attempts, changes
// of its endpoint list and payloads of other agents. The agent calls NextPayload some twenty times a second and sends the result. All calls
// come from the engine's goroutine. The package does no I/O and reads no clock: times are parameters, on the agent's monotonic clock.
package overload

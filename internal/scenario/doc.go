// Package scenario runs an emulated fleet, its endpoint list, agents and clients, and reports how the clients fared.
//
// A script (Script) names the fleet, the traffic, the events and the assertions. It runs in one of two ways: Simulate uses
// the real engine and balancer in simulated time, and equal seeds give byte-equal reports; LiveRunner starts agents as
// processes and emulated servers on loopback sockets. Both share scenarioRun, which executes events on an environment.
// The result is a Report, written as text, JSON or HTML. Quickstart is a small fleet with one agent and no events.
//
// The report counts violations of four rules: every request gets exactly one final answer by its deadline (1), no
// idempotency key runs twice (2), a draining server gets no new requests after its grace period (3), and no server that
// is warming up is overloaded until it collapses (4).
package scenario

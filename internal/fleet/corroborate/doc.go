// Package corroborate decides how far an agent trusts what other agents observed about servers.
//
// An agent learns from gossip (package gossip) that a server is draining before its own endpoint list says so, because another agent's
// list was updated earlier. Acting on that saves requests; acting on it without limits would let one faulty or compromised agent take
// servers away from everybody. The rules are:
//
//   - A remote observation may make the agent more careful at once, within limits: a server that is reported as draining is excluded,
//     but one agent can exclude at most a tenth of the servers and all agents together at most a third.
//   - What would make the agent bolder needs confirmation by its own endpoint list or its own answers. A report that a server responds
//     only says which server to try next; see package recovery.
//   - No server is used that the agent's own list has not named.
//   - A report expires. Repeating it doesn't prolong it, and what the agent's own list says later than the report ends it.
//
// # Use
//
// The engine calls Observe for each observation that it receives, MarkReady, Forget and SetConfirmedListSize or SetCachedListSize as its
// own list changes, and Recompute after each of these and a few times a second. Recompute returns the servers to treat as draining.
//
// The package does no I/O, starts no goroutine and reads no clock: every time is a parameter, on the agent's monotonic clock.
package corroborate

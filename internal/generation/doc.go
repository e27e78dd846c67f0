// Package generation holds the fleet configuration that is in force and changes it as transactions.
//
// A configuration (package fleetconfig) that is in force under a number is a generation. A change goes through these states:
//
//	compiled ─Stage─▶ staged ─Switch─▶ active and watched ─▶ promoted
//	                    │                     ├─ harm found ─▶ rolled back, and its hash blocked
//	                    └─Unstage             └─ Rollback ───▶ rolled back by an operator
//
// Compile prepares a configuration in another goroutine than the engine's, as it may take hundreds of milliseconds. Switch puts it in force at one
// instant: a request that arrives before it ends under the old generation, one that arrives after it belongs to the new one. The
// drains of a change may come into force in steps (rollout.go). From the switch on a statistical test compares the requests that
// the change concerns with those of before and with those that it does not concern (harmwatch.go), and rolls the change back by
// itself when it finds harm.
//
// A Manager owns all of it. It is a deterministic state machine that does no I/O and reads no clock: times go in, as durations on
// the engine's clock, and the engine's goroutine makes every call. Package admin stages, switches and stores; the engine calls
// Bind and Release for each request and Tick when NextTick is due.
//
// State is what survives a crash: the configuration in force, the one to roll back to, the watch under way with its baseline,
// the blocked hashes and the history. Requests in flight and the limits' counters do not survive; a watch begins anew. During a
// hot restart a second process follows the first (Manager.Follow) and takes the watch over when that one ends
// (Manager.TakeOver).
package generation

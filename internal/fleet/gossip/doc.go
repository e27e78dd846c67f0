// Package gossip lets the agents of one fleet know which of them are reachable, and spreads small observations between them.
//
// Failure detection is SWIM (A. Das, I. Gupta and A. Motivala, 2002) with the corrections of Lifeguard (A. Dadgar, J. Phillips and
// J. Currey, 2018). Datagrams have at most 256 bytes, which is what the platform lets agents send.
//
// # States
//
// An agent holds each other member for Unknown, Alive, Suspect, Dead or Left:
//
//	Unknown ──heard of──▶ Alive ──no answer──▶ Suspect ──suspicion timeout──▶ Dead
//	                        ▲                     │                            │
//	                        └──higher incarnation─┴────────────────────────────┘      Alive, Suspect ──Leave──▶ Left
//
// Each member numbers its own incarnation. One that learns that others hold it for Suspect, Dead or Left announces itself as Alive with a
// higher incarnation, which overrides them.
//
// # Messages
//
// Once in a probe interval an agent sends a Ping to one other, in shuffled turns. Where no Ack comes in time it asks a few others by
// PingReq to ping the member for it: they pass on an Ack, or send a Nack if they got none either, so that an agent that can't be heard
// itself notices that. Without an Ack at the end of the interval the member is Suspect. Every Ping, PingReq, Ack and Nack carries the
// MemberUpdates and Observations that were sent least so far. Payload carries another package's bytes to a few members (see package
// overload); Leave ends a member in order; Hello is the Link's own.
//
// # Parts
//
//   - Core is the state machine: messages and times go in, messages come out. It has no socket, no clock and no goroutine, so that a seed
//     and a list of events replay it. The simulator and the tests run the same Core as the agent.
//   - Link authenticates datagrams and rejects replayed ones.
//   - Node runs a Core and a Link on a UDP socket and calls a Handler with what it receives.
//
// What an observation is worth is decided by who uses it: see package corroborate.
package gossip

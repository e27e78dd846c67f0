// Package hotrestart makes an old and a new process of an agent act as one while the new one replaces the old one: they share the
// listening socket, the agent's limits, the operators' denylist and the endpoint list, so that no connection is refused, no limit exceeded, and
// nothing forgotten that one of them was told.
//
// Each process has a Unix socket in a directory for temporary files, named by the agent. A process that starts finds the others by
// these names (discovery.go), connects to them, and gets from one the listening socket as a file descriptor (transfer.go) and from
// each the denylist and the endpoint list (endpoints.go). From then on they exchange messages, one JSON object a line (messages.go):
// every message tells the sender's Phase, some carry an operator's command or the list.
//
// A process goes through the phases Starting, Serving and Draining, and never back. Process decides by all phases who accepts new
// connections and which part of the limits each may use; it is a pure state machine. Link (link.go) connects it with sockets and
// goroutines: package agent calls Join at the start, Run for as long as the process lives, AnnouncePhase when it is ready or told to
// end, and ApplyEverywhere for operators' commands.
//
// Only the endpoint list is stored (storedlist.go), for a process that starts when no other one lives. A process that crashes is noticed
// by its connection, which the kernel closes; its socket's file is removed by the next process that finds nobody behind it. A process
// that hangs costs the others a bounded wait.
package hotrestart

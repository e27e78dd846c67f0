// Package plan computes what a proposed fleet configuration would change, and what that would do to the fleet as it is now: which
// servers drain or return, the capacity by kind of machine, zone and pod, where routes lead, and what limits would have rejected. It
// does no I/O.
//
// Package admin makes a Plan (Make) from a snapshot of the engine's state. The operator reviews it, as package show prints it, may
// keep it as a file, and has it applied as it stands or not at all: a plan carries a checksum of itself (Decode), the hash of the
// configuration that it starts from, and the servers that its effect rests on. Before the change and at the instant of the switch they
// are compared with those of then (ChangesSince, ServersUnchanged); a plan whose ground has changed is outdated.
//
// The Plan's JSON is the file format and a part of the operators' API.
package plan

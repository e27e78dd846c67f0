// Package admin is the operators' API of an agent and its client: HTTP with JSON on a Unix socket that only the agent's user can
// connect to. docs/operators/plan-and-apply.md lists the calls.
//
// An operator has a plan made of a configuration (package plan), reviews it, and has that plan applied, or goes back to the previous
// generation. ChangeManager makes and carries out changes, one at a time: it stages a configuration (package generation), stores the
// state, switches, and stores the state again (persist.go). A crash between the two leaves the old configuration in force, as what is
// only staged never comes into force by a restart. A change that has begun is brought to its end whether its caller stays or not.
//
// An operator may hold a lock, by name and for a bounded time, while others cannot change the configuration (lock.go). The lock does
// not survive a restart.
//
// Server decodes the calls strictly and encodes their results; every error has a kind, by which clients decide (errors.go). Package
// agent owns the ChangeManager, whose Run it calls, and the Server.
package admin

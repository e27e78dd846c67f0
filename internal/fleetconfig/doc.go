// Package fleetconfig is the model of the fleet's configuration, which an installation keeps in reviewed files: pools of servers,
// routes to them, limits, drains and deadlines, and how a change is rolled out and watched.
//
// It holds the model (config.go), its checks (check.go), its normalized form with the content hash (encoding.go), the differences
// between two configurations (diff.go), and the selection of servers (selector.go). It does no I/O and reads no clock. Package
// hclfile reads the files; appleledgectl sends the model to agents as JSON; package plan compares and package generation compiles it.
//
// The JSON of a normalized configuration is part of the operators' API, of plans and of the stored state, and the hash is made of it:
// the names of the keys and the order of the fields must not change. A configuration is not changed once it has been given to
// another package.
package fleetconfig

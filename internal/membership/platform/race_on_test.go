//go:build race

package platform

// fleetDivisor is by how much the tests' fleets are smaller, and each of their calls longer: the race detector holds 8128 goroutines.
const fleetDivisor = 4

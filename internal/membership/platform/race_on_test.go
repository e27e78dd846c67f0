//go:build race

package platform

// fleetDivisor is by how much the tests' fleets are smaller, and each of their calls longer: the race detector fails with many goroutines.
const fleetDivisor = 20

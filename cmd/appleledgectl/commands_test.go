package main

import "testing"

// The status of an agent is printed in one order each time.
func TestOpenRequestsAreListedByGeneration(t *testing.T) {
	open := map[uint64]int{7: 1, 12: 2, 3: 4, 9: 5, 101: 6}
	const want = "4 under generation 3, 1 under generation 7, 5 under generation 9, 2 under generation 12, 6 under generation 101"
	for range 20 {
		if got := openByGeneration(open); got != want {
			t.Fatal(got)
		}
	}
}

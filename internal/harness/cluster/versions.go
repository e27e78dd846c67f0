package cluster

import (
	"os"
	"strconv"
)

// Environment variables by which process tests run two versions of the program beside each other.
const (
	OtherBinary = "APPLELEDGE_OTHER_BINARY" // path of the other version's program; unset: all processes are the program under test
	OtherFirst  = "APPLELEDGE_OTHER_FIRST"  // set: the other version has the even turns
)

// Program is the path of the program that a test starts at a turn, counted from 0. Turns alternate between the program under test, first,
// and the other version. Without an other version it is the program under test at every turn.
func Program(turn int) string {
	other := os.Getenv(OtherBinary)
	if other == "" || (turn%2 == 0) == (os.Getenv(OtherFirst) == "") {
		return os.Args[0]
	}
	return other
}

// Version says in logs of tests which version runs at a turn.
func Version(turn int) string {
	if Program(turn) == os.Args[0] {
		return "under test, turn " + strconv.Itoa(turn)
	}
	return "other, turn " + strconv.Itoa(turn)
}

package cluster

import (
	"os"
	"testing"
)

// Without another version all processes are the program under test; with one the two alternate, in the order that is asked for.
func TestProgramsAlternate(t *testing.T) {
	own := os.Args[0]
	for _, c := range []struct {
		other, first string
		want         [3]string
	}{
		{"", "", [3]string{own, own, own}},
		{"", "1", [3]string{own, own, own}},
		{"/other", "", [3]string{own, "/other", own}},
		{"/other", "1", [3]string{"/other", own, "/other"}},
	} {
		t.Setenv(OtherBinary, c.other)
		t.Setenv(OtherFirst, c.first)
		if got := [3]string{Program(0), Program(1), Program(2)}; got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

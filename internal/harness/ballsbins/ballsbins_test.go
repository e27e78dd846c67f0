package ballsbins

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"testing"
)

// constant is what the greatest load stays within of ln ln n / ln d, at the sizes that are played here and by
// fleetgen bins.
const constant = 0.6

// The paper's result holds for the draws of the module: the greatest load is bounded by ln ln n / ln d and a constant,
// which a random choice goes beyond.
func TestGreatestLoadIsBounded(t *testing.T) {
	sizes := []int{100, 1000, 10_000}
	quiet := func(Point) {}
	for _, draws := range []int{2, 16} {
		for _, p := range Series(draws, sizes, 3, quiet) {
			if bound := Bound(p.Bins, draws) + constant; p.Greatest > bound {
				t.Errorf("%d bins, %d draws: %.2f, the bound is %.2f", p.Bins, draws, p.Greatest, bound)
			}
		}
	}
	for _, p := range Series(1, sizes[1:], 3, quiet) { // a hundred bins are too few to tell
		if bound := Bound(p.Bins, 2) + constant; p.Greatest < bound {
			t.Errorf("%d bins, a random choice: %.2f stays within %.2f: the test would pass anything", p.Bins, p.Greatest, bound)
		}
	}
}

func TestPictureIsWellFormed(t *testing.T) {
	var out bytes.Buffer
	quiet := func(Point) {}
	if err := Picture(&out, constant, Series(1, []int{10, 100}, 1, quiet), Series(2, []int{10, 100}, 1, quiet)); err != nil {
		t.Fatal(err)
	}
	for d := xml.NewDecoder(&out); ; {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

package main

import (
	"fmt"
	"testing"

	"appleledge/internal/affinity"
	"appleledge/internal/golden"
)

// The kinds of records, by the numbers that the log of ties has.
func TestGoldenTexts(t *testing.T) {
	var out []byte
	for _, kind := range []affinity.RecordKind{affinity.RecordBound, affinity.RecordUnbound, affinity.RecordServed, affinity.RecordFailed} {
		out = fmt.Appendf(out, "kind %d %s\n", kind, recordKindNames[kind])
	}
	golden.Equal(t, "texts/appleledgectl.txt", out)
}

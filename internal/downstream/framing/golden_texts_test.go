package framing

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// Verdicts are the bodies of answers to requests that could be read in two ways.
func TestGoldenTexts(t *testing.T) {
	golden.Equal(t, "texts/framing.txt", fmt.Appendf(nil, "both %q\nlengths %q\nfolded %q\ncoding %q\nlost %q\n", LengthAndTransferEncoding, ConflictingLengths, ObsoleteLineFolding, UnsupportedTransferEncoding, Desynchronized))
}

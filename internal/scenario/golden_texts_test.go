package scenario

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// The kinds of answers, as reports name them; fmt sorts them by key.
func TestGoldenTexts(t *testing.T) {
	golden.Equal(t, "texts/rehearsal.txt", fmt.Appendf(nil, "%q\n", kindNames))
}

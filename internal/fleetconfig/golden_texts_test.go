package fleetconfig

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// The kinds of objects and what becomes of them, as plans show them.
func TestGoldenTexts(t *testing.T) {
	golden.Equal(t, "texts/fleetconfig.txt", fmt.Appendf(nil, "kinds %q\nverbs %q\n", kinds, []Verb{Create, Update, Delete}))
}

package fleetconfig

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// Plans hold the kinds of objects and the verbs.
func TestGoldenTexts(t *testing.T) {
	golden.Equal(t, "texts/fleetconfig.txt", fmt.Appendf(nil, "kinds %q\nverbs %q\n", kinds, []Verb{Create, Update, Delete}))
}

package requesthead

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

// The headers that are read, passed on, and left out of what is asked.
func TestGoldenTexts(t *testing.T) {
	golden.Equal(t, "texts/intake.txt", fmt.Appendf(nil, "read %q\nroutable %q\npassed on %q\nof the asking %q\n", CheckedHeaders, RoutingHeaders, forwardedHeaders, requesterHeaders))
}

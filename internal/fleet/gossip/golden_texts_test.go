package gossip

import (
	"fmt"
	"testing"

	"appleledge/internal/golden"
)

func TestGoldenTexts(t *testing.T) {
	var out []byte
	for i, s := range []State{Unknown, Alive, Suspect, Dead, Left} {
		out = fmt.Appendf(out, "state %d %d %v\n", i, s, s)
	}
	golden.Equal(t, "texts/peer.txt", out)
}

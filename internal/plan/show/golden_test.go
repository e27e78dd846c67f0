package show

import (
	"bytes"
	"testing"

	"github.com/fatih/color"

	"appleledge/internal/golden"
	"appleledge/internal/plan"
)

// The committed plans are printed with the committed bytes, with colours and without.
func TestGoldenOutput(t *testing.T) {
	was := color.NoColor
	defer func() { color.NoColor = was }()
	t.Setenv("NO_COLOR", "")
	for _, name := range []string{"full", "made", "none"} {
		p, err := plan.Decode(golden.Read(t, "plan/"+name+".json"))
		if err != nil {
			t.Error(err)
			continue
		}
		for ending, plain := range map[string]bool{".txt": true, ".ansi": false} {
			color.NoColor = plain
			for _, m := range marks { // they were made before the environment was set
				if m.color.EnableColor(); plain {
					m.color.DisableColor()
				}
			}
			var b bytes.Buffer
			if err := Plan(&b, p); err != nil {
				t.Error(err)
			}
			golden.Equal(t, "plan/show/"+name+ending, b.Bytes())
		}
	}
}

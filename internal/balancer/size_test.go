package balancer

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// The decisions stay small enough for one reader: at most 1200 lines that are not blank, none over 110
// characters, in the files that deploy/balancer.toml lists under policy.
func TestModuleSize(t *testing.T) {
	lines := 0
	for _, name := range []string{"logic.go", "members.go"} {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(line); n > 110 {
				t.Errorf("%s:%d has %d characters", name, i+1, n)
			}
		}
	}
	if lines > 1200 {
		t.Errorf("%d lines that are not blank", lines)
	}
}

package balancer

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
)

// Whoever reads the decisions finds them by the deploy file: its policy lists exactly the files of this package that are no
// tests, so that a new file can't be forgotten there. None of their lines is over 110 characters, so that two fit on a screen.
func TestPolicyNamesTheFilesOfThePackage(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Policy []string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, name := range names {
		if !strings.HasSuffix(name, "_test.go") {
			want = append(want, "internal/balancer/"+name)
		}
	}
	listed := slices.Sorted(slices.Values(deploy.Policy))
	if len(want) < 10 || !slices.Equal(listed, want) {
		t.Errorf("policy lists %q, the package has %q", listed, want)
	}
	for _, name := range listed {
		text, err := os.ReadFile("../../" + name)
		if err != nil {
			t.Error(err)
			continue
		}
		for i, line := range strings.Split(string(text), "\n") {
			if n := utf8.RuneCountInString(line); n > 110 {
				t.Errorf("%s:%d has %d characters", name, i+1, n)
			}
		}
	}
}

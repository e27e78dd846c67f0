package testgate

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// goTestJSON runs "go test -json" on a module tiny with a package a of these test sources, and returns its events.
func goTestJSON(t *testing.T, source string, flags ...string) []byte {
	t.Helper()
	dir := t.TempDir()
	write(t, filepath.Join(dir, "go.mod"), "module tiny\n\ngo 1.26\n")
	write(t, filepath.Join(dir, "a", "a_test.go"), "package a\n\n"+source)
	command := exec.CommandContext(t.Context(), "go", append(append([]string{"test", "-json", "-count=1"}, flags...), "./...")...)
	command.Dir = dir
	command.Env = append(os.Environ(), "GOFLAGS=-mod=mod", "GOPROXY=off", "GOWORK=off")
	events, err := command.Output()
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return events
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// The events are those of the go command on this machine. TestRed is listed in each case.
func TestJudgeRealRuns(t *testing.T) {
	for _, c := range []struct {
		name, source string
		flags        []string
		want         []string // problems; nil: the run passes
		printed      string
	}{
		{name: "failure", source: `import "testing"
func TestRed(t *testing.T) { t.Run("x", func(t *testing.T) { t.Error("seen") }) }
func TestGreen(t *testing.T) {}
`, printed: "a_test.go:4: seen"},
		{name: "build error", source: `import "testing"
func TestRed(t *testing.T) { undefined() }
`, want: []string{"tiny/a [tiny/a.test]: build or vet failed", "tiny/a: build or vet failed", "tiny/a TestRed: is listed as known-red in line 1 and does not exist"},
			printed: "undefined: undefined"},
		{name: "vet error", source: `import ("fmt"; "testing")
func TestRed(t *testing.T) { fmt.Printf("%d", "x") }
`, want: []string{"tiny/a [tiny/a.test]: build or vet failed", "tiny/a: build or vet failed", "tiny/a TestRed: is listed as known-red in line 1 and does not exist"},
			printed: "fmt.Printf format %d"},
		{name: "panic", source: `import "testing"
func TestRed(t *testing.T) { panic("seen") }
`, want: []string{"tiny/a: failed otherwise than by its tests: a panic, an exit or a time-out"}, printed: "panic: seen"},
		{name: "panic of a goroutine", source: `import "testing"
func TestRed(t *testing.T) { go panic("seen"); <-make(chan int) }
`, want: []string{"tiny/a TestRed: did not end: a panic, an exit or a time-out", "tiny/a: failed with no failed test"}, printed: "panic: seen"},
		{name: "race", flags: []string{"-race"}, source: `import "testing"
func TestRed(t *testing.T) {
	n, done := 0, make(chan bool)
	go func() { n++; close(done) }()
	n++
	<-done
}
`, want: []string{"tiny/a TestRed: data race"}, printed: "race detected during execution of test"},
		{name: "time-out", flags: []string{"-timeout=200ms"}, source: `import "testing"
func TestRed(t *testing.T) { <-make(chan int) }
`, want: []string{"tiny/a TestRed: did not end: a panic, an exit or a time-out", "tiny/a: failed with no failed test"}, printed: "test timed out after 200ms"},
		{name: "exit in a test", source: `import ("os"; "testing")
func TestRed(t *testing.T) { os.Exit(1) }
`, want: []string{"tiny/a TestRed: did not end: a panic, an exit or a time-out", "tiny/a: failed with no failed test"}, printed: "FAIL\ttiny/a"},
		{name: "exit of TestMain", source: `import ("os"; "testing")
func TestMain(m *testing.M) { m.Run(); os.Exit(3) }
func TestRed(t *testing.T) {}
`, want: []string{"tiny/a: failed with no failed test"}, printed: "FAIL\ttiny/a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			events := goTestJSON(t, c.source, c.flags...)
			var out strings.Builder
			verdict, err := Judge(bytes.NewReader(events), listed("TestRed"), &out)
			if err != nil {
				t.Fatal(err)
			}
			if got := problems(verdict); !slices.Equal(got, c.want) {
				t.Errorf("problems: got %q, want %q; events:\n%s", got, c.want, events)
			}
			if !strings.Contains(out.String(), c.printed) {
				t.Errorf("printed %q, without %q", out.String(), c.printed)
			}
		})
	}
}

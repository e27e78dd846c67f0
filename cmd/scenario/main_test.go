package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// script writes a script and returns its path.
func script(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "day.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const small = "length = \"3s\"\n[fleet]\nservers = 4\nagents = 1\n[clients]\nrate = 30.0\n"

// Words that make no sense are refused with what was meant, before anything starts.
func TestWrongWords(t *testing.T) {
	good, bad := script(t, small), script(t, "length = 5\n")
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"dance"}, "no command"},
		{[]string{"check"}, "needs the scripts"},
		{[]string{"check", good, bad}, "day.toml:1: "},
		{[]string{"run", "-simulated"}, "needs the scripts"},
		{[]string{"run", "-simulated", good, bad}, "day.toml:1: "},
		{[]string{"run", "-simulated", "-html", "x.html", good, good}, "one script at a time"},
		{[]string{"run", "-simulated", "-html", "/no/such/folder/x.html", good}, "x.html"},
		{[]string{"run", "-agent", "/no/such/program", good}, "/no/such/program"},
		{[]string{"quickstart", "-servers", "0"}, "-servers"},
	} {
		if err := run(context.Background(), c.args); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v, want %q", c.args, err, c.want)
		}
	}
}

// A day is played, its reports are written, and what a script asserts in vain is an error.
func TestRun(t *testing.T) {
	page, data := filepath.Join(t.TempDir(), "day.html"), filepath.Join(t.TempDir(), "day.json")
	if err := run(context.Background(), []string{"run", "-simulated", "-html", page, "-json", data, script(t, small)}); err != nil {
		t.Fatal(err)
	}
	for _, file := range []string{page, data} {
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", file, err)
		}
	}
	vain := small + "[[event]]\ndo = \"kill\"\nat = \"1s\"\nshare = 1.0\n[[assert]]\nservice = 0.9\n"
	if err := run(context.Background(), []string{"run", "-simulated", "-brief", script(t, vain)}); err == nil {
		t.Error("an assertion that does not hold is no error")
	}
}

package scenario

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"appleledge/internal/besteffort"
)

// Loads that swing are felt second by second, and leave the load as it was.
func TestLoadSwings(t *testing.T) {
	const day = "length = \"20s\"\n[clients]\nrate = 200.0\n[[event]]\ndo = %q\nat = \"4s\"\nfor = \"8s\"\nover = \"8s\"\nto = 3.0\n"
	offered := func(do string, from, to int) (n int) {
		d := Simulate(script(t, strings.Replace(day, "%q", `"`+do+`"`, 1)), 1)
		for _, s := range d.Seconds[from:to] {
			n += s.Offered
		}
		return n
	}
	for do, want := range map[string][4]int{ // before, early, in the middle, and after; requests in two seconds
		"ramp": {400, 500, 800, 400},
		"wave": {400, 520, 1150, 400},
	} {
		for i, from := range []int{1, 4, 7, 14} {
			if got := offered(do, from, from+2); got < want[i]*85/100 || got > want[i]*115/100 {
				t.Errorf("%s: %d requests in the seconds from %d, want about %d", do, got, from, want[i])
			}
		}
	}
}

// Spoilt answers and planned restarts break no rule, in simulated time and on sockets; a spoilt answer has run and is not
// repeated elsewhere.
func TestSpoiltAnswersAndPlannedRestarts(t *testing.T) {
	s := script(t, `length = "7s"
[fleet]
servers = 6
agents = 2
[clients]
rate = 60
retry = true
[[event]]
do = "spoil"
at = "1s"
for = "3s"
share = 0.5
to = 0.3
[[event]]
do = "agent_sigterm"
at = "2s"
agent = 1
[[assert]]
holds = 1.0
`)
	days := map[string]Report{"simulated": Simulate(s, 1)}
	live, err := LiveRunner{Script: s, Seed: 1, AgentProgram: program(t), Out: io.Discard}.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	days["on sockets"] = live
	for name, d := range days {
		if d.ViolationCount != 0 || len(d.FailedAssertions) != 0 {
			t.Errorf("%s: %v %v", name, d.Violations, d.FailedAssertions)
		}
		failed, served := 0, 0
		for _, c := range d.Classes {
			failed, served = failed+c.Failed, served+c.InTime
		}
		if served < 200 || failed == 0 { // an agent that is away for a while fails some
			t.Errorf("%s: %d served in time, %d failed", name, served, failed)
		}
	}
	if d := Simulate(script(t, "length = \"10s\"\n[[event]]\ndo = \"spoil\"\nat = \"1s\"\nfor = \"8s\"\nshare = 1.0\nto = 0.9\n"), 1); d.Service.Figure > 0.7 {
		t.Errorf("with nine answers of ten spoilt the figure is %v", d.Service.Figure)
	}
}

// An assertion that does not hold says so, and one that can't be meant is refused with its line.
func TestAssertions(t *testing.T) {
	const outage = "length = \"30s\"\n[clients]\nrate = 150.0\n[[event]]\ndo = \"hang\"\nat = \"5s\"\nfor = \"5s\"\nshare = 1.0\n"
	for text, want := range map[string]string{
		"[[assert]]\nservice = 0.9\nafter = \"hang\"\nwithin = \"10s\"\n": "",
		"[[assert]]\nservice = 0.9\nafter = \"hang\"\nwithin = \"40s\"\n": "the day before recovery could be seen",
		"[[assert]]\nservice = 0.9\nfrom = \"5s\"\nuntil = \"10s\"\n":     "service from 5s to 10s is",
		"[[assert]]\nholds = 0.001\n":                                     "held",
	} {
		d := Simulate(script(t, outage+text), 1)
		if failing := strings.Join(d.FailedAssertions, "; "); (want == "") != (failing == "") || !strings.Contains(failing, want) {
			t.Errorf("%s: %q, want %q", text, failing, want)
		}
	}
	for text, want := range map[string]string{
		"holds = 0.5\nservice = 0.5\n":                     "an assertion names one of",
		"holds = 1.5\n":                                    "holds: a share",
		"service = 0.5\nwithin = \"3s\"\n":                 "within: counts from",
		"service = 0.5\nafter = \"partition\"\n":           "after: the script has no event",
		"service = 0.5\nafter = \"hang\"\nfrom = \"1s\"\n": "after: stands in place",
	} {
		if _, err := ParseScript("s", []byte(outage+"[[assert]]\n"+text)); err == nil || !strings.HasPrefix(err.Error(), "s:9: "+want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

// Two reports are set side by side, from the files that run writes.
func TestCompare(t *testing.T) {
	dir := t.TempDir()
	load := func(name, text string) (Report, string) {
		path := filepath.Join(dir, name)
		f, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := Simulate(script(t, text), 1).JSON(f); err != nil {
			t.Fatal(err)
		}
		besteffort.Close(f)
		d, err := LoadReport(path)
		if err != nil {
			t.Fatal(err)
		}
		return d, path
	}
	a, nameA := load("a", "length = \"20s\"\n")
	b, nameB := load("b", "length = \"20s\"\n[[event]]\ndo = \"hang\"\nat = \"5s\"\nfor = \"5s\"\nshare = 1.0\n")
	var out bytes.Buffer
	Compare(&out, nameA, nameB, a, b, 0.1)
	text := out.String()
	if !strings.Contains(text, "B = "+nameB) || !strings.Contains(text, "from 5 s") || strings.Contains(text, "from 0 s") {
		t.Error(text)
	}
	if err := os.WriteFile(nameA, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{nameA, filepath.Join(dir, "none")} {
		if _, err := LoadReport(path); err == nil {
			t.Errorf("%s is no report and was read", path)
		}
	}
}

package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

func text(d Report) string {
	var out bytes.Buffer
	d.Write(&out)
	return out.String()
}

func script(t *testing.T, body string) Script {
	t.Helper()
	s, err := ParseScript("test.toml", []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const busyDay = `length = "20s"
[fleet]
servers = 9
agents = 3
[clients]
rate = 150
[[event]]
do = "hang"
at = "4s..6s"
for = "5s"
share = 0.2
[[event]]
do = "rolling_deploy"
at = "8s"
over = "6s"
share = 0.5
batch = 0.2
[[event]]
do = "agent_kill"
at = "10s"
agent = 2
[[event]]
do = "reset"
at = "3s"
for = "10s"
share = 0.3
to = 0.1
`

// A script and a seed give the same day to the byte, at any number of cores; another seed gives another day.
func TestSameDayTwice(t *testing.T) {
	s := script(t, busyDay)
	first := text(Simulate(s, 7))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if again := text(Simulate(s, 7)); again != first {
		t.Errorf("first\n%s\nagain\n%s", first, again)
	}
	if other := text(Simulate(s, 8)); other == first {
		t.Error("another seed changes nothing")
	}
}

// On a day with hangs, a deploy, resets and a killed agent the agents keep the four rules.
func TestRulesAreKept(t *testing.T) {
	for seed := range uint64(3) {
		if d := Simulate(script(t, busyDay), seed); d.ViolationCount != 0 {
			t.Errorf("seed %d: %v", seed, d.Violations)
		}
	}
}

// The witnesses themselves: an agent that does wrong on purpose is caught, for each rule.
func TestWrongAgentsAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		rule  string
		spoil func(w *simulation)
	}{
		"an answer is held back": {"rule 1", func(w *simulation) {
			w.dropAnswer = func(r *simRequest) bool { return r.id == "r50" }
		}},
		"a refund goes to another pod again": {"rule 2", func(w *simulation) {
			w.redirectAttempt = func(_ *simAgent, at *engine.Attempt, s *simServer) *simServer {
				if at.Number == 0 || at.Call.IdempotencyKey == "" {
					return s
				}
				for _, other := range w.simServers {
					if s != nil && other.pod != s.pod && other.state == balancer.Ready {
						return other
					}
				}
				return s
			}
		}},
		"sends go on after a drain": {"rule 3", func(w *simulation) {
			w.redirectAttempt = func(a *simAgent, _ *engine.Attempt, s *simServer) *simServer {
				for _, other := range w.simServers {
					if other.state == balancer.Draining {
						return other
					}
				}
				return s
			}
		}},
		"all goes to a cold server": {"rule 4", func(w *simulation) {
			w.redirectAttempt = func(_ *simAgent, _ *engine.Attempt, s *simServer) *simServer {
				for _, other := range w.simServers {
					if other.started > 0 && other.state == balancer.Ready {
						return other
					}
				}
				return s
			}
		}},
	} {
		w := newSimulation(script(t, busyDay), 7)
		c.spoil(w)
		w.play()
		if !strings.Contains(strings.Join(w.report.Violations, "\n"), c.rule) {
			t.Errorf("%s: %v", name, w.report.Violations)
		}
	}
}

// The report is whole as a page and as JSON, and says nothing that a browser would take for its own.
func TestReports(t *testing.T) {
	d := Simulate(script(t, busyDay), 7)
	d.Notes = append(d.Notes, "<script>alert(1)</script>")
	var page, data bytes.Buffer
	if err := d.HTML(&page, "a <day>"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a &lt;day&gt;", "&lt;script&gt;", "class=\"band\"", "class=\"heat\"", "</html>"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page has no %s", want)
		}
	}
	if strings.Contains(page.String(), "<script>") || strings.Contains(page.String(), "http") {
		t.Error("the page has a script, or needs the network")
	}
	if err := d.JSON(&data); err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(data.Bytes(), &back); err != nil || back.Service != d.Service || len(back.Servers) != len(d.Servers) {
		t.Errorf("%v: %+v", err, back.Service)
	}
}

// The rehearsals of the repository can be read, and some of them run here, the days of many agents among them, keep the rules and hold what they assert.
func TestRehearsals(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.toml")
	if err != nil || len(files) < 12 {
		t.Fatalf("%d rehearsals, %v", len(files), err)
	}
	for _, file := range files {
		s, err := LoadScript(file)
		if err != nil {
			t.Error(err)
			continue
		}
		switch name := filepath.Base(file); name[:2] {
		case "01", "03", "08", "15", "16", "17":
			if d := Simulate(s, 1); !d.Passed() {
				t.Errorf("%s: %v %v", name, d.Violations, d.FailedAssertions)
			}
		}
	}
}

// Odd days run to their end: events at one instant, overlapping hangs of one server, a deploy while a deploy runs, events
// at servers that are gone, and a fleet that goes to nothing and comes back.
func TestOddDays(t *testing.T) {
	d := Simulate(script(t, `length = "20s"
[fleet]
servers = 4
agents = 2
[clients]
rate = 50
[[event]]
do = "hang"
at = "2s"
for = "4s"
servers = ["s-01"]
[[event]]
do = "hang"
at = "2s"
for = "2s"
servers = ["s-01"]
[[event]]
do = "rolling_deploy"
at = "5s"
over = "4s"
share = 1.0
batch = 0.3
[[event]]
do = "rolling_deploy"
at = "5s"
over = "4s"
share = 1.0
batch = 0.3
[[event]]
do = "kill"
at = "13s"
share = 1.0
[[event]]
do = "pause"
at = "14s"
for = "1s"
servers = ["s-01", "s-02"]
`), 1)
	if d.ViolationCount != 0 {
		t.Errorf("%v", d.Violations)
	}
	if len(d.Notes) != 2 {
		t.Errorf("notes %v", d.Notes)
	}
	last := d.Seconds[15]
	if last.Offered == 0 || last.Rejected+last.Failed != last.Offered {
		t.Errorf("with no server left: %+v", last)
	}
	if before := d.Seconds[1]; before.InTime == 0 {
		t.Errorf("before all that: %+v", before)
	}
}

// A hang ends when the last event that holds it does.
func TestOverlappingHangs(t *testing.T) {
	w := newSimulation(script(t, "length = \"2s\"\n"), 1)
	s := w.addServer("s", machineKinds[0], 0, true)
	for _, until := range []time.Duration{2 * time.Second, 3 * time.Second} {
		w.schedule(until, func() {})
	}
	w.injectFaults(Event{Type: "hang", Servers: []string{"s"}}, time.Second)
	w.injectFaults(Event{Type: "hang", Servers: []string{"s"}}, 3*time.Second)
	w.run(startTime + 2*time.Second)
	if !s.host.(*simServer).model.Faults().Hung {
		t.Error("it ended with the first")
	}
	w.run(startTime + 4*time.Second)
	if s.host.(*simServer).model.Faults().Hung {
		t.Error("it never ended")
	}
}

// Wrong scripts are refused before they start, with the file, the line and what was meant.
func TestWrongScripts(t *testing.T) {
	for body, want := range map[string]string{
		"length = \"soon\"\n":                                          "s.toml:1: ",
		"lenght = \"5s\"\n":                                            "s.toml:1: unknown key \"lenght\"", //nolint:misspell // an unknown key
		"\n[fleet]\nservers = 0\n":                                     "s.toml:2: servers",
		"[fleet]\nscope = \"zone\"\n":                                  "s.toml:1: scope: \"zone\" is none; there are pod, fleet",
		"[clients]\nrate = -1.0\n":                                     "s.toml:1: rate",
		"[[event]]\ndo = \"hang\"\nat = \"1s\"\n":                      "s.toml:1: hang: say which",
		"[[event]]\ndo = \"dance\"\n":                                  "s.toml:1: do: \"dance\" is no event; there are agent_kill",
		"[[event]]\ndo = \"hang\"\nshare = 0.5\n":                      "s.toml:1: for: hang needs it",
		"[[event]]\ndo = \"kill\"\nshare = 0.5\nfor = \"3s\"\n":        "s.toml:1: for: kill has none",
		"[[event]]\ndo = \"list_outage\"\nfor = \"3s\"\nshare = 1.0\n": "s.toml:1: list_outage: concerns no servers",
		"[[event]]\ndo = \"kill\"\nkind = \"octo-core\"\n":             "s.toml:1: kind",
		"[[event]]\ndo = \"kill\"\nshare = 1.5\n":                      "s.toml:1: share",
		"[[event]]\ndo = \"kill\"\nshare = 0.5\nat = \"2h\"\n":         "s.toml:1: at",
		"[[event]]\ndo = \"agent_kill\"\nagent = 9\n":                  "s.toml:1: agent",
		"[[event]]\ndo = \"kill\"\nshare = 0.5\nrepeat = 3\n":          "s.toml:1: every",
		"[[event]]\ndo = \"kill\"\nshare = 0.5\n\n[[event]]\ndo = \"throttle\"\nshare = 0.5\nfor = \"1s\"\nto = 2.0\n": "s.toml:5: to",
		"[[assert]]\nservice = 2.0\n":                                "s.toml:1: service",
		"[[assert]]\nservice = 0.5\nfrom = \"5s\"\nuntil = \"4s\"\n": "s.toml:1: until",
		"length = \"9s..3s\"\n":                                      "s.toml:1: ",
	} {
		_, err := ParseScript("s.toml", []byte(body))
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %s", body, err, want)
		}
	}
	if _, err := LoadScript(filepath.Join(t.TempDir(), "none.toml")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v", err)
	}
}

// FuzzScript checks that no text makes the reader panic, and that what passes can be played.
func FuzzScript(f *testing.F) {
	f.Add([]byte(busyDay))
	f.Add([]byte("length = \"1s\"\n[fleet]\nservers = 1\nagents = 1\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := ParseScript("s", body)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("an error of several lines: %q", err)
			}
			return
		}
		if s.Duration.To > 2*time.Second || s.Fleet.Servers > 20 || s.Fleet.Agents > 5 || s.Clients.Rate > 100 || len(s.Events) > 20 {
			return // it would take long
		}
		Simulate(s, 1)
	})
}

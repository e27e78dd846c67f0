package scenario

import (
	"fmt"
	"testing"
)

// noise is how far the service of two days may lie apart by chance alone.
const noise = 0.02

// Days of storms with the door and without: the rules hold; no less of both classes is in time; next to no refund is lost in
// an outage; and what comes back comes back steadily.
func TestStormDays(t *testing.T) {
	outage := func(do string, at, lasts int) string {
		return fmt.Sprintf("[[event]]\ndo = %q\nat = \"%ds\"\nfor = \"%ds\"\nshare = 1.0\n", do, at, lasts)
	}
	restart := "[[event]]\ndo = \"restart\"\nat = \"20s\"\nshare = 1.0\n"
	for name, tt := range map[string]struct {
		script string
		agents int
		lost   float64 // share of the failed refunds that may be left
	}{
		"an outage and the return cold": {outage("hang", 10, 10) + restart, 5, 0.3},
		"the same among many agents":    {outage("hang", 10, 10) + restart, 50, 0.5},
		"flapping":                      {outage("hang", 8, 3) + outage("hang", 16, 3) + outage("hang", 24, 3), 5, 1},
		"in a deploy without the list": {"[[event]]\ndo = \"rolling_deploy\"\nat = \"8s\"\nover = \"15s\"\nbatch = 0.19\nshare = 0.95\n" +
			"[[event]]\ndo = \"list_outage\"\nat = \"10s\"\nfor = \"8s\"\n" + outage("hang", 18, 4), 4, 1},
		"agents that restart in it": {outage("hang", 10, 10) + restart +
			"[[event]]\ndo = \"agent_kill\"\nat = \"14s\"\nagent = 1\n[[event]]\ndo = \"agent_sigterm\"\nat = \"21s\"\nagent = 2\n", 5, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			days := map[string]Report{}
			for _, door := range []string{"", "storm"} {
				s, err := ParseScript(name, fmt.Appendf(nil, "length = \"40s\"\n[fleet]\nservers = 12\nagents = %d\n[clients]\ntries = 6\nwait = \"100ms..400ms\"\n[agents]\ndoor = %q\n%s",
					tt.agents, door, tt.script))
				if err != nil {
					t.Fatal(err)
				}
				days[door] = Simulate(s, 7)
				if d := days[door]; d.ViolationCount > 0 {
					t.Errorf("door %q: %q", door, d.Violations)
				}
			}
			off, on := days[""], days["storm"]
			t.Logf("service %.4f and %.4f with the door; %d and %d refunds failed", off.Service.Whole, on.Service.Whole, off.Classes[1].Failed, on.Classes[1].Failed)
			if on.Service.Whole < off.Service.Whole-noise || float64(on.Classes[1].Failed) > tt.lost*float64(off.Classes[1].Failed) {
				t.Errorf("service %.4f with the door, %.4f without; %d refunds failed, %d without", on.Service.Whole, off.Service.Whole,
					on.Classes[1].Failed, off.Classes[1].Failed)
			}
			if on.OverloadsDetected == 0 || on.Classes[1].inTimeRatio() < off.Classes[1].inTimeRatio()-noise {
				t.Errorf("%d storms noticed; %.4f of the refunds in time, %.4f without", on.OverloadsDetected, on.Classes[1].inTimeRatio(), off.Classes[1].inTimeRatio())
			}
			if last := len(on.Seconds); on.inTimeRatio(last-6, last-1) < 0.99 {
				t.Errorf("at the end %.4f are served in time", on.inTimeRatio(last-6, last-1))
			}
		})
	}
}

// Days with no storm, and one with a rise of load that nobody answers with repeats: none is noticed.
func TestNoFalseAlarm(t *testing.T) {
	for i, rate := range []int{120, 380, 380} {
		text := fmt.Sprintf("length = \"20s\"\n[clients]\nrate = %d\n[agents]\ndoor = \"storm\"\n", rate)
		if i == 2 {
			text += "[[event]]\ndo = \"load\"\nat = \"5s\"\nfor = \"10s\"\nto = 2.0\n"
		}
		s, err := ParseScript("calm", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		s.Clients.Retry = i < 2
		for seed := range uint64(5) {
			if d := Simulate(s, seed); d.OverloadsDetected > 0 || d.ViolationCount > 0 {
				t.Errorf("day %d, seed %d: %d storms noticed, %d rules broken", i, seed, d.OverloadsDetected, d.ViolationCount)
			}
		}
	}
}

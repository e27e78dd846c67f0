package scenario

import (
	"fmt"
	"testing"
)

// Days with joining and without, on which servers hang, err, break connections, are replaced, and agents end: joining keeps
// the rules, spares the fleet, and costs no class its service. Each refund that was served ran, under its own key.
func TestJoinedDays(t *testing.T) {
	for name, script := range map[string]string{
		"quiet":  "",
		"errors": "[[event]]\ndo = \"fast_errors\"\nat = \"5s\"\nfor = \"10s\"\nshare = 0.5\nto = 0.5\n[[event]]\ndo = \"reset\"\nat = \"12s\"\nfor = \"8s\"\nshare = 0.3\nto = 0.5\n",
		"storm":  "[[event]]\ndo = \"load\"\nat = \"4s\"\nfor = \"12s\"\nto = 3.0\n[[event]]\ndo = \"hang\"\nat = \"8s\"\nfor = \"6s\"\nshare = 0.2\n",
		"deploy": "[[event]]\ndo = \"rolling_deploy\"\nat = \"4s\"\nover = \"12s\"\nbatch = 0.17\nshare = 0.9\n[[event]]\ndo = \"agent_kill\"\nat = \"9s\"\nagent = 1\n[[event]]\ndo = \"agent_sigterm\"\nat = \"12s\"\nagent = 2\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var days [2]Report
			for i, join := range []string{"", "\"form-check\""} {
				s, err := ParseScript(name, fmt.Appendf(nil, "length = \"25s\"\n[clients]\nforms = 60\n[agents]\njoin = [%s]\n%s", join, script))
				if err != nil {
					t.Fatal(err)
				}
				w := newSimulation(s, 11)
				w.play()
				days[i] = w.report
				if w.report.ViolationCount > 0 {
					t.Errorf("join [%s]: %q", join, w.report.Violations)
				}
				ran := map[string]bool{}
				for _, e := range w.ledger.Effects() {
					ran[e.Key] = true
				}
				for _, r := range w.requests {
					if r.class == 1 && r.result == served && !ran[r.idempotencyKey] {
						t.Fatalf("join [%s]: %s was served and never ran", join, r.idempotencyKey)
					}
				}
			}
			off, on := days[0], days[1]
			for i := range off.Classes {
				if x, y := off.Classes[i].inTimeRatio(), on.Classes[i].inTimeRatio(); y < x-0.005 {
					t.Errorf("%s: %.4f in time with joining, %.4f without", off.Classes[i].Name, y, x)
				}
			}
			if x, y := off.attemptsArrived(), on.attemptsArrived(); float64(y) > 0.95*float64(x) || y == 0 {
				t.Errorf("%d attempts reached the servers with joining, %d without", y, x)
			}
		})
	}
}

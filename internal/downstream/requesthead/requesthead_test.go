package requesthead

import (
	"net/http"
	"testing"
	"time"

	"appleledge/internal/balancer"
)

// A request ends early enough that its answer is out before the client's deadline, which may be near.
func TestDeadlineMargin(t *testing.T) {
	rules := Rules{Classes: []balancer.Class{{Name: "form-check", Effect: balancer.Idempotent, Deadline: 2 * time.Second}}}
	for text, timeout := range map[string]time.Duration{"2000m": 2 * time.Second, "8m": 8 * time.Millisecond} {
		c, waits, err := rules.Check(Head{Method: http.MethodGet, Path: "/form-check",
			Header: http.Header{"X-Request-Id": {"1"}, "X-Timeout": {text}}}, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if end := 5*time.Second + timeout; c.Deadline >= end || c.Deadline < end-timeout/4 || waits != timeout {
			t.Errorf("%s from 5s on: ends at %v", text, c.Deadline)
		}
	}
}

func TestTimeoutForms(t *testing.T) {
	for text, want := range map[string]time.Duration{"480m": 480 * time.Millisecond, "1500u": 1500 * time.Microsecond,
		"0.5m": 500 * time.Microsecond, "999999999999m": time.Second} {
		if got, err := ParseTimeout(text, time.Second); err != nil || got != want {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "m", "0m", "-5m", "+5m", "5", "5s", "1e3m", "0x10m", "infm", "NaNm", "5.m", ".5m", "1_0m",
		" 5m", "9999999999999m"} {
		if got, err := ParseTimeout(text, time.Second); err == nil {
			t.Errorf("%q gives %v", text, got)
		}
	}
}

package platformconfig

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/simwire"
)

// newClass returns a class by its effect: r(epeatable), k (idempotent by key) or u(nsafe).
func newClass(name string, effect byte) balancer.Class {
	c := balancer.Class{Name: name, LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1}
	switch effect {
	case 'k':
		c.Effect, c.DedupWindow = balancer.IdempotentByKey, 2*time.Second
	case 'u':
		c.Effect = balancer.NonIdempotent
	}
	return c
}

// newSite returns settings with classes such as "a:r b:k".
func newSite(attempts int, classes string) simwire.Site {
	s := simwire.Site{Balancer: balancer.Settings{Balancers: 1, MaxAttempts: attempts}}
	for f := range strings.FieldsSeq(classes) {
		s.Balancer.Classes = append(s.Balancer.Classes, newClass(f[:len(f)-2], f[len(f)-1]))
	}
	return s
}

// checkRequest returns how a request is classified: its class's number and effect, the version of the settings, and its attempts.
func checkRequest(rules requesthead.Rules, at time.Duration, form string) string {
	name, effect, _ := strings.Cut(form, ":")
	h := requesthead.Head{Method: http.MethodPost, Path: "/" + name, Header: http.Header{"X-Request-Id": {"1"}, "X-Timeout": {"900m"}}}
	switch effect {
	case "r":
		h.Method = http.MethodGet
	case "k":
		h.Header.Set(requesthead.IdempotencyKeyHeader, "key")
	}
	c, _, err := rules.Check(h, at)
	if err != nil {
		return "rejected"
	}
	return fmt.Sprintf("%d%c settings %d attempts %d", c.Class, "rku"[c.Effect], c.SettingsVersion, c.MaxAttempts)
}

// The platform changes classes and attempts twice. Requests in the old form are classified by the old settings for a while, and
// afterwards by the new ones or rejected. A class keeps its number over all changes.
func TestRequestsAreClassifiedByTheVersionThatTheyFit(t *testing.T) {
	t0 := 10 * time.Second
	settings := New(newSite(5, "a:r b:k"))
	if _, _, err := settings.Update(t0, newSite(2, "b:u c:r a:r")); err != nil {
		t.Fatal(err)
	}
	soon, late := t0+time.Second, t0+previousVersionGrace
	changed := settings.RequestRules()
	if _, _, err := settings.Update(t0+time.Minute, newSite(3, "b:u c:r")); err != nil {
		t.Fatal(err)
	}
	dropped := settings.RequestRules()
	for _, c := range []struct {
		name  string
		rules requesthead.Rules
		at    time.Duration
		form  string
		want  string
	}{
		{"the same class keeps its number", changed, soon, "a:r", "0r settings 1 attempts 2"},
		{"a new one comes behind", changed, soon, "c:r", "2r settings 1 attempts 2"},
		{"in its new form it has the new effect", changed, soon, "b:u", "1u settings 1 attempts 2"},
		{"in the old form the old one, for a while", changed, soon, "b:k", "1k settings 0 attempts 2"},
		{"and then the new one, which is stricter", changed, late, "b:k", "1u settings 1 attempts 2"},
		{"a form that fits neither", changed, soon, "b:r", "rejected"},
		{"a class that was dropped goes on for a while", dropped, t0 + time.Minute, "a:r", "0r settings 1 attempts 2"},
		{"and is unknown then", dropped, t0 + time.Hour, "a:r", "rejected"},
		{"more attempts than before count later", dropped, t0 + time.Hour, "b:u", "1u settings 2 attempts 3"},
	} {
		if got := checkRequest(c.rules, c.at, c.form); got != c.want {
			t.Errorf("%s: %s is %s, want %s", c.name, c.form, got, c.want)
		}
	}
}

// The platform sends settings that are invalid: no attempts, a class twice, too many classes. Update returns an error and the settings
// stay as they were.
func TestInvalidUpdateChangesNothing(t *testing.T) {
	settings := New(newSite(5, "a:r"))
	many := ""
	for i := range maxClasses {
		many += fmt.Sprintf(" n%d:r", i)
	}
	broken := newSite(5, "a:r b:r")
	broken.Balancer.Classes[1].Deadline = -5
	for name, s := range map[string]simwire.Site{"no attempts": newSite(0, "a:r"), "a class twice": newSite(5, "a:r a:k"), "no class": newSite(5, ""),
		"too many classes": newSite(5, many), "a deadline below 0": broken} {
		if _, _, err := settings.Update(time.Second, s); err == nil {
			t.Errorf("%s is accepted", name)
		}
	}
	if r := settings.RequestRules(); r.Version != 0 || len(r.Classes) != 1 {
		t.Errorf("%+v", r)
	}
}

// The platform changes settings that take effect at the next start only. Update names them, so that they can be logged.
func TestUpdateNamesSettingsThatNeedRestart(t *testing.T) {
	settings := New(newSite(5, "a:r"))
	other := newSite(2, "b:k")
	other.Tenants, other.Balancer.SlowStartInitialRatio = []string{"x"}, 0.5
	if _, later, err := settings.Update(time.Second, other); err != nil || fmt.Sprint(later) != "[the module's tenants]" {
		t.Errorf("%v, %v", later, err)
	}
}

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

// class is a class by its effect: r(epeatable), k(eyed) or u(nsafe).
func class(name string, effect byte) balancer.Class {
	c := balancer.Class{Name: name, LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1}
	switch effect {
	case 'k':
		c.Effect, c.DedupWindow = balancer.IdempotentByKey, 2*time.Second
	case 'u':
		c.Effect = balancer.NonIdempotent
	}
	return c
}

// site has classes such as "a:r b:k".
func site(attempts int, classes string) simwire.Site {
	s := simwire.Site{Balancer: balancer.Settings{Balancers: 1, MaxAttempts: attempts}}
	for f := range strings.FieldsSeq(classes) {
		s.Balancer.Classes = append(s.Balancer.Classes, class(f[:len(f)-2], f[len(f)-1]))
	}
	return s
}

// asked is how a request is taken: its class' number, effect, settings and attempts.
func asked(rules requesthead.Rules, at time.Duration, form string) string {
	name, effect, _ := strings.Cut(form, ":")
	h := requesthead.Head{Method: http.MethodPost, Path: "/" + name, Header: http.Header{"X-Request-Id": {"1"}, "X-Timeout": {"900m"}}}
	switch effect {
	case "r":
		h.Method = http.MethodGet
	case "k":
		h.Header.Set(requesthead.KeyHeader, "key")
	}
	c, _, err := rules.Check(h, at)
	if err != nil {
		return "turned down"
	}
	return fmt.Sprintf("%d%c settings %d attempts %d", c.Class, "rku"[c.Effect], c.SettingsVersion, c.MaxAttempts)
}

func TestRequestsComeUnderTheSettingsThatTheyFit(t *testing.T) {
	t0 := 10 * time.Second
	terms := New(site(5, "a:r b:k"))
	if _, _, err := terms.Update(t0, site(2, "b:u c:r a:r")); err != nil {
		t.Fatal(err)
	}
	soon, late := t0+time.Second, t0+grace
	changed := terms.RequestRules()
	if _, _, err := terms.Update(t0+time.Minute, site(3, "b:u c:r")); err != nil {
		t.Fatal(err)
	}
	dropped := terms.RequestRules()
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
		{"a form that fits neither", changed, soon, "b:r", "turned down"},
		{"a class that was dropped goes on for a while", dropped, t0 + time.Minute, "a:r", "0r settings 1 attempts 2"},
		{"and is unknown then", dropped, t0 + time.Hour, "a:r", "turned down"},
		{"more attempts than before count later", dropped, t0 + time.Hour, "b:u", "1u settings 2 attempts 3"},
	} {
		if got := asked(c.rules, c.at, c.form); got != c.want {
			t.Errorf("%s: %s is %s, want %s", c.name, c.form, got, c.want)
		}
	}
}

func TestWhatCannotBePutInForceChangesNothing(t *testing.T) {
	terms := New(site(5, "a:r"))
	many := ""
	for i := range mostClasses {
		many += fmt.Sprintf(" n%d:r", i)
	}
	broken := site(5, "a:r b:r")
	broken.Balancer.Classes[1].Deadline = -5
	for name, s := range map[string]simwire.Site{"no attempts": site(0, "a:r"), "a class twice": site(5, "a:r a:k"), "no class": site(5, ""),
		"too many classes": site(5, many), "a deadline below 0": broken} {
		if _, _, err := terms.Update(time.Second, s); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
	if r := terms.RequestRules(); r.Version != 0 || len(r.Classes) != 1 {
		t.Errorf("%+v", r)
	}
}

func TestWhatWaitsForTheNextStartIsNamed(t *testing.T) {
	terms := New(site(5, "a:r"))
	other := site(2, "b:k")
	other.Tenants, other.Balancer.SlowStartInitialRatio = []string{"x"}, 0.5
	if _, later, err := terms.Update(time.Second, other); err != nil || fmt.Sprint(later) != "[the module's tenants]" {
		t.Errorf("%v, %v", later, err)
	}
}

package fleetconfig

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Problem is what is wrong with one object of a configuration.
type Problem struct {
	Kind, Name string // such as "route" and its name; the name may be empty
	Field      string // of the object; may be empty
	Text       string // what is wrong, and what was meant
}

func (p Problem) Error() string {
	at := strings.TrimSpace(p.Kind + " " + p.Name)
	if p.Field != "" {
		at += "." + p.Field
	}
	return at + ": " + p.Text
}

// Names are what the platform's configuration knows. Lists that are empty are not checked against.
type Names struct {
	Classes, Tenants, Zones []string
	// RoutableHeaders are the headers that a front hands over, in canonical form.
	RoutableHeaders []string
}

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Check returns all that is wrong with a normalized configuration, as Problems joined into one error, or nil.
func (c *Config) Check(known Names) error {
	k := &checker{known: known, pools: map[string]bool{AllServersPool: true}}
	k.sizes(c)
	for _, p := range c.Pools {
		k.at("pool", p.Name, duplicate(k.pools, p.Name))
		k.selector(p.Selector)
	}
	k.routes(c.Routes)
	k.limits(c.Limits)
	drains := map[string]bool{}
	for _, d := range c.Drains {
		k.at("drain", d.Name, duplicate(drains, d.Name))
		k.selector(d.Selector)
		k.want(d.Share > 0 && d.Share <= 1, "share", "%v must be above 0 and at most 1", d.Share)
		k.want(d.words() > 0, "", "selects every server there is; name kinds, zones, pods, ids or networks")
	}
	deadlines, whose := map[string]bool{}, map[[2]string]string{}
	for _, d := range c.Deadlines {
		k.at("deadline", d.Name, duplicate(deadlines, d.Name))
		k.who(d.Class, d.Tenant)
		k.alone(whose, d.Class, d.Tenant, d.Name)
		k.within("at_most", d.AtMost, time.Millisecond, time.Minute)
	}
	if r := c.Rollout; r != nil {
		k.at("rollout", "", false)
		k.want(r.Step > 0 && r.Step <= 1, "step", "%v must be above 0 and at most 1", r.Step)
		k.within("wait", r.Wait, 100*time.Millisecond, time.Hour)
	}
	if w := c.Watch; w != nil {
		k.at("watch", "", false)
		k.within("for", w.Duration, time.Second, 24*time.Hour)
		k.want(w.FalseAlarms >= 1e-9 && w.FalseAlarms <= 0.1, "false_alarms", "%v must be from 1e-9 to 0.1", w.FalseAlarms)
	}
	return errors.Join(k.problems...)
}

// checker gathers problems; kind and name say of what.
type checker struct {
	known      Names
	pools      map[string]bool
	kind, name string
	problems   []error
}

// duplicate reports whether the name was there before.
func duplicate(seen map[string]bool, name string) bool {
	was := seen[name]
	seen[name] = true
	return was
}

func (k *checker) at(kind, name string, again bool) {
	k.kind, k.name = kind, name
	if kind == "rollout" || kind == "watch" {
		return
	}
	k.want(nameForm.MatchString(name) && len(name) <= longestKey, "", "a name has letters, digits, dots, dashes and underlines, %d at most", longestKey)
	k.want(!again, "", "is there twice, or is the name of what is always there")
}

func (k *checker) want(ok bool, field, format string, args ...any) {
	if !ok {
		k.problems = append(k.problems, Problem{k.kind, k.name, field, fmt.Sprintf(format, args...)})
	}
}

func (k *checker) within(field string, t Duration, least, most time.Duration) {
	k.want(time.Duration(t) >= least && time.Duration(t) <= most, field, "%v must be from %v to %v", t, least, most)
}

func (k *checker) sizes(c *Config) {
	words := 0
	for _, p := range c.Pools {
		words += p.words()
	}
	for _, d := range c.Drains {
		words += d.words()
	}
	for _, n := range []struct {
		kind    string
		is, can int
	}{{"pool", len(c.Pools), MaxPools}, {"route", len(c.Routes), MaxRoutes}, {"limit", len(c.Limits), MaxLimits},
		{"drain", len(c.Drains), MaxDrains}, {"deadline", len(c.Deadlines), MaxLimits}, {"selector", words, mostNamed}} {
		k.kind, k.name = n.kind, ""
		k.want(n.is <= n.can, "", "there are %d, %d at most", n.is, n.can)
	}
}

// among checks a name against those that the platform knows, and suggests one.
func (k *checker) among(field, name string, known []string) {
	if name == "" || len(known) == 0 {
		return
	}
	k.want(slices.Contains(known, name), field, "%q is not known; there are: %s", name, strings.Join(known, ", "))
}

func (k *checker) who(class, tenant string) {
	k.among("class", class, k.known.Classes)
	k.among("tenant", tenant, k.known.Tenants)
}

// alone refuses a second object for the same class and tenant, so that a request meets four at the most.
func (k *checker) alone(whose map[[2]string]string, class, tenant, name string) {
	who := [2]string{class, tenant}
	other, taken := whose[who]
	k.want(!taken, "", "has the class and tenant of %q; put them into one", other)
	whose[who] = name
}

func (k *checker) selector(s Selector) {
	for _, zone := range s.Zones {
		k.among("zones", zone, k.known.Zones)
	}
	for _, p := range s.Networks {
		k.want(p.IsValid(), "networks", "an entry is no network; write an address and a length, such as \"10.1.0.0/16\"")
	}
	if slices.Contains(s.Kinds, "") || slices.Contains(s.IDs, "") {
		k.want(false, "", "has an empty word")
	}
}

func (k *checker) routes(routes []Route) {
	seen := map[string]bool{}
	for i := range routes {
		r := &routes[i]
		k.at("route", r.Name, duplicate(seen, r.Name))
		k.who(r.Class, r.Tenant)
		k.want(r.PathPrefix == "" || r.PathPrefix[0] == '/', "path_prefix", "%q must begin with /", r.PathPrefix)
		for name := range r.Headers {
			k.want(http.CanonicalHeaderKey(name) == name, "headers", "%q must be written %q", name, http.CanonicalHeaderKey(name))
			k.among("headers", http.CanonicalHeaderKey(name), k.known.RoutableHeaders)
		}
		k.targets(r.To)
	}
}

func (k *checker) targets(to []Target) {
	sum, seen := 0, map[string]bool{}
	for _, t := range to {
		k.want(k.pools[t.Pool], "to", "there is no pool %q; %q has all servers", t.Pool, AllServersPool)
		k.want(!duplicate(seen, t.Pool), "to", "names pool %q twice", t.Pool)
		k.want(t.Weight >= 0 && t.Weight <= 1_000_000, "to", "weight %d of pool %q must be from 0 to 1000000", t.Weight, t.Pool)
		sum += min(max(t.Weight, 0), 1_000_000)
	}
	k.want(sum > 0, "to", "needs a pool with a weight above 0")
}

func (k *checker) limits(limits []Limit) {
	seen, whose := map[string]bool{}, map[[2]string]string{}
	for _, l := range limits {
		k.at("limit", l.Name, duplicate(seen, l.Name))
		k.who(l.Class, l.Tenant)
		k.alone(whose, l.Class, l.Tenant, l.Name)
		k.want(l.MaxInFlight != nil || l.Rate > 0 || l.MaxAttempts > 0, "", "limits nothing; set in_flight, rate or attempts")
		k.want(l.MaxAttempts >= 0 && l.MaxAttempts <= 100, "attempts", "%d must be from 1 to 100, or not be there", l.MaxAttempts)
		k.want(l.MaxInFlight == nil || *l.MaxInFlight >= 0 && *l.MaxInFlight <= 1<<20, "in_flight", "must be from 0 to %d", 1<<20)
		k.want(!math.IsNaN(l.Rate) && l.Rate >= 0 && l.Rate <= 1e6, "rate", "%v must be from 0 to 1000000", l.Rate)
		k.want(l.Rate == 0 && l.Burst == 0 || l.Rate > 0 && l.Burst >= 1 && l.Burst <= 1<<20, "burst",
			"%d must be from 1 to %d with a rate, and not be there without", l.Burst, 1<<20)
		k.within("come_back", l.RetryAfter, 0, time.Minute)
	}
}

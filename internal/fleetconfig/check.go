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

// The ranges in which settings must lie. Some texts of errors name them as well.
const (
	minDeadline, maxDeadline       = time.Millisecond, time.Minute
	minRolloutWait, maxRolloutWait = 100 * time.Millisecond, time.Hour
	minWatch, maxWatch             = time.Second, 24 * time.Hour
	minFalseAlarms, maxFalseAlarms = 1e-9, 0.1
	maxTargetWeight                = 1_000_000
	maxLimitAttempts               = 100
	maxLimitInFlight               = 1 << 20
	maxLimitRate                   = 1e6 // requests a second
	maxLimitBurst                  = 1 << 20
	maxRetryAfter                  = time.Minute
)

// namePattern is the form of objects' names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// ObjectError is what is wrong with one object of a configuration.
type ObjectError struct {
	Kind, Name string // such as "route" and its name, which may be empty
	Field      string // of the object; may be empty
	Text       string // what is wrong, and what was meant
}

// Error returns the object, the field and what is wrong with it.
func (e ObjectError) Error() string {
	at := strings.TrimSpace(e.Kind + " " + e.Name)
	if e.Field != "" {
		at += "." + e.Field
	}
	return at + ": " + e.Text
}

// Names are the names that the platform's configuration knows. Nothing is checked against an empty list.
type Names struct {
	Classes, Tenants, Zones []string
	// RoutableHeaders are the headers that routes may match, in canonical form.
	RoutableHeaders []string
}

// Check returns all that is wrong with a normalized configuration, as ObjectErrors joined into one error, or nil.
func (c *Config) Check(known Names) error {
	k := &checker{known: known, pools: map[string]bool{AllServersPool: true}}
	k.checkSizes(c)
	k.checkPools(c.Pools)
	k.checkRoutes(c.Routes)
	k.checkLimits(c.Limits)
	k.checkDrains(c.Drains)
	k.checkDeadlines(c.Deadlines)
	if c.Rollout != nil {
		k.checkRollout(c.Rollout)
	}
	if c.Watch != nil {
		k.checkWatch(c.Watch)
	}
	return errors.Join(k.errs...)
}

// checker collects what is wrong. kind and name are those of the object that is being checked.
type checker struct {
	known      Names
	pools      map[string]bool // that are defined
	kind, name string
	errs       []error
}

// require adds an error for a field of the object unless a condition holds.
func (k *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		k.errs = append(k.errs, ObjectError{k.kind, k.name, field, fmt.Sprintf(format, args...)})
	}
}

// requireRange requires a duration to lie between two others.
func (k *checker) requireRange(field string, d Duration, least, most time.Duration) {
	k.require(time.Duration(d) >= least && time.Duration(d) <= most, field, "%v must be from %v to %v", d, least, most)
}

// requireKnown requires a name, unless it is empty, to be among those that the platform knows.
func (k *checker) requireKnown(field, name string, known []string) {
	if name == "" || len(known) == 0 {
		return
	}
	k.require(slices.Contains(known, name), field, "%q is not known; there are: %s", name, strings.Join(known, ", "))
}

func (k *checker) requireKnownScope(class, tenant string) {
	k.requireKnown("class", class, k.known.Classes)
	k.requireKnown("tenant", tenant, k.known.Tenants)
}

// requireUniqueScope requires an object to be the only one of its kind for a class and tenant, so that at most four apply to a request.
// owners are the names of the objects so far, by class and tenant.
func (k *checker) requireUniqueScope(owners map[[2]string]string, class, tenant, name string) {
	scope := [2]string{class, tenant}
	other, isTaken := owners[scope]
	k.require(!isTaken, "", "has the class and tenant of %q; put them into one", other)
	owners[scope] = name
}

// begin begins the check of a named object: its name must have the right form and be the first of its kind. seen are the names so far.
func (k *checker) begin(kind, name string, seen map[string]bool) {
	k.kind, k.name = kind, name
	k.require(namePattern.MatchString(name) && len(name) <= maxNameBytes, "", "a name has letters, digits, dots, dashes and underlines, %d at most", maxNameBytes)
	k.require(!isDuplicate(seen, name), "", "is there twice, or is the name of what is always there")
}

// beginUnnamed begins the check of an object of which there is one.
func (k *checker) beginUnnamed(kind string) { k.kind, k.name = kind, "" }

// isDuplicate reports whether a name was seen before, and adds it.
func isDuplicate(seen map[string]bool, name string) bool {
	was := seen[name]
	seen[name] = true
	return was
}

// checkSizes checks the numbers of objects and of selectors' terms.
func (k *checker) checkSizes(c *Config) {
	terms := 0
	for _, p := range c.Pools {
		terms += p.termCount()
	}
	for _, d := range c.Drains {
		terms += d.termCount()
	}
	for _, size := range []struct {
		kind       string
		count, max int
	}{
		{"pool", len(c.Pools), MaxPools},
		{"route", len(c.Routes), MaxRoutes},
		{"limit", len(c.Limits), MaxLimits},
		{"drain", len(c.Drains), MaxDrains},
		{"deadline", len(c.Deadlines), MaxLimits},
		{"selector", terms, maxSelectorTerms},
	} {
		k.beginUnnamed(size.kind)
		k.require(size.count <= size.max, "", "there are %d, %d at most", size.count, size.max)
	}
}

func (k *checker) checkPools(pools []Pool) {
	for _, p := range pools {
		k.begin("pool", p.Name, k.pools)
		k.checkSelector(p.Selector)
	}
}

func (k *checker) checkSelector(s Selector) {
	for _, zone := range s.Zones {
		k.requireKnown("zones", zone, k.known.Zones)
	}
	for _, p := range s.Networks {
		k.require(p.IsValid(), "networks", "an entry is no network; write an address and a length, such as \"10.1.0.0/16\"")
	}
	k.require(!slices.Contains(s.Kinds, "") && !slices.Contains(s.IDs, ""), "", "has an empty word")
}

func (k *checker) checkRoutes(routes []Route) {
	seen := map[string]bool{}
	for i := range routes {
		r := &routes[i]
		k.begin("route", r.Name, seen)
		k.requireKnownScope(r.Class, r.Tenant)
		k.require(r.PathPrefix == "" || r.PathPrefix[0] == '/', "path_prefix", "%q must begin with /", r.PathPrefix)
		for name := range r.Headers {
			canonical := http.CanonicalHeaderKey(name)
			k.require(canonical == name, "headers", "%q must be written %q", name, canonical)
			k.requireKnown("headers", canonical, k.known.RoutableHeaders)
		}
		k.checkTargets(r.To)
	}
}

func (k *checker) checkTargets(targets []Target) {
	totalWeight, seen := 0, map[string]bool{}
	for _, t := range targets {
		k.require(k.pools[t.Pool], "to", "there is no pool %q; %q has all servers", t.Pool, AllServersPool)
		k.require(!isDuplicate(seen, t.Pool), "to", "names pool %q twice", t.Pool)
		k.require(t.Weight >= 0 && t.Weight <= maxTargetWeight, "to", "weight %d of pool %q must be from 0 to 1000000", t.Weight, t.Pool)
		totalWeight += min(max(t.Weight, 0), maxTargetWeight)
	}
	k.require(totalWeight > 0, "to", "needs a pool with a weight above 0")
}

func (k *checker) checkLimits(limits []Limit) {
	seen, owners := map[string]bool{}, map[[2]string]string{}
	for _, l := range limits {
		k.begin("limit", l.Name, seen)
		k.requireKnownScope(l.Class, l.Tenant)
		k.requireUniqueScope(owners, l.Class, l.Tenant, l.Name)
		k.require(l.MaxInFlight != nil || l.Rate > 0 || l.MaxAttempts > 0, "", "limits nothing; set in_flight, rate or attempts")
		k.require(l.MaxAttempts >= 0 && l.MaxAttempts <= maxLimitAttempts, "attempts", "%d must be from 1 to 100, or not be there", l.MaxAttempts)
		k.require(l.MaxInFlight == nil || *l.MaxInFlight >= 0 && *l.MaxInFlight <= maxLimitInFlight, "in_flight", "must be from 0 to %d", maxLimitInFlight)
		k.require(!math.IsNaN(l.Rate) && l.Rate >= 0 && l.Rate <= maxLimitRate, "rate", "%v must be from 0 to 1000000", l.Rate)
		k.require(l.Rate == 0 && l.Burst == 0 || l.Rate > 0 && l.Burst >= 1 && l.Burst <= maxLimitBurst, "burst",
			"%d must be from 1 to %d with a rate, and not be there without", l.Burst, maxLimitBurst)
		k.requireRange("come_back", l.RetryAfter, 0, maxRetryAfter)
	}
}

func (k *checker) checkDrains(drains []Drain) {
	seen := map[string]bool{}
	for _, d := range drains {
		k.begin("drain", d.Name, seen)
		k.checkSelector(d.Selector)
		k.require(d.Share > 0 && d.Share <= 1, "share", "%v must be above 0 and at most 1", d.Share)
		k.require(d.termCount() > 0, "", "selects every server there is; name kinds, zones, pods, ids or networks")
	}
}

func (k *checker) checkDeadlines(deadlines []Deadline) {
	seen, owners := map[string]bool{}, map[[2]string]string{}
	for _, d := range deadlines {
		k.begin("deadline", d.Name, seen)
		k.requireKnownScope(d.Class, d.Tenant)
		k.requireUniqueScope(owners, d.Class, d.Tenant, d.Name)
		k.requireRange("at_most", d.AtMost, minDeadline, maxDeadline)
	}
}

func (k *checker) checkRollout(r *Rollout) {
	k.beginUnnamed("rollout")
	k.require(r.Step > 0 && r.Step <= 1, "step", "%v must be above 0 and at most 1", r.Step)
	k.requireRange("wait", r.Wait, minRolloutWait, maxRolloutWait)
}

func (k *checker) checkWatch(w *Watch) {
	k.beginUnnamed("watch")
	k.requireRange("for", w.Duration, minWatch, maxWatch)
	k.require(w.FalseAlarms >= minFalseAlarms && w.FalseAlarms <= maxFalseAlarms, "false_alarms", "%v must be from 1e-9 to 0.1", w.FalseAlarms)
}

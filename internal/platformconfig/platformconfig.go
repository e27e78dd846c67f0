// Package platformconfig says under which settings of the platform requests come, as these change while the agent runs. It does no I/O
// and reads no clock.
package platformconfig

import (
	"fmt"
	"slices"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/downstream/requesthead"
	"appleledge/internal/simwire"
)

const (
	// grace is for how long after a change a request may come in the form that it replaced: clients change 1.2 s after the
	// signal, and theirs may be the later clock.
	grace = 2 * time.Second
	// mostClasses is how many names classes may have had in the life of an agent, as each keeps its number.
	mostClasses = 256
)

// mostWaited is for how long the platform waits, at most, for clients of a process that it has told to end. Deadlines may be longer.
const mostWaited = 3 * time.Second

// LameDuckDuration is for how long a process that is told to end may be waited for by a client whose patience is so long.
func LameDuckDuration(longest time.Duration) time.Duration { return min(longest, mostWaited) }

// Settings are the settings in force. A class has the number that its name got first, for good: what is kept by class elsewhere
// stays right over any change.
type Settings struct {
	rules   requesthead.Rules
	present simwire.Site
}

// New returns the settings that an agent starts with, which are generation 0.
func New(site simwire.Site) *Settings {
	return &Settings{present: site, rules: requesthead.Rules{Classes: site.Balancer.Classes, Tenants: site.Tenants,
		MaxAttempts: site.Balancer.MaxAttempts}}
}

// RequestRules are what requests are checked against.
func (t *Settings) RequestRules() requesthead.Rules { return t.rules }

// Update puts other settings in force from now on. It returns what the module is to be told, and the names of what has changed
// that takes effect at the next start only. After an error all is as it was.
func (t *Settings) Update(now time.Duration, site simwire.Site) (tell balancer.ClassUpdate, later []string, err error) {
	if err := site.Balancer.Validate(); err != nil {
		return tell, nil, err
	}
	classes, err := t.numbered(site.Balancer.Classes)
	if err != nil {
		return tell, nil, err
	}
	before := t.rules
	before.Previous = nil
	t.rules = requesthead.Rules{Classes: classes, Tenants: t.rules.Tenants, MaxAttempts: site.Balancer.MaxAttempts, Version: before.Version + 1,
		Previous: &before, PreviousUntil: now + grace}
	later = t.present.Differs(site)
	t.present.Balancer.Classes, t.present.Balancer.MaxAttempts = site.Balancer.Classes, site.Balancer.MaxAttempts
	t.present.Balancer.AllowHedging = site.Balancer.AllowHedging
	return balancer.ClassUpdate{Classes: classes, MaxAttempts: site.Balancer.MaxAttempts, AllowHedging: site.Balancer.AllowHedging}, later, nil
}

// numbered are the classes by the numbers that their names have. Those that are no more are there as dropped.
func (t *Settings) numbered(classes []balancer.Class) ([]balancer.Class, error) {
	out := slices.Clone(t.rules.Classes)
	for i := range out {
		out[i].Retired = true
	}
	for i, c := range classes {
		same := func(other balancer.Class) bool { return other.Name == c.Name }
		if slices.ContainsFunc(classes[:i], same) {
			return nil, fmt.Errorf("class %q is there twice", c.Name)
		}
		at := slices.IndexFunc(out, same)
		switch {
		case at >= 0:
			out[at] = c
		case len(out) == mostClasses:
			return nil, fmt.Errorf("class %q: there have been %d classes since the start, and no more can be told apart", c.Name, mostClasses)
		default:
			out = append(out, c)
		}
	}
	return out, nil
}

// Package platformconfig holds the versions of the platform's settings that are in force while an agent runs.
//
// The platform changes classes and attempts at run time. Settings says against which version a request is checked: the present one
// or, for a short time after a change, the one before, as clients and agents do not change at the same instant. Package agent calls
// Update when the settings are reloaded and passes the result to the balancer; other settings take effect at the next start. The
// package does no I/O and reads no clock, and stores nothing: a restart begins with the settings as they are then, as version 0.
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
	// previousVersionGrace is for how long after a change requests may come in the form that it replaced: clients change 1.2 s after
	// the signal, and theirs may be the later clock.
	previousVersionGrace = 2 * time.Second
	// maxClasses bounds how many names classes have had in the life of an agent, as each keeps its number.
	maxClasses = 256
	// maxLameDuckDuration is for how long the platform waits, at most, for the clients of a process that it has told to end.
	maxLameDuckDuration = 3 * time.Second
)

// LameDuckDuration returns for how long a process that is told to end goes on serving, given the longest deadline of its requests.
// Deadlines may be longer than the platform waits.
func LameDuckDuration(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, maxLameDuckDuration)
}

// Settings are the settings in force. It is not safe for concurrent use.
//
// Invariant: a class has the number that its name got first, for good, so that what other packages keep by class number stays
// right over any change. A class that is dropped keeps its number as retired.
type Settings struct {
	rules   requesthead.Rules // of the present version, with the previous one
	current simwire.Site
}

// New returns the settings that an agent starts with, as version 0.
func New(site simwire.Site) *Settings {
	return &Settings{current: site, rules: requesthead.Rules{Classes: site.Balancer.Classes, Tenants: site.Tenants,
		MaxAttempts: site.Balancer.MaxAttempts}}
}

// RequestRules returns the rules against which requests are checked. They are only read.
func (s *Settings) RequestRules() requesthead.Rules { return s.rules }

// Update puts other settings in force from now on, as the next version. It returns the update for the balancer, and the names of the
// settings that have changed but take effect at the next start only. After an error the settings are as they were.
func (s *Settings) Update(now time.Duration, site simwire.Site) (update balancer.ClassUpdate, needRestart []string, err error) {
	if err := site.Balancer.Validate(); err != nil {
		return update, nil, err
	}
	classes, err := s.withStableNumbers(site.Balancer.Classes)
	if err != nil {
		return update, nil, err
	}
	previous := s.rules
	previous.Previous = nil
	s.rules = requesthead.Rules{Classes: classes, Tenants: s.rules.Tenants, MaxAttempts: site.Balancer.MaxAttempts, Version: previous.Version + 1,
		Previous: &previous, PreviousUntil: now + previousVersionGrace}
	needRestart = s.current.Differences(site)
	s.current.Balancer.Classes, s.current.Balancer.MaxAttempts = site.Balancer.Classes, site.Balancer.MaxAttempts
	s.current.Balancer.AllowHedging = site.Balancer.AllowHedging
	return balancer.ClassUpdate{Classes: classes, MaxAttempts: site.Balancer.MaxAttempts, AllowHedging: site.Balancer.AllowHedging}, needRestart, nil
}

// withStableNumbers returns the classes, each at the number that its name has had so far. New ones come behind; those that are
// missing stay at their number, retired.
func (s *Settings) withStableNumbers(classes []balancer.Class) ([]balancer.Class, error) {
	out := slices.Clone(s.rules.Classes)
	for i := range out {
		out[i].Retired = true
	}
	for i, c := range classes {
		hasSameName := func(other balancer.Class) bool { return other.Name == c.Name }
		if slices.ContainsFunc(classes[:i], hasSameName) {
			return nil, fmt.Errorf("class %q is there twice", c.Name)
		}
		at := slices.IndexFunc(out, hasSameName)
		switch {
		case at >= 0:
			out[at] = c
		case len(out) == maxClasses:
			return nil, fmt.Errorf("class %q: there have been %d classes since the start, and no more can be told apart", c.Name, maxClasses)
		default:
			out = append(out, c)
		}
	}
	return out, nil
}

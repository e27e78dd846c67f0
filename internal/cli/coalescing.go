package cli

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"appleledge/internal/agent"
	"appleledge/internal/balancer"
	"appleledge/internal/coalesce"
	"appleledge/internal/settings"
)

// coalescingOptions returns what the section [join] switches on; nil without the section. It is a function of the classes,
// which only the platform's configuration names. Its errors name the settings file and the line.
func coalescingOptions(f settings.File) func([]balancer.Class) (agent.CoalescingOptions, error) {
	set := f.Join
	if set == nil {
		return nil
	}
	return func(classes []balancer.Class) (agent.CoalescingOptions, error) {
		with := agent.CoalescingOptions{TenantsApart: set.Tenants == settings.TenantsApart, LogInterval: time.Duration(set.LogEvery),
			Groups: coalesce.Options{MaxGroups: set.MaxGroups, MaxFollowers: set.MaxWaiting, PauseAfterPrivate: time.Duration(set.Pause)}}
		var safe []string
		for _, c := range classes {
			joined := !c.Retired && c.Effect == balancer.Idempotent && slices.Contains(set.Classes, c.Name)
			with.Groups.Classes = append(with.Groups.Classes, coalesce.Class{Coalesces: joined, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline})
			if c.Effect == balancer.Idempotent {
				safe = append(safe, c.Name)
			}
		}
		for _, name := range set.Classes {
			if !slices.Contains(safe, name) {
				return with, fmt.Errorf("%s: join.classes: %q is no class that may be repeated at will; there are: %s",
					f.Position("join.classes"), name, strings.Join(safe, ", "))
			}
		}
		return with, nil
	}
}

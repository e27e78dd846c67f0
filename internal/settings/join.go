package settings

import (
	"fmt"
	"slices"
	"time"
)

// The values of Join.Tenants: whether requests of different tenants may be coalesced.
const (
	TenantsTogether = "together"
	TenantsApart    = "apart"
)

// Join is the section [join]: request coalescing.
type Join struct {
	Classes    []string `toml:"classes"`     // names, of classes of idempotent requests
	Tenants    string   `toml:"tenants"`     // "together" or "apart"
	MaxGroups  int      `toml:"max_groups"`  // groups of equal requests, open at once
	MaxWaiting int      `toml:"max_waiting"` // requests that wait for the response to another
	Pause      Duration `toml:"pause"`       // how long a class isn't coalesced after a private response
	LogEvery   Duration `toml:"log_every"`   // interval of the log line
}

// DefaultJoin returns the section's defaults. Classes have none.
func DefaultJoin() Join {
	return Join{Tenants: TenantsTogether, MaxGroups: 512, MaxWaiting: 512, Pause: Duration(10 * time.Second),
		LogEvery: Duration(time.Minute)}
}

func (j *Join) check() (key string, err error) {
	if len(j.Classes) == 0 {
		return "classes", fmt.Errorf("no class; write the names of those to join, such as [\"form-check\"]")
	}
	for i, name := range j.Classes {
		if slices.Contains(j.Classes[:i], name) {
			return "classes", fmt.Errorf("%q is named twice", name)
		}
	}
	if j.Tenants != TenantsTogether && j.Tenants != TenantsApart {
		return "tenants", fmt.Errorf("%q must be %q or %q", j.Tenants, TenantsTogether, TenantsApart)
	}
	return checkBounds(
		countBounds{{"max_groups", j.MaxGroups, 1, 1 << 16}, {"max_waiting", j.MaxWaiting, 1, 1 << 16}},
		durationBounds{{"pause", j.Pause, 0, time.Hour}, {"log_every", j.LogEvery, time.Second, 24 * time.Hour}})
}

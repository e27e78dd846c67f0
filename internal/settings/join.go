package settings

import (
	"fmt"
	"slices"
	"time"
)

// Whether requests of two tenants may be alike.
const (
	TenantsTogether = "together"
	TenantsApart    = "apart"
)

// Join is the section [join]: which requests are answered together.
type Join struct {
	Classes    []string `toml:"classes"`     // by name; of those that may be repeated at will
	Tenants    string   `toml:"tenants"`     // "together" or "apart"
	MaxGroups  int      `toml:"max_groups"`  // of like requests, open at a time
	MaxWaiting int      `toml:"max_waiting"` // requests that wait for the answer to another
	Pause      Duration `toml:"pause"`       // no joining of a class after an answer for one caller alone
	LogEvery   Duration `toml:"log_every"`   // between two lines on what was joined
}

// DefaultJoin is the section with no class set.
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

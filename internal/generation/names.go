package generation

import (
	"slices"
	"time"

	"appleledge/internal/fleetconfig"
)

// matchAny stands for every class or tenant in a scope, and for all tenants of a class in a Harm.
const matchAny = -1

// Class is a class of requests, as the platform defines it.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer that takes longer counts as bad
	Deadline         time.Duration
}

// Names are the platform's names, in the order of the numbers by which requests refer to them. They are only read.
type Names struct {
	Classes           []Class
	Tenants           []string
	Zones             []string
	RoutableHeaders   []string // headers that routes may match, in canonical form
	IdempotentClasses []string // names of the classes whose servers remember idempotency keys
}

// ConfigNames returns the names against which a configuration is checked.
func (n Names) ConfigNames() fleetconfig.Names {
	known := fleetconfig.Names{Tenants: n.Tenants, Zones: n.Zones, RoutableHeaders: n.RoutableHeaders}
	for _, c := range n.Classes {
		known.Classes = append(known.Classes, c.Name)
	}
	return known
}

// scope is the class and tenant that a route, limit or deadline is for, by number; either may be matchAny.
type scope struct{ class, tenant int }

// scope returns the numbers of two names; an empty name stands for all. isKnown reports whether the platform knows both.
func (n Names) scope(class, tenant string) (s scope, isKnown bool) {
	s = scope{matchAny, matchAny}
	if class != "" {
		s.class = slices.IndexFunc(n.Classes, func(c Class) bool { return c.Name == class })
	}
	if tenant != "" {
		s.tenant = slices.Index(n.Tenants, tenant)
	}
	return s, (class == "" || s.class >= 0) && (tenant == "" || s.tenant >= 0)
}

// maxScopes is how many scopes one request is in.
const maxScopes = 4

// scopesOf returns the scopes that a request of a class and tenant is in.
func scopesOf(class, tenant int) [maxScopes]scope {
	return [maxScopes]scope{{class, tenant}, {class, matchAny}, {matchAny, tenant}, {matchAny, matchAny}}
}

package plan

import (
	"fmt"
	"slices"

	"appleledge/internal/fleetconfig"
)

// The kinds of flags. Their texts are part of the plan's JSON, and scripts may decide by them.
const (
	FlagDrainsKind      = "drains-kind"    // no server of a kind of machine is left
	FlagEmptiesPod      = "empties-pod"    // no server of a pod is left
	FlagEmptiesRoute    = "empties-route"  // a route has a pool without servers
	FlagTakesCapacity   = "takes-capacity" // more than the share that is allowed
	FlagMovesIdempotent = "moves-keyed"    // requests with idempotency keys change pods while pods remember the keys
	FlagRejectsRequests = "turns-away"     // a limit would have rejected much of what came
	FlagMayRollBack     = "may-roll-back"  // the watch will take it for harm
)

const (
	// unflaggedRejectRatio is the share of what came that a limit may reject unflagged.
	unflaggedRejectRatio = 0.05
	// watchedRejectRatio is the share that the watch accepts, as package generation's maxExpectedRejectRatio says.
	watchedRejectRatio = 0.25
	// minWeight is divided by where a fleet has none.
	minWeight = 1e-9
)

func (b *builder) flag(kind, format string, args ...any) {
	b.plan.Flags = append(b.plan.Flags, Flag{kind, fmt.Sprintf(format, args...)})
}

// addFlags adds the flags, the gravest first.
func (b *builder) addFlags() {
	b.flagCapacity()
	b.flagLimits()
	b.flagIdempotent()
}

// flagCapacity flags what is left without servers, or with too few.
func (b *builder) flagCapacity() {
	e := b.plan.Effect
	if e.Capacity.ServersAfter == 0 && e.Capacity.Servers > 0 {
		b.flag(FlagTakesCapacity, "no server at all is left")
	}
	for _, k := range e.Kinds {
		if k.Servers > 0 && k.ServersAfter == 0 {
			b.flag(FlagDrainsKind, "every server of kind %q drains, %d of them", k.Name, k.Servers)
		}
	}
	for _, p := range e.Pods {
		if p.Servers > 0 && p.ServersAfter == 0 {
			b.flag(FlagEmptiesPod, "pod %s is left without servers; it had %d", p.Name, p.Servers)
		}
	}
	for _, r := range e.Routes {
		for _, t := range r.Targets {
			if t.Servers == 0 && t.Share > 0 {
				b.flag(FlagEmptiesRoute, "route %q sends %.0f%% to pool %q, which has no server to send to", r.Route, 100*t.Share, t.Pool)
			}
		}
	}
	if taken := 1 - e.Capacity.WeightAfter/max(e.Capacity.Weight, minWeight); e.Capacity.Weight > 0 && taken > b.in.MaxCapacityTaken {
		b.flag(FlagTakesCapacity, "takes %.0f%% of capacity, more than %.0f%%", 100*taken, 100*b.in.MaxCapacityTaken)
	}
}

// flagLimits flags limits that would have rejected much of the last minute's requests.
func (b *builder) flagLimits() {
	for _, l := range b.plan.Effect.Limits {
		switch ratio := l.Rejected / max(l.Arrived, 1); {
		case ratio > watchedRejectRatio:
			b.flag(FlagMayRollBack, "limit %q would have turned away %.0f%% of the last minute's %.0f requests: the watch takes more than %.0f%% for harm and rolls back",
				l.Limit, 100*ratio, l.Arrived, 100*watchedRejectRatio)
		case ratio > unflaggedRejectRatio:
			b.flag(FlagRejectsRequests, "limit %q would have turned away %.0f%% of the last minute's %.0f requests", l.Limit, 100*ratio, l.Arrived)
		}
	}
}

// flagIdempotent flags changes by which requests with idempotency keys go to other servers. A retry that comes after the switch may
// then reach another pod than the first attempt, which does not know the key and executes the request a second time.
func (b *builder) flagIdempotent() {
	routes := slices.Concat(b.in.From.Routes, b.in.To.Routes)
	for _, c := range b.plan.Changes {
		if c.Kind != "route" && c.Kind != "pool" {
			continue
		}
		for _, r := range routes {
			if concernsRoute(c, &r) && b.mayBeIdempotent(r.Class) {
				b.flag(FlagMovesIdempotent, "%s %q changes where keyed requests go (%v): until pods have forgotten their keys, a client's repeat may reach another pod than the first try",
					c.Kind, c.Name, b.in.IdempotentClasses)
				break
			}
		}
	}
}

// concernsRoute reports whether a change is of a route or of a pool to which the route leads.
func concernsRoute(c fleetconfig.Change, r *fleetconfig.Route) bool {
	return c.Kind == "route" && r.Name == c.Name ||
		c.Kind == "pool" && slices.ContainsFunc(r.To, func(t fleetconfig.Target) bool { return t.Pool == c.Name })
}

// mayBeIdempotent reports whether requests of a route's class, which may be empty for all, may have idempotency keys.
func (b *builder) mayBeIdempotent(class string) bool {
	return len(b.in.IdempotentClasses) > 0 && (class == "" || slices.Contains(b.in.IdempotentClasses, class))
}

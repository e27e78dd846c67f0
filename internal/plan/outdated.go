package plan

import (
	"fmt"
	"maps"
	"slices"

	"appleledge/internal/fleetconfig"
)

// ChangesSince returns what has changed since the plan was made, a line each, or nothing. current is a plan that was made now for the
// same configuration.
func (p *Plan) ChangesSince(current *Plan) (changes []string) {
	if p.BaseHash != current.BaseHash {
		changes = append(changes, fmt.Sprintf("generation %d (%.12s) is in force, not %d (%.12s)", current.BaseNumber, current.BaseHash, p.BaseNumber, p.BaseHash))
	}
	gone := map[string]fleetconfig.Server{}
	for _, s := range p.ServerFacts {
		gone[s.ID] = s
	}
	for _, s := range current.ServerFacts {
		old, found := gone[s.ID]
		delete(gone, s.ID)
		if change := serverChange(old, s, found); change != "" {
			changes = append(changes, fmt.Sprintf("server %s %s", s.ID, change))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(gone)) {
		changes = append(changes, fmt.Sprintf("server %s has gone, or left what the plan concerns", id))
	}
	return changes
}

// serverChange says what has changed of a server, or nothing. wasKnown says that the plan had it.
func serverChange(old, current fleetconfig.Server, wasKnown bool) string {
	switch {
	case old == current:
		return ""
	case !wasKnown:
		return "has come"
	case old.StartedMS != current.StartedMS:
		return "has restarted"
	case old.IsDraining != current.IsDraining && current.IsDraining:
		return "drains"
	case old.IsDraining != current.IsDraining:
		return "no longer drains"
	}
	return "has changed its address, kind, zone, pod or weight"
}

// ServersUnchanged reports whether the servers that the plan rests on are as they were. server returns one by id, or nil. It is cheap
// enough for the instant of the switch, on the engine's goroutine.
func (p *Plan) ServersUnchanged(server func(id string) *fleetconfig.Server) bool {
	for i := range p.ServerFacts {
		if s := server(p.ServerFacts[i].ID); s == nil || *s != p.ServerFacts[i] {
			return false
		}
	}
	return true
}

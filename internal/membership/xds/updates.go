package xds

import (
	"maps"
	"slices"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/membership"
)

// takeUpdate returns what has changed since the last update, or the whole list at first; false before anything is known of it. It costs
// what the clusters hold that have changed.
func (c *protocolClient) takeUpdate() (u membership.Update, ok bool) {
	if !c.hasEndpoints {
		return u, false
	}
	changedIDs := map[string]bool{}
	for name := range c.changedClusters {
		c.refreshCluster(name, changedIDs)
	}
	clear(c.changedClusters)
	for _, a := range c.assignments {
		u.DropRatio = max(u.DropRatio, a.dropRatio)
	}
	u.Full, c.hasReported = !c.hasReported, true
	for _, id := range slices.Sorted(maps.Keys(changedIDs)) {
		u.Members = append(u.Members, c.mergedMember(id))
	}
	return u, true
}

// refreshCluster brings what was reported of a cluster up to date, and adds the ids that this changes.
func (c *protocolClient) refreshCluster(name string, changedIDs map[string]bool) {
	present, old := map[string]engine.Member{}, c.reportedMembers[name]
	if a := c.assignments[name]; a != nil {
		for _, member := range a.activeMembers() {
			present[member.ID] = member
		}
	}
	for id, member := range present {
		if previous, existed := old[id]; !existed {
			c.clustersByID[id] = append(c.clustersByID[id], name)
		} else if previous == member {
			continue
		}
		changedIDs[id] = true
	}
	for id := range old {
		if _, exists := present[id]; !exists {
			changedIDs[id] = true
			if c.clustersByID[id] = slices.DeleteFunc(c.clustersByID[id], func(other string) bool { return other == name }); len(c.clustersByID[id]) == 0 {
				delete(c.clustersByID, id)
			}
		}
	}
	if c.reportedMembers[name] = present; len(present) == 0 {
		delete(c.reportedMembers, name)
	}
}

// mergedMember returns a server as the clusters that hold it have it: the first of them by name, but draining where any says so.
func (c *protocolClient) mergedMember(id string) engine.Member {
	out := engine.Member{Server: balancer.Server{ID: id, State: balancer.Removed}}
	for i, name := range slices.Sorted(slices.Values(c.clustersByID[id])) {
		member := c.reportedMembers[name][id]
		if i == 0 {
			out = member
		} else if member.State == balancer.Draining {
			out.State = balancer.Draining
		}
	}
	return out
}

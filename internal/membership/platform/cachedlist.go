package platform

import (
	"time"

	"appleledge/internal/membership/listing"
)

// defaultFirstListTimeout is how long the first list may take before the cached one is used.
const defaultFirstListTimeout = 500 * time.Millisecond

// scheduleCachedList says when the cached list is used. It may name endpoints that have gone or drained since, and the agent is ready as
// soon as it holds any list: so a pushed one is waited for first.
func (d *Discovery) scheduleCachedList() {
	switch {
	case len(d.cachedList.Servers) == 0, d.hasEndpoints && !d.cachedOrigin().Supersedes(d.told.Origin): // another process has a newer one
	case d.onDemand: // the balancer says when to call
		d.useCachedList()
	default:
		d.cachedListAt = time.Now().Add(d.firstListTimeout)
	}
}

// useCachedList starts from the list from before the restart. Whatever discovery says next is newer, also where it counts from a lower
// version by then. An on-demand list is continued with the changes since.
func (d *Discovery) useCachedList() {
	l := d.cachedList
	d.cachedListAt = time.Time{}
	l.Full, d.hasEndpoints = true, true
	d.told = toldList{Origin: d.cachedOrigin()}
	d.deliver(l)
	d.log.Info("the list from before the start is in force", "version", l.Version, "entries", len(l.Servers))
	if isOfThisDiscovery := d.told.Address == "" || d.told.Address == d.addr; d.onDemand && isOfThisDiscovery {
		d.watchVersion = l.Version
	}
}

// cachedOrigin is the origin of the cached list.
func (d *Discovery) cachedOrigin() listing.Origin {
	o := d.cachedListOrigin
	o.Version = d.cachedList.Version
	return o
}

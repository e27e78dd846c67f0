package platform

import "time"

// defaultFirstListTimeout is how long the first list may take before the cached one is used.
const defaultFirstListTimeout = 500 * time.Millisecond

// scheduleCachedList says when the cached list is used. It may name endpoints that have gone or drained since, and the agent is ready as
// soon as it holds any list: so a pushed one is waited for first.
func (d *Discovery) scheduleCachedList() {
	switch {
	case len(d.cachedList.Servers) == 0:
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
	d.sink.Update(d.decodeUpdate(l))
	if d.onDemand {
		d.watchVersion = l.Version
	}
}

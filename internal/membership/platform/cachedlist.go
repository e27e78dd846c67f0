package platform

import (
	"context"
	"time"
)

// defaultFirstListTimeout is how long the first list may take before the cached one is used.
const defaultFirstListTimeout = 500 * time.Millisecond

// fetchFirstList gets the first list. The cached one may name endpoints that have gone or drained since, and the agent is ready as
// soon as it holds any list: so the cached one is used only where discovery does not answer in time.
func (d *Discovery) fetchFirstList(ctx context.Context) {
	if len(d.cachedList.Servers) == 0 {
		return
	}
	if !d.onDemand { // else the balancer says when to call
		timed, cancel := context.WithTimeout(ctx, d.firstListTimeout)
		defer cancel()
		if d.call(timed, "", 0) == nil {
			return
		}
	}
	d.useCachedList()
}

// useCachedList starts from the list from before the restart. Whatever discovery says next is newer, also where it counts from a lower
// version by then. An on-demand list is continued with the changes since.
func (d *Discovery) useCachedList() {
	l := d.cachedList
	l.Full, d.hasEndpoints = true, true
	d.sink.Update(d.decodeUpdate(l))
	if d.onDemand {
		d.watchVersion = l.Version
	}
}

package hotrestart

import (
	"context"
	"time"

	"appleledge/internal/membership/listing"
)

// Pauses between two times at which peers are sent the endpoint list. A large list that changes all the time takes no more than a part of a core,
// and a drain in it is known to all processes within the longer of the two.
const (
	minSharePause  = 5 * time.Millisecond
	maxSharePause  = 250 * time.Millisecond
	sharePauseCost = 20 // times as long as it took to send the last one
)

// What any process of an agent has been told of the servers counts as told to all. A process is sent the whole list when it joins, and each sends the
// list that it has whenever that changes; which one is newer is for the Host to decide (listing.Origin). A process that was sent a newer list
// sends that on, so that it also reaches one that the first has no connection to. An older version of the program takes no part.

// ShareEndpoints sends the peers the endpoint list that the Host has, soon. It does not block.
func (l *Link) ShareEndpoints() {
	select {
	case l.endpointsChanged <- struct{}{}:
	default:
	}
}

// shareEndpoints sends and stores the list whenever it has changed, and now and then, until the context ends.
func (l *Link) shareEndpoints(ctx context.Context) {
	refresh := time.NewTicker(storeInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.endpointsChanged:
		case <-refresh.C:
		}
		began := time.Now()
		if list := l.sendEndpoints(); list != nil {
			l.storeEndpoints(list)
		}
		pause := min(max(sharePauseCost*time.Since(began), minSharePause), maxSharePause)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// sendEndpoints sends all peers the list, and returns it; nil: there is none. It holds commandMu, see welcome.
func (l *Link) sendEndpoints() *listing.Told {
	l.commandMu.Lock()
	defer l.commandMu.Unlock()
	list := l.host.EndpointList()
	if list == nil {
		return nil
	}
	for _, p := range l.currentPeers() {
		if err := l.send(p, message{Endpoints: list}); err != nil {
			l.log.Warn("another process of the agent can't be sent the list of servers", "version", list.Version, "error", err)
		}
	}
	return list
}

package hotrestart

import (
	"context"
	"time"
)

// Pauses between two times at which peers are sent the endpoint list. A large list that changes all the time takes no more than a part of a core,
// and a drain in it is known to all processes within the longer of the two.
const (
	minSharePause  = 20 * time.Millisecond
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

// shareEndpoints sends the list whenever it has changed, until the context ends.
func (l *Link) shareEndpoints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.endpointsChanged:
		}
		began := time.Now()
		l.sendEndpoints()
		pause := min(max(sharePauseCost*time.Since(began), minSharePause), maxSharePause)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// sendEndpoints sends all peers the list. It holds commandMu, see welcome.
func (l *Link) sendEndpoints() {
	l.commandMu.Lock()
	defer l.commandMu.Unlock()
	peers := l.currentPeers()
	if len(peers) == 0 {
		return
	}
	list := l.host.EndpointList()
	if list == nil {
		return
	}
	for _, p := range peers {
		if err := l.send(p, message{Endpoints: list}); err != nil {
			l.log.Warn("another process of the agent can't be sent the list of servers", "version", list.Version, "error", err)
		}
	}
}

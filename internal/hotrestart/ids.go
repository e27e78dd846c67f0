package hotrestart

import (
	"context"
	"time"

	"appleledge/internal/besteffort"
)

const (
	claimTimeout = 100 * time.Millisecond // for all peers to answer a claim of an id
	maxClaims    = 64                     // that wait at a time for their replies: a peer's socket holds some hundred messages
)

// Processes share the ids of requests that must not run twice. A process that becomes ready subscribes: it is sent what its peers have used so
// far, and from then on each of the two claims an id at the other before the first attempt of a request. Of two that claim one id at the same time
// neither gets it. An older version of the program replies to a subscription without SharesIDs, and takes no part.

// SubscribeIDs gets the ids that the peers have used, passes them to the Host, and makes the peers claim each further one here. When it returns
// the Host has them, or a peer has not replied in time, which is logged.
func (l *Link) SubscribeIDs(ctx context.Context) {
	if !l.broadcast(ctx, message{SharesIDs: true}) {
		l.log.Warn("another process of the agent has not said in time which ids it uses")
	}
}

// SharesIDs reports whether there are peers at which ids are claimed. It does not block.
func (l *Link) SharesIDs() bool { return l.sharingPeerCount.Load() > 0 }

// ClaimID tells the peers that a request with this id is about to be sent, and reports whether none of them uses the id. A peer that does not
// reply in time is taken not to: what it has sent it has claimed here.
func (l *Link) ClaimID(ctx context.Context, id string) (isFree bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	select {
	case l.claims <- struct{}{}:
		defer func() { <-l.claims }()
	case <-ctx.Done():
		return true
	}
	isFree = true
	l.askPeers(ctx, l.sharingPeers(), message{ClaimID: id}, func(reply message) { isFree = isFree && !reply.IsIDUsed })
	return isFree
}

// ReleaseID tells the peers that a request whose id was claimed has not run. It waits for no reply.
func (l *Link) ReleaseID(id string) {
	for _, p := range l.sharingPeers() {
		besteffort.Ignore(l.send(p, message{ReleaseID: id})) // a peer that can't be sent to is removed by the goroutine that follows it
	}
}

// sharingPeers returns the peers that share ids.
func (l *Link) sharingPeers() (peers []*peer) {
	for _, p := range l.currentPeers() {
		if p.shares.Load() {
			peers = append(peers, p)
		}
	}
	return peers
}

// handleIDs does what a message says about ids, and returns the reply to it.
func (l *Link) handleIDs(ctx context.Context, p *peer, m message) (reply message) {
	if m.SharesIDs && !p.shares.Swap(true) {
		l.sharingPeerCount.Add(1) // before the ids are read: what comes later is claimed at the peer
	}
	if len(m.UsedIDs) > 0 {
		l.host.LearnUsedIDs(m.UsedIDs)
	}
	if m.SharesIDs && m.RequestID != 0 {
		reply.SharesIDs = true
		reply.UsedIDs = l.usedIDs(ctx)
	}
	if m.ReleaseID != "" {
		besteffort.Ignore(l.host.ReleaseID(ctx, m.ReleaseID)) // the process ends
	}
	if m.ClaimID != "" {
		isUsed, err := l.host.ClaimID(ctx, m.ClaimID)
		reply.IsIDUsed = isUsed && err == nil
	}
	return reply
}

// usedIDs returns the ids that this process uses; none where it ends, as it sends nothing more then.
func (l *Link) usedIDs(ctx context.Context) []uint64 {
	ids, err := l.host.UsedIDs(ctx)
	if err != nil {
		l.log.Warn("another process of the agent is not told which ids this one has used", "error", err)
	}
	return ids
}

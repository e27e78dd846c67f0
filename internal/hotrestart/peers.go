package hotrestart

import (
	"context"
	"fmt"
	"sync"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/denylist"
)

// acceptPeers accepts processes that start beside this one, until the context ends. running counts their goroutines.
func (l *Link) acceptPeers(ctx context.Context, running *sync.WaitGroup) {
	for ctx.Err() == nil {
		conn, err := l.peerListener.AcceptUnix()
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(acceptRetryPause)
			}
			continue
		}
		running.Go(func() {
			p := newPeer(conn)
			if err := l.welcome(ctx, p); err != nil {
				l.log.Warn("a process that starts beside this one could not join", "error", err)
				besteffort.Close(conn)
				return
			}
			l.follow(ctx, p)
		})
	}
}

// welcome gives a process that joins the listener, the denylist and the endpoint list, and adds it to the peers. It holds commandMu: a command that
// was applied, or a list that was sent, between the snapshot and the moment when the process becomes a peer would never reach it.
func (l *Link) welcome(ctx context.Context, p *peer) error {
	if err := checkPeerUser(p.conn, l.uid); err != nil {
		return err
	}
	l.commandMu.Lock()
	defer l.commandMu.Unlock()
	if len(l.currentPeers()) >= maxPeers {
		return fmt.Errorf("there are %d processes of the agent already", 1+maxPeers)
	}
	snapshot, err := l.host.DenylistSnapshot(ctx)
	if err != nil {
		return err
	}
	if err := sendListener(p.conn, l.listener); err != nil {
		return err
	}
	l.add(p, message{Phase: Starting})
	if err := l.send(p, message{Denylist: &snapshot, Endpoints: l.host.EndpointList()}); err != nil {
		l.remove(p)
		return err
	}
	l.log.Info("another process of the agent starts")
	l.applyDecisions()
	return nil
}

// add makes another process a peer, with its first message.
func (l *Link) add(p *peer, first message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNumber++
	p.number = l.lastNumber
	l.peers[p.number] = p
	l.process.ObservePeer(p.number, first.Phase)
	if first.Denylist != nil {
		l.inherited = mergeSnapshots(l.inherited, *first.Denylist)
	}
	if first.Endpoints != nil {
		l.inheritedLists = append(l.inheritedLists, *first.Endpoints)
	}
}

// remove notes that a peer has ended.
func (l *Link) remove(p *peer) {
	besteffort.Close(p.conn)
	if p.shares.Swap(false) {
		l.sharingPeerCount.Add(-1)
	}
	l.mu.Lock()
	delete(l.peers, p.number)
	l.process.RemovePeer(p.number)
	isAlone := len(l.peers) == 0
	l.mu.Unlock()
	l.applyDecisions()
	if isAlone {
		l.host.PeersEnded()
		l.ShareEndpoints() // stores the list: the one that has ended may have stored an older one last
	}
}

// mergeSnapshots returns what either snapshot holds; of two times the later one counts.
func mergeSnapshots(into, from denylist.Snapshot) denylist.Snapshot {
	into.KnownIDs = append(into.KnownIDs, from.KnownIDs...)
	into.DeniedSince = mergeLatest(into.DeniedSince, from.DeniedSince)
	into.AllowedSince = mergeLatest(into.AllowedSince, from.AllowedSince)
	return into
}

func mergeLatest(into, from map[string]int64) map[string]int64 {
	if into == nil {
		into = map[string]int64{}
	}
	for id, at := range from {
		into[id] = max(into[id], at)
	}
	return into
}

// follow reads a peer's messages until its connection ends, and then removes the peer.
func (l *Link) follow(ctx context.Context, p *peer) {
	defer l.remove(p)
	for {
		m, err := p.read()
		if err != nil {
			if ctx.Err() == nil {
				l.log.Info("another process of the agent has ended", "error", err)
			}
			return
		}
		reply := l.handleMessage(ctx, p, m)
		l.noteMessage(p, m)
		if m.RequestID == 0 {
			continue
		}
		reply.ReplyTo = m.RequestID
		if err := l.send(p, reply); err != nil {
			return
		}
	}
}

// handleMessage does what a peer's message asks for, and returns the reply to it.
func (l *Link) handleMessage(ctx context.Context, p *peer, m message) (reply message) {
	if m.Command != nil {
		if err := l.host.ApplyCommand(ctx, *m.Command); err != nil {
			l.log.Warn("an order that another process took could not be carried out", "server", m.Command.Server, "error", err)
		}
	}
	if m.Endpoints != nil {
		l.host.LearnEndpointList(*m.Endpoints)
	}
	return l.handleIDs(ctx, p, m)
}

// noteMessage takes the peer's phase from a message, and signals the reply that it may be.
func (l *Link) noteMessage(p *peer, m message) {
	l.mu.Lock()
	l.process.ObservePeer(p.number, m.Phase)
	replies := l.pendingReplies[m.ReplyTo]
	delete(l.pendingReplies, m.ReplyTo)
	l.mu.Unlock()
	l.applyDecisions()
	if replies != nil {
		replies <- m // has room for all peers
	}
}

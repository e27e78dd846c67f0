package hotrestart

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/denylist"
	"appleledge/internal/membership/listing"
)

const (
	maxPeers         = 4                      // processes of the agent beside this one
	replyTimeout     = 300 * time.Millisecond // for all peers to confirm a message
	acceptRetryPause = 50 * time.Millisecond  // after a connection that could not be accepted
)

// MaxDescriptors is how many file descriptors a Link needs at most: one for each peer, the listener, the peers' listener and the
// directory.
const MaxDescriptors = maxPeers + 3

// Host is the process that a Link connects with its peers. Its methods are called from the Link's goroutines, SetLimitShare with the
// Link's lock held: it must not call the Link.
type Host interface {
	// DenylistSnapshot returns what operators deny now. It is called for each process that joins; no command is applied meanwhile.
	DenylistSnapshot(context.Context) (denylist.Snapshot, error)
	// ApplyCommand applies a command that an operator gave to a peer. An error is logged.
	ApplyCommand(context.Context, DenylistCommand) error
	// UsedIDs returns digests of the ids of requests that must not run twice, and that this process has open or has run.
	UsedIDs(context.Context) ([]uint64, error)
	// LearnUsedIDs brings such digests of a peer.
	LearnUsedIDs([]uint64)
	// ClaimID notes that a peer is about to send a request with this id, unless the id is used here, and reports whether it is.
	ClaimID(context.Context, string) (isUsed bool, err error)
	// ReleaseID takes back a claim of a request that has not run.
	ReleaseID(context.Context, string) error
	// EndpointList returns the endpoint list that this process has; nil: none. It must not block.
	EndpointList() *listing.Told
	// LearnEndpointList brings the list of a peer, which may be older than the own one. It must not block.
	LearnEndpointList(listing.Told)
	// PeersEnded says that the process is alone from now on. It must not block.
	PeersEnded()
	// SetLimitShare says which part of the agent's limits the process may use from now on. It must not block.
	SetLimitShare(float64)
}

// Link connects a process with its peers, the other processes of its agent. All methods are safe for concurrent use, once Join has
// returned.
//
// Invariants: commandMu is taken before mu. One holder at a time applies an operator's command here and tells the peers, or gives a
// process that joins the denylist and the endpoint list and makes it a peer, or sends the peers another list: a process that joins misses no
// command and no list, and all apply the commands that this process was given in the same order.
type Link struct {
	log          *slog.Logger
	agent        string            // tells it from all others
	dir          *os.File          // where the processes' sockets are
	socketName   string            // of this process
	storedList   *listing.Told     // that earlier processes have left; nil: none
	peerListener *net.UnixListener // nil: no process can join
	uid          int               // the user whose processes may join
	listener     *GatedListener
	host         Host // set by Run

	commandMu sync.Mutex

	hasLoggedStoreError bool // of the goroutine that shares the endpoint list

	endpointsChanged chan struct{} // holds a value when peers are to be sent the endpoint list
	claims           chan struct{} // holds a value for each claim of an id that waits for its replies
	sharingPeerCount atomic.Int32  // peers that share ids

	mu             sync.Mutex // guards what follows
	process        *Process
	peers          map[int]*peer // by number
	lastNumber     int           // of a peer or a request
	pendingReplies map[int]chan<- message
	inherited      denylist.Snapshot // what the processes that were there at the start denied
	inheritedLists []listing.Told    // the endpoint lists that they had
}

// Join finds the other processes of the agent by their sockets in a directory, which agents may share; agent is what tells this agent
// from all others, such as its name and address. Where a process has a listener for clients that one is used, else listen opens one.
// A directory in which no socket can be made leaves the process alone, which is logged. The caller calls Run or Close.
func Join(dir, agent string, listen func() (net.Listener, error), log *slog.Logger) (*Link, error) {
	l := &Link{log: log, agent: agent, uid: os.Geteuid(), process: NewProcess(), peers: map[int]*peer{}, pendingReplies: map[int]chan<- message{},
		endpointsChanged: make(chan struct{}, 1), claims: make(chan struct{}, maxClaims)}
	var err error
	if l.dir, err = os.Open(dir); err != nil {
		return nil, fmt.Errorf("the folder for temporary files, in which an old and a new version meet: %w", err)
	}
	listener := l.joinPeers(l.register(agent))
	l.loadStoredList()
	if l.IsAlone() {
		l.removeUnfinishedLists()
	}
	if listener == nil {
		if listener, err = listen(); err != nil {
			l.Close()
			return nil, err
		}
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("a listener of kind %T can't be shared", listener)
	}
	l.listener = NewGatedListener(tcp)
	return l, nil
}

// joinPeers connects to the processes behind these sockets and returns the listener of the first that has one, or nil. A socket with
// no process behind it is removed; a process that does not answer in time is left out.
func (l *Link) joinPeers(sockets []string) (shared net.Listener) {
	for _, name := range sockets {
		found, listener, err := joinPeer(l.path(name))
		switch {
		case isGone(err):
			besteffort.Ignore(os.Remove(l.path(name)))
			continue
		case err != nil:
			l.log.Warn("another process of the agent does not answer", "socket", name, "error", err)
			continue
		}
		if listener != nil && shared == nil {
			shared = listener
		} else if listener != nil {
			besteffort.Close(listener)
		}
		l.add(found.peer, found.first)
		l.log.Info("beside another process of the agent", "phase", found.first.Phase.String(), "listener", listener != nil)
	}
	return shared
}

// Listener returns the listener for clients. The Link opens and shuts it; closing it is the caller's.
func (l *Link) Listener() *GatedListener { return l.listener }

// InheritedDenylist returns what the other processes denied at the start.
func (l *Link) InheritedDenylist() denylist.Snapshot { return l.inherited }

// InheritedEndpointLists returns the endpoint lists that the other processes had at the start.
func (l *Link) InheritedEndpointLists() []listing.Told { return l.inheritedLists }

// IsAlone reports whether there is no other process.
func (l *Link) IsAlone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.peers) == 0
}

// HasSuccessor reports whether another process serves.
func (l *Link) HasSuccessor() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.process.HasSuccessor()
}

// Run keeps up with the other processes until the context ends, and then closes the Link. It owns a goroutine for each peer and one
// that accepts new ones, and returns when all of them have ended.
func (l *Link) Run(ctx context.Context, host Host) {
	var running sync.WaitGroup
	defer running.Wait()
	l.mu.Lock()
	l.host = host
	for _, p := range l.peers {
		running.Go(func() { l.follow(ctx, p) })
	}
	l.mu.Unlock()
	l.applyDecisions()
	var sharing sync.WaitGroup
	sharing.Go(func() { l.shareEndpoints(ctx) })
	if l.peerListener != nil {
		running.Go(func() { l.acceptPeers(ctx, &running) })
	}
	<-ctx.Done()
	sharing.Wait() // it writes into the directory that Close closes
	l.Close()
}

// Close ends the connections to the other processes, which then go on without this one. Run does so at its end.
func (l *Link) Close() {
	if l.peerListener != nil {
		besteffort.Close(l.peerListener) // which removes the file
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		besteffort.Close(p.conn)
	}
	besteffort.Close(l.dir)
}

// applyDecisions does what the Process decides by the present phases.
func (l *Link) applyDecisions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener.SetOpen(l.process.ShouldAccept())
	if l.host != nil {
		l.host.SetLimitShare(l.process.LimitShare())
	}
}

// AnnouncePhase advances the process to a phase and tells its peers. When it returns they know, or have not confirmed it in time,
// which is logged: a peer may be told to end as soon as this process says that it serves, and has to know by then that it has a
// successor, or it would go on accepting.
func (l *Link) AnnouncePhase(ctx context.Context, phase Phase) {
	l.mu.Lock()
	l.process.SetPhase(phase)
	l.mu.Unlock()
	l.applyDecisions()
	if !l.broadcast(ctx, message{}) {
		l.log.Warn("another process of the agent has not heard of this one's phase in time", "phase", phase.String())
	}
}

// ApplyEverywhere applies a command here by apply, tells the peers, and waits until they have applied it or replyTimeout has passed,
// which is logged. The error is that of apply, and then no peer is told.
func (l *Link) ApplyEverywhere(ctx context.Context, c DenylistCommand, apply func() error) error {
	l.commandMu.Lock()
	defer l.commandMu.Unlock()
	if err := apply(); err != nil {
		return err
	}
	if !l.broadcast(ctx, message{Command: &c}) {
		l.log.Warn("another process of the agent has not taken an order in time", "server", c.Server, "out", c.Deny)
	}
	return nil
}

// broadcast sends a message to all peers and reports whether all that it could be sent to have confirmed it in time.
func (l *Link) broadcast(ctx context.Context, m message) bool {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	return l.askPeers(ctx, l.currentPeers(), m, func(message) {})
}

// askPeers sends a message to peers, hands each reply to handle, and reports whether all that it could be sent to have replied before the
// context ended.
func (l *Link) askPeers(ctx context.Context, peers []*peer, m message, handle func(message)) bool {
	replies := make(chan message, len(peers))
	pending := 0
	for _, p := range peers {
		m.RequestID = l.expectReply(replies)
		defer l.cancelReply(m.RequestID)
		if l.send(p, m) == nil {
			pending++
		}
	}
	for ; pending > 0; pending-- {
		select {
		case reply := <-replies:
			handle(reply)
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// expectReply returns a new request's number, the reply to which is to be signalled on replies.
func (l *Link) expectReply(replies chan<- message) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNumber++
	l.pendingReplies[l.lastNumber] = replies
	return l.lastNumber
}

// cancelReply forgets a request to which no reply is expected any more.
func (l *Link) cancelReply(requestID int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingReplies, requestID)
}

func (l *Link) currentPeers() (peers []*peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		peers = append(peers, p)
	}
	return peers
}

package hotrestart

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"appleledge/internal/besteffort"
	"appleledge/internal/denylist"
	"appleledge/internal/unixsocket"
)

const (
	mostPeers   = 4                      // processes of the agent beside this one
	lockMost    = time.Second            // for other processes to have looked for each other
	lockPause   = 2 * time.Millisecond   // between two looks whether they have
	joinTime    = time.Second            // for another process to answer at the start
	writeTime   = 300 * time.Millisecond // for a message to be taken
	replyTime   = 300 * time.Millisecond // for the others' word that they have taken a message in
	longestLine = 16 << 20               // bytes of a message: the ids of over 100,000 servers
	acceptPause = 50 * time.Millisecond  // after a connection that could not be taken
)

// MaxDescriptors is how many descriptors a Link needs at the most.
const MaxDescriptors = mostPeers + 3

// DenylistCommand is what an operator wants of a server.
type DenylistCommand struct {
	Server string `json:"server"`
	Deny   bool   `json:"out"` // hold it out, or take it back
}

// Host is the process that a Link connects with others.
type Host interface {
	// DenylistSnapshot returns what operators hold out now.
	DenylistSnapshot(context.Context) (denylist.Snapshot, error)
	// ApplyCommand carries out an order that was told to another process.
	ApplyCommand(context.Context, DenylistCommand) error
	// SetLimitShare says which part of the agent's limits the process may use from now on.
	SetLimitShare(float64)
}

// message is a line between two processes.
type message struct {
	Phase Phase              `json:"phase"` // of the sender
	Bans  *denylist.Snapshot `json:"bans,omitempty"`
	Order *DenylistCommand   `json:"order,omitempty"`
	Ask   int                `json:"ask,omitempty"`   // the number under which a reply is wanted
	Reply int                `json:"reply,omitempty"` // the number that is replied to
}

// Link connects a process with the others of its agent.
type Link struct {
	log  *slog.Logger
	dir  *os.File          // where the sockets are
	own  *net.UnixListener // nil: nobody can join
	user int               // whose processes may join
	gate *GatedListener
	host Host // set by Run

	order sync.Mutex // one order at a time, so that all carry them out in the same order

	mu      sync.Mutex
	process *Process
	peers   map[int]*peer
	number  int
	wait    map[int]chan<- struct{} // for replies, by number
	bans    denylist.Snapshot       // what the processes that were there at the start held out
}

// peer is another process.
type peer struct {
	number int
	conn   *net.UnixConn
	in     *bufio.Reader
	write  sync.Mutex
}

func newPeer(c *net.UnixConn) *peer { return &peer{conn: c, in: bufio.NewReader(c)} }

// Join finds the other processes of the agent by their sockets in a folder, which agents may share: agent is what tells this one
// from all others, as its name and address. Where one has a listener for clients it is taken
// over; else listen opens one. A folder in which no socket can be made leaves the process alone.
func Join(dir, agent string, listen func() (net.Listener, error), log *slog.Logger) (*Link, error) {
	l := &Link{log: log, user: os.Geteuid(), process: NewProcess(), peers: map[int]*peer{}, wait: map[int]chan<- struct{}{}}
	var err error
	if l.dir, err = os.Open(dir); err != nil {
		return nil, fmt.Errorf("the folder for temporary files, in which an old and a new version meet: %w", err)
	}
	var passed net.Listener
	for _, name := range l.meet(agent) {
		found, listener, err := join(l.path(name))
		switch {
		case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist):
			besteffort.Ignore(os.Remove(l.path(name))) // its process is gone
			continue
		case err != nil:
			log.Warn("another process of the agent does not answer", "socket", name, "error", err)
			continue
		}
		if listener != nil && passed == nil {
			passed = listener
		} else if listener != nil {
			besteffort.Close(listener)
		}
		l.add(found.peer, found.first)
		log.Info("beside another process of the agent", "phase", found.first.Phase.String(), "listener", listener != nil)
	}
	if passed == nil {
		if passed, err = listen(); err != nil {
			l.Close()
			return nil, err
		}
	}
	tcp, ok := passed.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("a listener of kind %T can't be shared", passed)
	}
	l.gate = NewGatedListener(tcp)
	return l, nil
}

// meet looks for the files of other processes of the agent, and makes the own one. Of two that start together one does so behind the other,
// and finds it: else neither would know of the other, and a socket that is made but does not listen yet would look like that of a process that has gone.
func (l *Link) meet(agent string) []string {
	defer l.lock()()
	names := l.sockets(agent)
	l.open(l.path(prefix(agent) + rand.Text()[:8] + suffix))
	return names
}

// lock keeps other processes out of the folder's sockets, as long as they do not take too long. It ends with the process.
func (l *Link) lock() (unlock func()) {
	fd := int(l.dir.Fd())
	for began := time.Now(); ; time.Sleep(lockPause) {
		err := unix.Flock(fd, unix.LOCK_EX|unix.LOCK_NB)
		switch {
		case err == nil:
			return func() { besteffort.Ignore(unix.Flock(fd, unix.LOCK_UN)) }
		case (err == unix.EWOULDBLOCK || err == unix.EINTR) && time.Since(began) < lockMost:
			continue
		}
		l.log.Warn("the folder for temporary files can't be locked: of two processes of the agent that start in the same moment neither may know of the "+
			"other; end one and start it again", "folder", l.dir.Name(), "error", err)
		return func() {}
	}
}

const suffix = ".sock"

// path leads to a file of the folder. It is short wherever that is, as the path of a socket may have a hundred bytes.
func (l *Link) path(name string) string { return fmt.Sprintf("/proc/self/fd/%d/%s", l.dir.Fd(), name) }

// prefix is short as well, whatever the agent is called.
func prefix(agent string) string { return fmt.Sprintf("appleledge-%016x.", xxhash.Sum64String(agent)) }

// sockets are the files of other processes of the agent.
func (l *Link) sockets(agent string) []string {
	names, err := l.dir.Readdirnames(-1)
	if err != nil {
		l.log.Warn("other processes of the agent can't be looked for", "error", err)
	}
	return slices.DeleteFunc(names, func(name string) bool {
		return !strings.HasPrefix(name, prefix(agent)) || !strings.HasSuffix(name, suffix)
	})
}

// open makes the own socket, for its owner alone.
func (l *Link) open(path string) {
	own, err := unixsocket.Listen(path)
	if err != nil {
		l.log.Warn("a later process can't take over from this one without a gap", "error", err)
		return
	}
	l.own = own
}

// joined is another process as it answered.
type joined struct {
	*peer
	first message
}

// join connects to another process. It says whether a listener comes by one byte, which carries it.
func join(path string) (j joined, listener net.Listener, err error) {
	c, err := net.DialTimeout("unix", path, joinTime)
	if err != nil {
		return j, nil, err
	}
	conn := c.(*net.UnixConn)
	defer func() {
		if err != nil {
			besteffort.Close(conn)
			if listener != nil {
				besteffort.Close(listener)
			}
		}
	}()
	if err := conn.SetDeadline(time.Now().Add(joinTime)); err != nil {
		return j, nil, err
	}
	var one [1]byte
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobn, _, _, err := conn.ReadMsgUnix(one[:], oob)
	if err != nil {
		return j, nil, err
	}
	if n != 1 {
		return j, nil, io.ErrUnexpectedEOF
	}
	if listener, err = received(oob[:oobn]); err != nil {
		return j, nil, err
	}
	j.peer = newPeer(conn)
	if j.first, err = j.read(); err != nil {
		return j, listener, err
	}
	return j, listener, conn.SetDeadline(time.Time{})
}

// received is the listener that came with a message, if any.
func received(oob []byte) (net.Listener, error) {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil || len(messages) == 0 {
		return nil, err
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) == 0 {
		return nil, err
	}
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer besteffort.Close(f)
	return net.FileListener(f)
}

// Listener is the listener for clients.
func (l *Link) Listener() *GatedListener { return l.gate }

// InheritedDenylist is what the other processes held out at the start.
func (l *Link) InheritedDenylist() denylist.Snapshot { return l.bans }

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

// add takes up another process with what it said first.
func (l *Link) add(p *peer, first message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	p.number = l.number
	l.peers[p.number] = p
	l.process.ObservePeer(p.number, first.Phase)
	if first.Bans != nil {
		l.bans.KnownIDs = append(l.bans.KnownIDs, first.Bans.KnownIDs...)
		l.bans.DeniedSince = merged(l.bans.DeniedSince, first.Bans.DeniedSince)
		l.bans.AllowedSince = merged(l.bans.AllowedSince, first.Bans.AllowedSince)
	}
}

func merged(into, from map[string]int64) map[string]int64 {
	if into == nil {
		into = map[string]int64{}
	}
	for id, at := range from {
		into[id] = max(into[id], at)
	}
	return into
}

// Run keeps up with the other processes until the context ends.
func (l *Link) Run(ctx context.Context, host Host) {
	var all sync.WaitGroup
	defer all.Wait()
	l.mu.Lock()
	l.host = host
	for _, p := range l.peers {
		all.Go(func() { l.follow(ctx, p) })
	}
	l.mu.Unlock()
	l.settle()
	if l.own != nil {
		all.Go(func() { l.accept(ctx, &all) })
	}
	<-ctx.Done()
	l.Close()
}

// Close ends the connections to the others, who then go on without this process. Run does so at its end.
func (l *Link) Close() {
	if l.own != nil {
		besteffort.Close(l.own) // which removes the file
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		besteffort.Close(p.conn)
	}
	besteffort.Close(l.dir)
}

// settle lets the process do what its phase and the others' want.
func (l *Link) settle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.SetOpen(l.process.ShouldAccept())
	if l.host != nil {
		l.host.SetLimitShare(l.process.LimitShare())
	}
}

// AnnouncePhase brings the process into a phase. When it returns the others know, or have not said so in time: a process may be told to
// end as soon as another one says that it serves, and has to know by then that it has a successor.
func (l *Link) AnnouncePhase(ctx context.Context, phase Phase) {
	l.mu.Lock()
	l.process.SetPhase(phase)
	l.mu.Unlock()
	l.settle()
	if !l.tell(ctx, message{}) {
		l.log.Warn("another process of the agent has not heard of this one's phase in time", "phase", phase.String())
	}
}

func (l *Link) others() (all []*peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		all = append(all, p)
	}
	return all
}

// ApplyEverywhere carries an order out by do, tells the others, and waits until they have carried it out or it is no use to wait.
func (l *Link) ApplyEverywhere(ctx context.Context, o DenylistCommand, do func() error) error {
	l.order.Lock()
	defer l.order.Unlock()
	if err := do(); err != nil {
		return err
	}
	if !l.tell(ctx, message{Order: &o}) {
		l.log.Warn("another process of the agent has not taken an order in time", "server", o.Server, "out", o.Deny)
	}
	return nil
}

// tell sends a message to all others and waits until they have taken it in. It reports whether all have, in time.
func (l *Link) tell(ctx context.Context, m message) bool {
	ctx, cancel := context.WithTimeout(ctx, replyTime)
	defer cancel()
	replies := make(chan struct{}, mostPeers)
	asked := 0
	for _, p := range l.others() {
		l.mu.Lock()
		l.number++
		m.Ask = l.number
		l.wait[m.Ask] = replies
		l.mu.Unlock()
		defer l.forget(m.Ask)
		if l.send(p, m) == nil {
			asked++
		}
	}
	for ; asked > 0; asked-- {
		select {
		case <-replies:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// forget waits for a reply no more.
func (l *Link) forget(number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.wait, number)
}

// accept takes processes that start beside this one.
func (l *Link) accept(ctx context.Context, all *sync.WaitGroup) {
	for ctx.Err() == nil {
		conn, err := l.own.AcceptUnix()
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(acceptPause)
			}
			continue
		}
		all.Go(func() {
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

// welcome gives a new process the listener and the bans. No order is carried out meanwhile, so that it misses none.
func (l *Link) welcome(ctx context.Context, p *peer) error {
	if err := ownedBy(p.conn, l.user); err != nil {
		return err
	}
	raw, err := l.gate.SyscallConn()
	if err != nil {
		return err
	}
	l.order.Lock()
	defer l.order.Unlock()
	if len(l.others()) >= mostPeers {
		return fmt.Errorf("there are %d processes of the agent already", 1+mostPeers)
	}
	state, err := l.host.DenylistSnapshot(ctx)
	if err != nil {
		return err
	}
	if err := p.conn.SetWriteDeadline(time.Now().Add(joinTime)); err != nil {
		return err
	}
	var sent error
	err = raw.Control(func(fd uintptr) {
		_, _, sent = p.conn.WriteMsgUnix([]byte{'L'}, syscall.UnixRights(int(fd)), nil)
	})
	if err := errors.Join(err, sent); err != nil {
		return err
	}
	l.add(p, message{Phase: Starting})
	if err := l.send(p, message{Bans: &state}); err != nil {
		l.lost(p)
		return err
	}
	l.log.Info("another process of the agent starts")
	l.settle()
	return nil
}

// ownedBy reports an error of a peer that runs as another user.
func ownedBy(c *net.UnixConn, user int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var cred *syscall.Ucred
	var got error
	if err := raw.Control(func(fd uintptr) {
		cred, got = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil || got != nil {
		return errors.Join(err, got)
	}
	if int(cred.Uid) != user {
		return fmt.Errorf("user %d is not the agent's", cred.Uid)
	}
	return nil
}

// send writes a message, with the own phase.
func (l *Link) send(p *peer, m message) error {
	p.write.Lock()
	defer p.write.Unlock()
	l.mu.Lock()
	m.Phase = l.process.Phase() // while the peer is locked: phases are told in their order
	l.mu.Unlock()
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if err = p.conn.SetWriteDeadline(time.Now().Add(writeTime)); err == nil {
		_, err = p.conn.Write(append(line, '\n'))
	}
	if err != nil { // a part of a line may be out: what follows could not be read
		besteffort.Close(p.conn)
	}
	return err
}

// read reads a message.
func (p *peer) read() (m message, err error) {
	var line []byte
	for {
		part, err := p.in.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return m, err
		}
		if len(line) > longestLine {
			return m, fmt.Errorf("a message of more than %d bytes", longestLine)
		}
	}
	return m, json.Unmarshal(line, &m)
}

// follow keeps up with another process until it ends.
func (l *Link) follow(ctx context.Context, p *peer) {
	defer l.lost(p)
	for {
		m, err := p.read()
		if err != nil {
			if ctx.Err() == nil {
				l.log.Info("another process of the agent has ended", "error", err)
			}
			return
		}
		l.mu.Lock()
		l.process.ObservePeer(p.number, m.Phase)
		reply := l.wait[m.Reply]
		delete(l.wait, m.Reply)
		l.mu.Unlock()
		l.settle()
		if reply != nil {
			reply <- struct{}{} // has room for all that were asked
		}
		if m.Order != nil {
			if err := l.host.ApplyCommand(ctx, *m.Order); err != nil {
				l.log.Warn("an order that another process took could not be carried out", "server", m.Order.Server, "error", err)
			}
		}
		if m.Ask == 0 {
			continue
		}
		if err := l.send(p, message{Reply: m.Ask}); err != nil {
			return
		}
	}
}

// lost notes that another process has ended.
func (l *Link) lost(p *peer) {
	besteffort.Close(p.conn)
	l.mu.Lock()
	delete(l.peers, p.number)
	l.process.RemovePeer(p.number)
	l.mu.Unlock()
	l.settle()
}

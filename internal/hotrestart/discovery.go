package hotrestart

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"appleledge/internal/besteffort"
	"appleledge/internal/unixsocket"
)

const (
	directoryLockTimeout = time.Second          // for other processes to have looked for each other
	directoryLockRetry   = 2 * time.Millisecond // between two attempts to take the lock
)

// socketSuffix ends the names of processes' sockets.
const socketSuffix = ".sock"

// socketPrefix begins the names of the sockets of one agent's processes. It is a hash, as the path of a socket may have a hundred
// bytes at most and an agent's name any length.
func socketPrefix(agent string) string {
	return fmt.Sprintf("appleledge-%016x.", xxhash.Sum64String(agent))
}

// path returns the path of a file in the directory, by its descriptor: that is short, however deep the directory is.
func (l *Link) path(name string) string {
	return fmt.Sprintf("/proc/self/fd/%d/%s", l.dir.Fd(), name)
}

// register returns the names of the other processes' sockets and makes the process's own.
//
// The directory's lock makes two processes that start together do this one after the other, so that the second finds the first.
// Without it neither might find the other, and a socket that exists but does not listen yet would look like that of a process that
// is gone, and be removed.
func (l *Link) register(agent string) (others []string) {
	defer l.lockDirectory()()
	others = l.otherSockets(agent)
	l.socketName = socketPrefix(agent) + rand.Text()[:8] + socketSuffix
	l.listenForPeers(l.path(l.socketName))
	return others
}

// lockDirectory keeps other processes from registering. It waits for the lock up to directoryLockTimeout and goes on without it
// afterwards: a process that holds the lock and hangs must not keep others from starting. The lock ends with the process.
func (l *Link) lockDirectory() (unlock func()) {
	fd := int(l.dir.Fd())
	for began := time.Now(); ; time.Sleep(directoryLockRetry) {
		err := unix.Flock(fd, unix.LOCK_EX|unix.LOCK_NB)
		switch {
		case err == nil:
			return func() { besteffort.Ignore(unix.Flock(fd, unix.LOCK_UN)) }
		case (err == unix.EWOULDBLOCK || err == unix.EINTR) && time.Since(began) < directoryLockTimeout:
			continue
		}
		l.log.Warn("the folder for temporary files can't be locked: of two processes of the agent that start in the same moment neither may know of the "+
			"other; end one and start it again", "folder", l.dir.Name(), "error", err)
		return func() {}
	}
}

// otherSockets returns the names of the sockets of the agent's processes.
func (l *Link) otherSockets(agent string) []string {
	names, err := l.dir.Readdirnames(-1)
	if err != nil {
		l.log.Warn("other processes of the agent can't be looked for", "error", err)
	}
	return slices.DeleteFunc(names, func(name string) bool {
		return !strings.HasPrefix(name, socketPrefix(agent)) || !strings.HasSuffix(name, socketSuffix)
	})
}

// listenForPeers makes the socket by which later processes join. Where that fails the process works, but cannot hand over.
func (l *Link) listenForPeers(path string) {
	peerListener, err := unixsocket.Listen(path)
	if err != nil {
		l.log.Warn("a later process can't take over from this one without a gap", "error", err)
		return
	}
	l.peerListener = peerListener
}

// isGone reports whether an error of joining says that no process is behind a socket any more.
func isGone(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist)
}

package hotrestart

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"appleledge/internal/besteffort"
)

// joinTimeout bounds the time for another process to answer at the start, and to be sent the listener.
const joinTimeout = time.Second

// Joining: the process that is joined sends one byte, which carries the descriptor of the listening socket as ancillary data
// (SCM_RIGHTS, unix(7)), and then its first message with the denylist.

// joinedPeer is another process with its first message.
type joinedPeer struct {
	*peer
	first message
}

// joinPeer connects to another process by its socket and receives the listener, which is nil if the byte carried none, and the first
// message.
func joinPeer(path string) (joined joinedPeer, listener net.Listener, err error) {
	c, err := net.DialTimeout("unix", path, joinTimeout)
	if err != nil {
		return joined, nil, err
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
	if err := conn.SetDeadline(time.Now().Add(joinTimeout)); err != nil {
		return joined, nil, err
	}
	if listener, err = receiveListener(conn); err != nil {
		return joined, nil, err
	}
	joined.peer = newPeer(conn)
	if joined.first, err = joined.read(); err != nil {
		return joined, listener, err
	}
	return joined, listener, conn.SetDeadline(time.Time{})
}

// receiveListener reads the byte that carries the listener; nil if it carries none.
func receiveListener(conn *net.UnixConn) (net.Listener, error) {
	var one [1]byte
	ancillary := make([]byte, syscall.CmsgSpace(4)) // room for one descriptor
	n, ancillaryBytes, _, _, err := conn.ReadMsgUnix(one[:], ancillary)
	if err != nil {
		return nil, err
	}
	if n != 1 {
		return nil, io.ErrUnexpectedEOF
	}
	messages, err := syscall.ParseSocketControlMessage(ancillary[:ancillaryBytes])
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

// sendListener sends the byte that carries the listener.
func sendListener(conn *net.UnixConn, listener syscall.Conn) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(joinTimeout)); err != nil {
		return err
	}
	var sendErr error
	err = raw.Control(func(fd uintptr) {
		_, _, sendErr = conn.WriteMsgUnix([]byte{'L'}, syscall.UnixRights(int(fd)), nil)
	})
	return errors.Join(err, sendErr)
}

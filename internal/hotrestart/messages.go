package hotrestart

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"appleledge/internal/besteffort"
	"appleledge/internal/denylist"
	"appleledge/internal/membership/listing"
)

const (
	messageWriteTimeout = 300 * time.Millisecond // for a peer to take a message
	maxMessageBytes     = 16 << 20               // the denylist with the ids of over 100,000 servers
)

// DenylistCommand is what an operator wants of a server.
type DenylistCommand struct {
	Server string `json:"server"`
	Deny   bool   `json:"out"` // deny the server, or else allow it again
}

// message is a line of JSON between two processes. Old and new versions of the program exchange them: keys keep their meaning, and
// unknown ones are ignored.
type message struct {
	Phase     Phase              `json:"phase"` // of the sender
	Denylist  *denylist.Snapshot `json:"bans,omitempty"`
	Command   *DenylistCommand   `json:"order,omitempty"`
	Endpoints *listing.Told      `json:"endpoints,omitempty"`  // the endpoint list that the sender has
	SharesIDs bool               `json:"shares_ids,omitempty"` // the sender answers claims of ids and wants to be told of them
	UsedIDs   []uint64           `json:"used_ids,omitempty"`   // digests of the ids that the sender uses, in the reply to SharesIDs
	ClaimID   string             `json:"claim_id,omitempty"`   // the sender is about to send a request with this id
	ReleaseID string             `json:"release_id,omitempty"` // the sender has claimed this id and not used it
	IsIDUsed  bool               `json:"id_used,omitempty"`    // in the reply to ClaimID
	RequestID int                `json:"ask,omitempty"`        // a reply is wanted under this number; 0: none is
	ReplyTo   int                `json:"reply,omitempty"`      // the RequestID that this replies to
}

// peer is the connection to another process. Its messages are read by one goroutine, Link.follow, and written by any.
type peer struct {
	number  int         // given by Link.add, not 0
	shares  atomic.Bool // it has said that it shares ids
	conn    *net.UnixConn
	reader  *bufio.Reader
	writing sync.Mutex // one message at a time
}

func newPeer(c *net.UnixConn) *peer { return &peer{conn: c, reader: bufio.NewReader(c)} }

// read reads the next message.
func (p *peer) read() (m message, err error) {
	var line []byte
	for {
		part, err := p.reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return m, err
		}
		if len(line) > maxMessageBytes {
			return m, fmt.Errorf("a message of more than %d bytes", maxMessageBytes)
		}
	}
	return m, json.Unmarshal(line, &m)
}

// send writes a message, with the process's own phase. After an error the connection is closed: a part of the line may have been
// written, and the peer could not read what follows.
func (l *Link) send(p *peer, m message) error {
	p.writing.Lock()
	defer p.writing.Unlock()
	l.mu.Lock()
	m.Phase = l.process.Phase() // while no other message to the peer is written, so that phases are told in their order
	l.mu.Unlock()
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if err = p.conn.SetWriteDeadline(time.Now().Add(messageWriteTimeout)); err == nil {
		_, err = p.conn.Write(append(line, '\n'))
	}
	if err != nil {
		besteffort.Close(p.conn)
	}
	return err
}

// checkPeerUser returns an error if the process at the other end runs as another user than uid.
func checkPeerUser(c *net.UnixConn, uid int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var credentials *syscall.Ucred
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		credentials, optionErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil || optionErr != nil {
		return errors.Join(err, optionErr)
	}
	if int(credentials.Uid) != uid {
		return fmt.Errorf("user %d is not the agent's", credentials.Uid)
	}
	return nil
}

package platform

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"
)

// processTracker numbers the processes that may have answered at discovery's address, by the connections to it. As long as one connection
// stays open the process is the same; a connection that is made when all before it have ended, or behind one that was refused, may lead to
// another process. It is safe for concurrent use.
type processTracker struct {
	dialer net.Dialer

	mu     sync.Mutex
	addr   string
	number int64 // of the process to which connections lead now, from 1
	open   int   // connections to it
}

// trackedConn is a connection to a process.
type trackedConn struct {
	net.Conn
	process int64
	close   func() error // once
}

func (c *trackedConn) Close() error { return c.close() }

// dial makes a connection.
func (t *processTracker) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := t.dialer.DialContext(ctx, network, addr)
	t.mu.Lock()
	defer t.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.open = 0 // those that are left hang
	}
	if err != nil {
		return nil, err
	}
	if t.open == 0 || t.addr != addr {
		t.number, t.open, t.addr = t.number+1, 0, addr
	}
	t.open++
	process := t.number
	return &trackedConn{Conn: c, process: process, close: sync.OnceValue(func() error {
		t.ended(process)
		return c.Close()
	})}, nil
}

// ended counts a connection to a process as ended.
func (t *processTracker) ended(process int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if process == t.number && t.open > 0 {
		t.open--
	}
}

// withProcess returns a context for a call that notes to which process it goes.
func withProcess(ctx context.Context, process *int64) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*trackedConn); ok {
			*process = c.process
		}
	}})
}

package cluster

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"time"

	"appleledge/internal/besteffort"
)

// Line is what becomes of what passes between an agent's machine and a server or the list.
type Line struct {
	Cut  bool          // connections are reset, and none can be had
	Mute bool          // what the agent sends does not arrive, and connections stay
	Deaf bool          // what comes back does not
	Late time.Duration // by which each piece is
}

// Discovery is the name of the list among lines.
const Discovery = "discovery"

const (
	linePiece = 4 << 10
	lineLook  = 5 * time.Millisecond // between two looks whether a line that is mute or deaf has come back
	lineDial  = time.Second
)

// Lines are the connections of each agent's machine to the list and to each server, one by one: the list tells each agent addresses of
// its own, behind which a relay stands.
type Lines struct {
	mu     sync.Mutex
	rule   func(agent int, to string) Line // nil: all is well
	relays map[string]*relay               // by agent and address
	names  map[string]string               // of servers, by address
	lists  []*http.Server
	closed bool
	all    sync.WaitGroup
}

func newLines() *Lines { return &Lines{relays: map[string]*relay{}, names: map[string]string{}} }

// Set changes the lines: to is a server's id, or Discovery. Nil is fine.
func (l *Lines) Set(rule func(agent int, to string) Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rule = rule
	for _, r := range l.relays {
		if l.line(r.agent, r.to).Cut {
			r.reset()
		}
	}
}

// line is the present rule; l.mu is held.
func (l *Lines) line(agent int, to string) Line {
	if l.rule == nil {
		return Line{}
	}
	return l.rule(agent, to)
}

// list opens an agent's way to the list, which tells it the addresses of its relays, and returns where it is.
func (l *Lines) list(agent int, discovery string) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("an agent's way to the list: %w", err)
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: discovery})
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	proxy.ModifyResponse = func(r *http.Response) error {
		text, err := io.ReadAll(r.Body)
		besteffort.Close(r.Body)
		if err != nil {
			return err
		}
		if text, err = l.readdress(agent, text); err != nil {
			return err
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(text)), int64(len(text))
		r.Header.Set("Content-Length", strconv.Itoa(len(text)))
		return nil
	}
	inner := &http.Server{Handler: proxy, ReadHeaderTimeout: time.Minute}
	l.mu.Lock()
	l.lists = append(l.lists, inner)
	l.mu.Unlock()
	l.all.Go(func() { besteffort.Ignore(inner.Serve(listener)) })
	return l.relay(agent, Discovery, listener.Addr().String())
}

// name says which server is at an address.
func (l *Lines) name(id, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names[addr] = id
}

// readdress puts an agent's relays in place of servers' addresses.
func (l *Lines) readdress(agent int, text []byte) ([]byte, error) {
	l.mu.Lock()
	names := make(map[string]string, len(l.names))
	for addr, id := range l.names {
		names[addr] = id
	}
	l.mu.Unlock()
	for addr, id := range names {
		quoted := strconv.AppendQuote(nil, addr)
		if !bytes.Contains(text, quoted) {
			continue
		}
		at, err := l.relay(agent, id, addr)
		if err != nil {
			return nil, err
		}
		text = bytes.ReplaceAll(text, quoted, strconv.AppendQuote(nil, at))
	}
	return text, nil
}

// relay returns where an agent finds an address.
func (l *Lines) relay(agent int, to, addr string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := fmt.Sprint(agent, " ", addr)
	if r := l.relays[key]; r != nil {
		r.to = to // another server may be there now
		return r.listener.Addr().String(), nil
	}
	if l.closed {
		return "", net.ErrClosed
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("a relay: %w", err)
	}
	r := &relay{lines: l, agent: agent, to: to, addr: addr, listener: listener, conns: map[net.Conn]struct{}{}, done: make(chan struct{})}
	l.relays[key] = r
	l.all.Go(r.serve)
	return listener.Addr().String(), nil
}

// Close ends all lines.
func (l *Lines) Close() {
	l.mu.Lock()
	l.closed = true
	for _, r := range l.relays {
		close(r.done)
		besteffort.Close(r.listener)
		r.reset()
	}
	lists := l.lists
	l.mu.Unlock()
	for _, s := range lists {
		besteffort.Close(s)
	}
	l.all.Wait()
}

// relay carries one agent's connections to one address.
type relay struct {
	lines    *Lines
	agent    int
	to       string // lines.mu guards it
	addr     string
	listener net.Listener
	done     chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func (r *relay) line() Line {
	r.lines.mu.Lock()
	defer r.lines.mu.Unlock()
	return r.lines.line(r.agent, r.to)
}

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.lines.all.Go(func() { r.carry(c) })
	}
}

func (r *relay) carry(near net.Conn) {
	defer abort(near)
	if r.line().Cut {
		return
	}
	far, err := net.DialTimeout("tcp4", r.addr, lineDial)
	if err != nil {
		return
	}
	defer besteffort.Close(far)
	if !r.hold(near, far) {
		return
	}
	defer r.drop(near, far)
	var both sync.WaitGroup
	both.Go(func() { r.pump(far, near, func(l Line) bool { return l.Mute }) })
	both.Go(func() { r.pump(near, far, func(l Line) bool { return l.Deaf }) })
	both.Wait()
}

func (r *relay) hold(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
		return false
	default:
	}
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
	return true
}

func (r *relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// reset ends all connections, as a network does that is gone.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		besteffort.Ignore(t.SetLinger(0))
	}
	besteffort.Close(c)
}

// pump carries one direction until it ends, and passes the end on.
func (r *relay) pump(to, from net.Conn, held func(Line) bool) {
	piece := make([]byte, linePiece)
	for {
		n, err := from.Read(piece)
		for held(r.line()) {
			select {
			case <-r.done:
				return
			case <-time.After(lineLook):
			}
		}
		if late := r.line().Late; late > 0 {
			time.Sleep(late)
		}
		if _, failed := to.Write(piece[:n]); failed != nil {
			abort(from)
			return
		}
		if errors.Is(err, io.EOF) {
			if t, ok := to.(*net.TCPConn); ok {
				besteffort.Ignore(t.CloseWrite())
			}
			return
		}
		if err != nil {
			abort(to)
			return
		}
	}
}

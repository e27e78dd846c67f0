package connlimit

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// There was no room for a while, long ago, but for connections in the midst of bodies. When there is none again, a body that comes keeps its
// connection at first, as another may make room.
func TestLackOfRoomIsNotRememberedForLong(t *testing.T) {
	l := &Listener{}
	l.noteSearch(nil)
	l.fullSince, l.searchedAt = l.fullSince.Add(-time.Minute), l.searchedAt.Add(-time.Minute)
	if l.noteSearch(nil); l.isFullForLong(time.Now()) {
		t.Error("a search of a minute ago counts")
	}
	l.fullSince = l.fullSince.Add(-maxFullTime)
	if l.noteSearch(nil); !l.isFullForLong(time.Now()) {
		t.Error("searches one behind the other do not count")
	}
}

// acceptCounter counts the connections that were accepted.
type acceptCounter struct {
	net.Listener
	accepted atomic.Int32
}

func (l *acceptCounter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// A handler answers a long request without reading its body. net/http ends its side then, and waits for half a second before it closes. When there
// has to be room meanwhile, that connection makes it, and none whose client may still send a request.
func TestAnsweredConnectionMakesRoomWhileItsCloseIsWaitedFor(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &acceptCounter{Listener: listener}
	l := New(counting, 2, Options{})
	server := &http.Server{ConnState: ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	})}
	go func() { besteffort.Ignore(server.Serve(l)) }()
	t.Cleanup(func() { besteffort.Close(server) })
	answered := dialFor(t, l)
	askOn(t, answered, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8000000\r\n\r\nx")
	if n, err := answered.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("%d bytes behind the answer, and %v, where the server has ended its side", n, err)
	}
	resting := dialFor(t, l)
	agenttest.Eventually(t, "there is room for a third", func() bool { return counting.accepted.Load() == 2 && l.OpenCount() == 1 })
	askOn(t, resting, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
}

func dialFor(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(c) })
	return c
}

// askOn sends a request and reads its answer.
func askOn(t *testing.T, c net.Conn, request string) {
	t.Helper()
	besteffort.Ignore(c.SetDeadline(time.Now().Add(5 * time.Second)))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v %v", resp, err)
	}
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

// runLog is what the servers of an installation have run, and when it came to them, by id.
type runLog struct {
	*installation
	takes time.Duration // for a server to run a request

	mu  sync.Mutex
	ran map[string][]time.Time
}

// installLogged starts an agent before two servers that note what they run.
func installLogged(t *testing.T, takes time.Duration) *runLog {
	l := &runLog{installation: install(t), takes: takes, ran: map[string][]time.Time{}}
	one, two := agenttest.NewStampedBackend(t, l.serve), agenttest.NewStampedBackend(t, l.serve)
	l.disco.Set(2, true, agenttest.EntryText("s-3", one.Addr().String(), "Ready", 0), agenttest.EntryText("s-4", two.Addr().String(), "Ready", 0))
	l.next()
	return l
}

// next starts one more version of the agent.
func (l *runLog) next() { l.ready(l.start(l.disco.Addr().String())) }

func (l *runLog) serve(c *agenttest.StampedConn, r *http.Request) bool {
	l.mu.Lock()
	id := r.Header.Get("X-Request-Id")
	l.ran[id] = append(l.ran[id], c.Arrived())
	l.mu.Unlock()
	time.Sleep(l.takes)
	_, err := io.WriteString(c, agenttest.Served)
	return err == nil
}

// connect connects a client.
func (l *runLog) connect() net.Conn {
	c, err := net.Dial("tcp", l.listen)
	if err != nil {
		l.t.Fatal(err)
	}
	return c
}

// requestText is a request of a class that must not run twice.
func requestText(path, id string) string {
	key := ""
	if path == "/refund-record" {
		key = "Idempotency-Key: " + id + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Tenant-Id: glasgow-airport\r\nX-Timeout: 2000m\r\n%sContent-Length: 2\r\n\r\nhi", path, id, key)
}

// A client leaves while its request runs, and the same id comes again: at once, while the first runs, behind its end, and at the other process of
// an upgrade. What must not run twice does not.
func TestIDThatComesAgainBehindItsClientDoesNotRunTwice(t *testing.T) {
	const takes = 300 * time.Millisecond
	for _, path := range []string{"/pay", "/refund-record"} {
		for _, upgraded := range []bool{false, true} {
			for _, pause := range []time.Duration{0, takes / 2, 2 * takes, 3 * time.Second} {
				t.Run(fmt.Sprintf("%s, upgraded %t, %v behind", path, upgraded, pause), func(t *testing.T) {
					t.Parallel()
					installLogged(t, takes).comeAgain(path, upgraded, pause)
				})
			}
		}
	}
}

// hasRun reports whether a server has got a request, by its id.
func (l *runLog) hasRun(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ran[id]) > 0
}

// comeAgain sends requests whose clients leave while they run, and each four times more.
func (l *runLog) comeAgain(path string, upgraded bool, pause time.Duration) {
	const count, repeats, leavesBehind = 10, 4, 20 * time.Millisecond
	for i := range count {
		id := fmt.Sprint("id-", i)
		c := l.connect()
		besteffort.IgnoreResult(io.WriteString(c, requestText(path, id)))
		time.Sleep(leavesBehind)
		agenttest.Eventually(l.t, "the request runs", func() bool { return l.hasRun(id) })
		besteffort.Close(c)
	}
	if upgraded {
		l.next()
	}
	time.Sleep(pause)
	for i := range count * repeats {
		c := l.connect()
		besteffort.IgnoreResult(io.WriteString(c, requestText(path, fmt.Sprint("id-", i/repeats))))
		besteffort.Ignore(c.SetReadDeadline(time.Now().Add(time.Second)))
		besteffort.IgnoreResult(http.ReadResponse(bufio.NewReader(c), nil))
		besteffort.Close(c)
	}
	time.Sleep(l.takes)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ran) != count {
		l.t.Errorf("%d requests ran, want %d", len(l.ran), count)
	}
	for id, at := range l.ran {
		if len(at) > 1 {
			l.t.Errorf("%s ran %d times", id, len(at))
		}
	}
}

// The same id comes to both processes of an upgrade at the same time: on a connection to the old one, and on a new one. It runs once at the most.
func TestIDAtBothProcessesOfAnUpgradeRunsOnce(t *testing.T) {
	for _, path := range []string{"/pay", "/refund-record"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			const count = 40
			l := installLogged(t, 100*time.Millisecond)
			var old, fresh []net.Conn
			for range count {
				old = append(old, l.connect())
			}
			l.exchange(old[0], "/ready") // the last to connect may not be accepted yet
			time.Sleep(50 * time.Millisecond)
			l.next()
			for range count {
				fresh = append(fresh, l.connect())
			}
			l.sendAtBoth(path, old, fresh)
		})
	}
}

// sendAtBoth sends requests at two processes, each under one id, and checks that none has run twice.
func (l *runLog) sendAtBoth(path string, old, fresh []net.Conn) {
	var clients sync.WaitGroup
	for i := range old {
		for _, c := range []net.Conn{old[i], fresh[i]} {
			clients.Go(func() {
				besteffort.IgnoreResult(io.WriteString(c, requestText(path, fmt.Sprint("both-", i))))
				besteffort.Ignore(c.SetReadDeadline(time.Now().Add(2 * time.Second)))
				besteffort.IgnoreResult(http.ReadResponse(bufio.NewReader(c), nil))
				besteffort.Close(c)
			})
		}
	}
	clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.ran {
		if len(at) > 1 {
			l.t.Errorf("%s ran %d times", id, len(at))
		}
	}
}

// exchange asks the agent for a page.
func (l *runLog) exchange(c net.Conn, path string) {
	besteffort.IgnoreResult(fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path))
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		l.t.Fatal(err)
	}
}

package agent

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

const (
	joinedSoakTime     = 12 * time.Second
	joinedSoakLongTime = 5 * time.Minute        // with APPLELEDGE_LONG=1
	leftGrace          = 150 * time.Millisecond // behind its client's close or answer, in which an attempt may still arrive
	timeoutSlack       = 150 * time.Millisecond // that a server may be told beyond the time left to the client
)

// joinedSoak is clients that ask for the same few forms and leave in many ways, and servers that answer well, late, badly or not at all. It keeps
// when each client was over, and notes attempts that arrive behind that or are told too much time.
type joinedSoak struct {
	t       *testing.T
	mu      sync.Mutex
	rnd     *rand.Rand
	sentAt  map[string]time.Time // of each request
	timeout map[string]time.Duration
	overAt  map[string]time.Time // when its client had closed, or had its answer
	arrived []joinedArrival
	served  int
}

// joinedArrival is an attempt at a server.
type joinedArrival struct {
	id   string
	at   time.Time
	told time.Duration
}

func (s *joinedSoak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n)
}

// serve is a server's part.
func (s *joinedSoak) serve(c *agenttest.StampedConn, r *http.Request) bool {
	told, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Timeout"), "u"))
	if err != nil {
		s.t.Errorf("X-Timeout %q", r.Header.Get("X-Timeout"))
	}
	s.mu.Lock()
	s.arrived = append(s.arrived, joinedArrival{r.Header.Get("X-Request-ID"), c.Arrived(), time.Duration(told) * time.Microsecond})
	s.mu.Unlock()
	answer := agenttest.Served
	switch s.draw(12) {
	case 0:
		return false
	case 1:
		answer = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
	case 2:
		answer = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	case 3, 4:
		time.Sleep(time.Duration(300+s.draw(900)) * time.Millisecond)
	case 5:
		time.Sleep(2500 * time.Millisecond)
	default:
		time.Sleep(time.Duration(20+s.draw(80)) * time.Millisecond)
	}
	_, err = io.WriteString(c, answer)
	return err == nil
}

// client asks for a form, and leaves or waits.
func (s *joinedSoak) client(addr, id string) {
	timeout := time.Duration(200+s.draw(1800)) * time.Millisecond
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.sentAt[id], s.timeout[id] = time.Now(), timeout
	s.mu.Unlock()
	defer func() {
		besteffort.Close(c)
		s.mu.Lock()
		s.overAt[id] = time.Now()
		s.mu.Unlock()
	}()
	if _, err := fmt.Fprintf(c, "GET /form-check/%d HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Tenant-Id: glasgow-airport\r\nX-Timeout: %dm\r\n\r\n",
		s.draw(5), id, timeout.Milliseconds()); err != nil {
		return
	}
	switch s.draw(5) {
	case 0:
		time.Sleep(time.Duration(s.draw(400)) * time.Millisecond)
	case 1:
		time.Sleep(time.Duration(s.draw(400)) * time.Millisecond)
		besteffort.Ignore(c.(*net.TCPConn).SetLinger(0)) // a reset
	default:
		besteffort.Ignore(c.SetReadDeadline(time.Now().Add(timeout + time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			s.t.Errorf("%s got no answer: %v", id, err)
			return
		}
		if resp.StatusCode == http.StatusOK {
			s.mu.Lock()
			s.served++
			s.mu.Unlock()
		}
	}
}

// Failure: attempts began for clients that had left or had their answer, as others waited for the same. Servers hang, fail and are late, and clients leave
// by a close, a reset or the end of their time: each attempt arrives while its client waits, and is told no more than its time.
func TestSoakOfJoinedClientsThatLeave(t *testing.T) {
	lasts := joinedSoakTime
	if os.Getenv("APPLELEDGE_LONG") != "" {
		lasts = joinedSoakLongTime
	}
	const seed = 82
	s := &joinedSoak{t: t, rnd: rand.New(rand.NewPCG(seed, seed)), sentAt: map[string]time.Time{}, timeout: map[string]time.Duration{}, overAt: map[string]time.Time{}}
	var entries []string
	for i := range 3 {
		b := agenttest.NewStampedBackend(t, s.serve)
		entries = append(entries, entryText(fmt.Sprint("s-", i), b.Addr().String(), "Ready", 0))
	}
	a := startOn(t, newFakeDiscovery(t, 1, entries...), time.Millisecond, func(*Config) {}, joinAll(false), slog.New(slog.DiscardHandler))
	var clients sync.WaitGroup
	for n, end := 0, time.Now().Add(lasts); time.Now().Before(end); n++ {
		clients.Go(func() { s.client(a.addr, fmt.Sprintf("%016x", n)) })
		time.Sleep(time.Duration(1+s.draw(15)) * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(leftGrace)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.arrived {
		if late := x.at.Sub(s.overAt[x.id]); late > leftGrace {
			t.Errorf("an attempt under %s arrived %v behind the end of its client", x.id, late)
		}
		if left := s.timeout[x.id] - x.at.Sub(s.sentAt[x.id]); x.told > left+timeoutSlack {
			t.Errorf("an attempt under %s was told %v, its client had %v left", x.id, x.told, left)
		}
	}
	t.Logf("%d clients, %d attempts, %d served", len(s.sentAt), len(s.arrived), s.served)
}

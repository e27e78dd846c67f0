package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

var testClasses = []Class{
	{Name: "form-check", Work: [2]time.Duration{5 * time.Millisecond, 10 * time.Millisecond}},
	{Name: "refund-record", Work: [2]time.Duration{5 * time.Millisecond, 10 * time.Millisecond}, Wait: [2]time.Duration{time.Millisecond, 2 * time.Millisecond}},
}

func start(t *testing.T, spec Spec, limits ListenOptions) (*FormServer, *Ledger) {
	t.Helper()
	ledger := NewLedger()
	if limits.IdleTimeout == 0 {
		limits.IdleTimeout = agenttest.Patience
	}
	epoch := time.Now()
	f, err := Listen("s-1", NewServer("s-1", spec, NewPod(0, 2*time.Second, ledger), 1, 0, true), testClasses, 1, epoch, limits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, ledger
}

// get sends a request and returns the answer; an error is a broken connection.
func get(f *FormServer, class, id, key string) (*http.Response, string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.Addr+"/"+class, strings.NewReader("form"))
	if err != nil {
		return nil, "", err
	}
	r.Header.Set("X-Request-ID", id)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: agenttest.Patience}
	resp, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer besteffort.Close(resp.Body)
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func TestFormServerServes(t *testing.T) {
	f, ledger := start(t, Spec{Cores: 2, Speed: 1, Slots: 4, ReportInterval: 10 * time.Millisecond}, ListenOptions{})
	for i := range 5 {
		resp, body, err := get(f, "refund-record", fmt.Sprint(i), fmt.Sprint("k", i/2))
		if err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(body, "s-1") ||
			!strings.HasPrefix(resp.Header.Get("X-Server-Load"), "util=") {
			t.Fatalf("%v %q, %v", resp, body, err)
		}
	}
	if n := len(ledger.Effects()); n != 3 { // of five with three keys, two were repeats
		t.Errorf("%d effects", n)
	}
	if resp, _, err := get(f, "elsewhere", "1", ""); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("an unknown class: %v, %v", resp, err)
	}
}

// What there is no room for is turned away unseen, at once.
func TestFormServerTurnsAway(t *testing.T) {
	f, ledger := start(t, Spec{Cores: 1, Speed: 0.001, Slots: 1, Queue: 1}, ListenOptions{}) // several seconds a request
	for i := range 2 {
		go func() { _, _, _ = get(f, "refund-record", fmt.Sprint(i), fmt.Sprint(i)) }()
		agenttest.Eventually(t, "it is held", func() bool { return f.InFlight() == i+1 })
	}
	resp, _, err := get(f, "refund-record", "2", "2")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Not-Processed") != "1" {
		t.Errorf("%v, %v", resp, err)
	}
	if n := len(ledger.Effects()); n != 2 {
		t.Errorf("%d effects", n)
	}
}

// A client that leaves stops nothing: the work goes on, and has its effect.
func TestWorkGoesOnWithoutTheClient(t *testing.T) {
	f, ledger := start(t, Spec{Cores: 1, Speed: 0.05, Slots: 1, Queue: 1}, ListenOptions{}) // a tenth of a second or two
	c, err := net.Dial("tcp", f.Addr)
	if err != nil {
		t.Fatal(err)
	}
	besteffort.IgnoreResult(io.WriteString(c, "POST /refund-record HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n"))
	agenttest.Eventually(t, "it is held", func() bool { return f.InFlight() == 1 })
	besteffort.Close(c)
	agenttest.Eventually(t, "it is done", func() bool { return f.InFlight() == 0 })
	if n := len(ledger.Effects()); n != 1 {
		t.Errorf("%d effects", n)
	}
}

// The faults show as they do in service: a hang takes requests and says nothing, a kill breaks connections, resets and
// noise come after the effect.
func TestFormServerFaults(t *testing.T) {
	spec := Spec{Cores: 2, Speed: 1, Slots: 4}
	f, ledger := start(t, spec, ListenOptions{})
	f.SetConnFaults(ConnFaults{ResetRatio: 1})
	if _, _, err := get(f, "refund-record", "1", "a"); err == nil {
		t.Error("no reset")
	}
	f.SetConnFaults(ConnFaults{CorruptRatio: 1})
	noise, err := net.Dial("tcp", f.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(noise)
	besteffort.IgnoreResult(io.WriteString(noise, "POST /refund-record HTTP/1.1\r\nHost: x\r\nX-Request-ID: 2\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n"))
	besteffort.Ignore(noise.SetReadDeadline(time.Now().Add(agenttest.Patience)))
	if text, err := bufio.NewReader(noise).ReadString('r'); err != nil || !strings.HasPrefix(text, "\x16") {
		t.Errorf("%q, %v", text, err)
	}
	f.SetConnFaults(ConnFaults{})
	f.ChangeFaults(func(x *Faults) { x.Errors = 1 })
	if resp, _, err := get(f, "refund-record", "3", "c"); err != nil || resp.StatusCode != http.StatusInternalServerError {
		t.Errorf("%v, %v", resp, err)
	}
	if n := len(ledger.Effects()); n != 3 {
		t.Errorf("%d effects", n)
	}
	f.ChangeFaults(func(x *Faults) { *x = Faults{Hung: true} })
	c, err := net.Dial("tcp", f.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(c)
	besteffort.IgnoreResult(io.WriteString(c, "GET /form-check HTTP/1.1\r\nHost: x\r\nX-Request-ID: 4\r\n\r\n"))
	besteffort.Ignore(c.SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("a hung server says something")
	}
	f.ChangeFaults(func(x *Faults) { *x = Faults{Killed: true} })
	if _, _, err := get(f, "form-check", "5", ""); err == nil {
		t.Error("a killed server answers")
	}
}

// A full table closes new connections, and a place that comes free is used again.
func TestConnectionLimit(t *testing.T) {
	f, _ := start(t, Spec{Cores: 2, Speed: 1, Slots: 4}, ListenOptions{MaxConns: 2})
	var held []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", f.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer besteffort.Close(c)
		besteffort.IgnoreResult(io.WriteString(c, "GET /form-check HTTP/1.1\r\nHost: x\r\nX-Request-ID: 1\r\n\r\n"))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	if _, _, err := get(f, "form-check", "2", ""); err == nil {
		t.Error("a third connection was served")
	}
	besteffort.Close(held[0])
	agenttest.Eventually(t, "the place is free", func() bool { _, _, err := get(f, "form-check", "3", ""); return err == nil })
}

// Many clients at once are all answered, and the model ends empty.
func TestManyClients(t *testing.T) {
	f, ledger := start(t, Spec{Cores: 4, Speed: 2, Slots: 64, Queue: 1000}, ListenOptions{})
	var all sync.WaitGroup
	for i := range 300 {
		all.Go(func() {
			if resp, _, err := get(f, "refund-record", fmt.Sprint(i), fmt.Sprint(i)); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%v, %v", resp, err)
			}
		})
	}
	all.Wait()
	if f.InFlight() != 0 || len(ledger.Effects()) != 300 {
		t.Errorf("%d held, %d effects", f.InFlight(), len(ledger.Effects()))
	}
}

// A server that reads nothing takes what was written meanwhile when that ends, though its sender has given up, and counts it as
// received then.
func TestServerThatReadsNothingTakesRequestsLater(t *testing.T) {
	f, ledger := start(t, Spec{Cores: 2, Speed: 1, Slots: 4}, ListenOptions{})
	f.SetConnFaults(ConnFaults{ReadsNothing: true})
	c, err := net.Dial("tcp", f.Addr)
	if err != nil {
		t.Fatal(err)
	}
	besteffort.IgnoreResult(io.WriteString(c, "POST /refund-record HTTP/1.1\r\nHost: h\r\nX-Request-ID: 1\r\nIdempotency-Key: k\r\nX-Timeout: 250m\r\nContent-Length: 0\r\n\r\n"))
	besteffort.Close(c)
	agenttest.Eventually(t, "it has come", func() bool { return f.Unread() == 1 })
	if n := f.Arrived(); n != 0 {
		t.Errorf("%d requests are taken at once", n)
	}
	came := f.LastArrival()
	ends := f.now()
	f.SetConnFaults(ConnFaults{})
	agenttest.Eventually(t, "it is taken", func() bool { return len(ledger.Effects()) == 1 })
	if e := ledger.Effects()[0]; e.At < ends || e.TimeLeft != 250*time.Millisecond {
		t.Errorf("%+v, after reading began again at %v", e, ends)
	}
	if came.IsZero() || !f.LastArrival().Equal(came) { // for drains a request counts from when it was sent
		t.Errorf("the latest request came at %v, then at %v", came, f.LastArrival())
	}
}

// A server that rejects abandoned requests gets two while it reads nothing, and runs the one whose sender still waits.
func TestServerRejectsAbandonedRequests(t *testing.T) {
	f, ledger := start(t, Spec{Cores: 2, Speed: 1, Slots: 4}, ListenOptions{RejectsAbandoned: true})
	f.SetConnFaults(ConnFaults{ReadsNothing: true})
	send := func(key string) net.Conn {
		c, err := net.Dial("tcp", f.Addr)
		if err != nil {
			t.Fatal(err)
		}
		besteffort.IgnoreResult(fmt.Fprintf(c, "POST /refund-record HTTP/1.1\r\nHost: h\r\nX-Request-ID: %[1]s\r\nIdempotency-Key: %[1]s\r\nContent-Length: 0\r\n\r\n", key))
		return c
	}
	abandoned, awaited := send("abandoned"), send("awaited")
	defer besteffort.Close(awaited)
	agenttest.Eventually(t, "both have come", func() bool { return f.Unread() == 2 })
	besteffort.Close(abandoned)
	agenttest.Eventually(t, "the close was seen", func() bool { return f.Unread() == 1 })
	f.SetConnFaults(ConnFaults{})
	agenttest.Eventually(t, "the other one ran", func() bool { return f.Unread() == 0 && f.InFlight() == 0 && len(ledger.Effects()) > 0 })
	if all := ledger.Effects(); len(all) != 1 || all[0].Key != "awaited" {
		t.Errorf("ran: %+v", all)
	}
}

// dialServer opens a connection to a server that ends with the test.
func dialServer(t *testing.T, f *FormServer) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(c) })
	return c
}

// expectingHead is the head of a refund with the key, whose body "form" is to follow when 100 (Continue) has come.
func expectingHead(key string) string {
	return fmt.Sprintf("POST /refund-record HTTP/1.1\r\nHost: h\r\nX-Request-ID: %[1]s\r\nIdempotency-Key: %[1]s\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", key)
}

// requireSilence fails the test if a byte, or the end of the connection, comes within a while.
func requireSilence(t *testing.T, c net.Conn) {
	t.Helper()
	besteffort.Ignore(c.SetReadDeadline(time.Now().Add(150 * time.Millisecond)))
	var one [1]byte
	if n, err := c.Read(one[:]); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %q, %v", n, one[:n], err)
	}
	besteffort.Ignore(c.SetReadDeadline(time.Now().Add(agenttest.Patience)))
}

// requireStatus reads a response's head and fails the test if its status is another.
func requireStatus(t *testing.T, c net.Conn, from *bufio.Reader, status int) {
	t.Helper()
	besteffort.Ignore(c.SetReadDeadline(time.Now().Add(agenttest.Patience)))
	resp, err := http.ReadResponse(from, nil)
	if err != nil || resp.StatusCode != status {
		t.Fatalf("%v, %v where %d was to come", resp, err, status)
	}
}

// requireServed reads a whole response and fails the test if it is not 200.
func requireServed(t *testing.T, c net.Conn, from *bufio.Reader) {
	t.Helper()
	besteffort.Ignore(c.SetReadDeadline(time.Now().Add(agenttest.Patience)))
	resp, err := http.ReadResponse(from, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	if text, err := io.ReadAll(resp.Body); err != nil || !strings.HasPrefix(string(text), "form ") {
		t.Errorf("%q, %v", text, err)
	}
}

// A stopped process reads no head, so it can't ask for a body. A client sends the head of a refund during a stall: nothing comes back
// until the stall ends, then 100 (Continue), and the refund runs once its body has come.
func TestNoContinueDuringAReadStall(t *testing.T) {
	f, ledger := start(t, Spec{Cores: 2, Speed: 1, Slots: 4}, ListenOptions{})
	kept := dialServer(t, f) // has carried a request already: the server waits for the next one on it
	fromKept := bufio.NewReader(kept)
	besteffort.IgnoreResult(io.WriteString(kept, "GET /form-check HTTP/1.1\r\nHost: h\r\nX-Request-ID: 1\r\n\r\n"))
	resp, err := http.ReadResponse(fromKept, nil)
	if err != nil {
		t.Fatal(err)
	}
	besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
	f.SetConnFaults(ConnFaults{ReadsNothing: true})
	fresh := dialServer(t, f)
	fromFresh := bufio.NewReader(fresh)
	besteffort.IgnoreResult(io.WriteString(kept, expectingHead("kept")))
	besteffort.IgnoreResult(io.WriteString(fresh, expectingHead("fresh")))
	requireSilence(t, kept)
	requireSilence(t, fresh)
	if n := f.Unread(); n != 2 {
		t.Errorf("%d heads are unread", n)
	}
	f.SetConnFaults(ConnFaults{})
	requireStatus(t, kept, fromKept, http.StatusContinue)
	requireStatus(t, fresh, fromFresh, http.StatusContinue)
	if n := len(ledger.Effects()); n != 0 {
		t.Errorf("%d ran without their bodies", n)
	}
	besteffort.IgnoreResult(io.WriteString(kept, "form"))
	besteffort.IgnoreResult(io.WriteString(fresh, "form"))
	requireStatus(t, kept, fromKept, http.StatusOK)
	requireStatus(t, fresh, fromFresh, http.StatusOK)
	if n := len(ledger.Effects()); n != 2 {
		t.Errorf("%d of 2 ran", n)
	}
}

// The stall begins between the head, which has been read, and the body. The head stays with the server: it runs the refund when the stall has
// ended, counts it as received then, and for drains from its head.
func TestReadStallBetweenHeadAndBody(t *testing.T) {
	f, ledger := start(t, Spec{Cores: 2, Speed: 1, Slots: 4}, ListenOptions{})
	c := dialServer(t, f)
	from := bufio.NewReader(c)
	besteffort.IgnoreResult(io.WriteString(c, expectingHead("k")))
	requireStatus(t, c, from, http.StatusContinue)
	headAt := f.LastArrival()
	if headAt.IsZero() {
		t.Error("no time of arrival with the head")
	}
	f.SetConnFaults(ConnFaults{ReadsNothing: true})
	besteffort.IgnoreResult(io.WriteString(c, "form"))
	requireSilence(t, c)
	if n := f.Arrived() + len(ledger.Effects()); n != 0 || f.Unread() != 1 {
		t.Errorf("%d taken, %d unread", n, f.Unread())
	}
	ends := f.now()
	f.SetConnFaults(ConnFaults{})
	requireStatus(t, c, from, http.StatusOK)
	if e := ledger.Effects(); len(e) != 1 || e[0].At < ends {
		t.Errorf("%+v, after reading began again at %v", e, ends)
	}
	if !f.LastArrival().Equal(headAt) {
		t.Errorf("the latest request came at %v, its head at %v", f.LastArrival(), headAt)
	}
}

// An answer to what was read before the stall goes out in it, also where more waits behind the request; that is read later.
func TestReadStallLetsAnswersOut(t *testing.T) {
	f, _ := start(t, Spec{Cores: 1, Speed: 0.05, Slots: 1}, ListenOptions{}) // a tenth of a second or two
	c := dialServer(t, f)
	from := bufio.NewReader(c)
	request := "GET /form-check HTTP/1.1\r\nHost: h\r\nX-Request-ID: 1\r\n\r\n"
	besteffort.IgnoreResult(io.WriteString(c, request))
	agenttest.Eventually(t, "it is held", func() bool { return f.InFlight() == 1 })
	f.SetConnFaults(ConnFaults{ReadsNothing: true})
	besteffort.IgnoreResult(io.WriteString(c, request))
	besteffort.Ignore(c.SetReadDeadline(time.Now().Add(agenttest.Patience)))
	resp, err := http.ReadResponse(from, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
	agenttest.Eventually(t, "the next one waits", func() bool { return f.Unread() == 1 })
	if n := f.Arrived(); n != 1 {
		t.Errorf("%d requests were taken", n)
	}
	f.SetConnFaults(ConnFaults{})
	requireStatus(t, c, from, http.StatusOK)
}

// A server that is killed in its stall breaks its connections, and runs nothing of what waits on them.
func TestCloseDuringAReadStall(t *testing.T) {
	f, ledger := start(t, Spec{Cores: 2, Speed: 1, Slots: 4}, ListenOptions{})
	read, unread := dialServer(t, f), dialServer(t, f)
	from := bufio.NewReader(read)
	besteffort.IgnoreResult(io.WriteString(read, expectingHead("read")))
	requireStatus(t, read, from, http.StatusContinue)
	f.SetConnFaults(ConnFaults{ReadsNothing: true})
	besteffort.IgnoreResult(io.WriteString(read, "form"))
	besteffort.IgnoreResult(io.WriteString(unread, expectingHead("unread")+"form"))
	agenttest.Eventually(t, "both wait", func() bool { return f.Unread() == 2 })
	f.Close()
	for _, c := range []net.Conn{read, unread} {
		besteffort.Ignore(c.SetReadDeadline(time.Now().Add(agenttest.Patience)))
		if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%d bytes, %v", n, err)
		}
	}
	if n := len(ledger.Effects()); n != 0 || f.Unread() != 0 {
		t.Errorf("%d ran, %d are unread", n, f.Unread())
	}
}

// A sender closes in the stall a request whose head the server had read before: a server that rejects abandoned requests doesn't run it,
// another one does, when the stall ends.
func TestRequestAbandonedBehindItsHead(t *testing.T) {
	for _, rejects := range []bool{true, false} {
		f, ledger := start(t, Spec{Cores: 2, Speed: 1, Slots: 4}, ListenOptions{RejectsAbandoned: rejects})
		c := dialServer(t, f)
		besteffort.IgnoreResult(io.WriteString(c, expectingHead("k")))
		requireStatus(t, c, bufio.NewReader(c), http.StatusContinue)
		f.SetConnFaults(ConnFaults{ReadsNothing: true})
		besteffort.IgnoreResult(io.WriteString(c, "form"))
		agenttest.Eventually(t, "the body waits", func() bool { return f.Unread() == 1 })
		besteffort.Close(c)
		if rejects {
			agenttest.Eventually(t, "the close was seen", func() bool { return f.Unread() == 0 })
		}
		f.SetConnFaults(ConnFaults{})
		isAny := func(*countedConn) bool { return true }
		agenttest.Eventually(t, "it has been dealt with", func() bool { return f.listener.count(isAny) == 0 && f.InFlight() == 0 })
		if n := len(ledger.Effects()); (n == 0) != rejects {
			t.Errorf("%d ran at a server that rejects abandoned requests: %v", n, rejects)
		}
	}
}

// For drains a request counts from when it came. That its sender gives it up later in the stall, which the kernel notes behind the
// same bytes, changes nothing.
func TestGivingUpInAReadStallIsNoArrival(t *testing.T) {
	f, ledger := start(t, Spec{Cores: 2, Speed: 1, Slots: 4}, ListenOptions{})
	f.SetConnFaults(ConnFaults{ReadsNothing: true})
	c := dialServer(t, f)
	besteffort.IgnoreResult(io.WriteString(c, expectingHead("k")+"form"))
	agenttest.Eventually(t, "it has come", func() bool { return f.Unread() == 1 })
	came := f.LastArrival()
	requireSilence(t, c)
	besteffort.Close(c)
	f.SetConnFaults(ConnFaults{})
	agenttest.Eventually(t, "it is taken", func() bool { return len(ledger.Effects()) == 1 })
	if came.IsZero() || !f.LastArrival().Equal(came) {
		t.Errorf("it came at %v, then at %v", came, f.LastArrival())
	}
}

// There are servers of two kinds. One asks for the body of a request that expects 100 (Continue); the other one says nothing and waits. Both
// answer when the body has come, and go on to the next request of the connection, here one whose body comes with its head.
func TestExpectationsAtBothKindsOfServers(t *testing.T) {
	for _, omits := range []bool{false, true} {
		t.Run(fmt.Sprint("omits ", omits), func(t *testing.T) {
			f, ledger := start(t, Spec{Cores: 2, Speed: 1, Slots: 4}, ListenOptions{OmitsContinue: omits})
			c := dialServer(t, f)
			from := bufio.NewReader(c)
			requireContinue := func() {
				if !omits {
					requireStatus(t, c, from, http.StatusContinue)
				}
			}
			besteffort.IgnoreResult(io.WriteString(c, expectingHead("1")))
			requireContinue()
			requireSilence(t, c)
			besteffort.IgnoreResult(io.WriteString(c, "form"))
			requireServed(t, c, from)
			besteffort.IgnoreResult(io.WriteString(c, expectingHead("2")+"form"))
			requireContinue()
			requireServed(t, c, from)
			if n := len(ledger.Effects()); n != 2 {
				t.Errorf("%d of 2 ran", n)
			}
		})
	}
}

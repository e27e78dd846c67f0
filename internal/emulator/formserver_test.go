package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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

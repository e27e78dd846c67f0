package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
)

func ask(t *testing.T, d *Discovery, query string) (l list, status int) {
	t.Helper()
	client := http.Client{Timeout: agenttest.Patience}
	resp, err := client.Get("http://" + d.Addr + "/v1/endpoints" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(resp.Body)
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
			t.Fatal(err)
		}
	}
	return l, resp.StatusCode
}

func newTestDiscovery(t *testing.T) *Discovery {
	t.Helper()
	d, err := NewDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func ready(id string) Entry { return Entry{ID: id, Addr: "127.0.0.1:1", State: "Ready", Weight: 1} }

func TestListAndWatch(t *testing.T) {
	d := newTestDiscovery(t)
	d.Set(ready("a"), ready("b"))
	l, _ := ask(t, d, "")
	if !l.Full || len(l.Servers) != 2 || l.Version != 1 {
		t.Errorf("%+v", l)
	}
	if l, _ := ask(t, d, "?since=1&timeout_ms=20"); l.Full || len(l.Servers) != 0 || l.Version != 1 {
		t.Errorf("a watch with no news: %+v", l)
	}
	got := make(chan list)
	go func() { l, _ := ask(t, d, "?since=1&timeout_ms=60000"); got <- l }()
	gone := ready("a")
	gone.State = "Gone"
	d.Set(gone, ready("c"))
	if l := <-got; l.Full || len(l.Servers) != 2 || l.Version != 2 {
		t.Errorf("a watch: %+v", l)
	}
	if l, _ := ask(t, d, ""); len(l.Servers) != 2 || l.Servers[0].ID != "b" {
		t.Errorf("the whole list: %+v", l)
	}
}

// An outage ends watches and fails calls, and the list comes back with what has changed meanwhile.
func TestOutage(t *testing.T) {
	d := newTestDiscovery(t)
	d.Set(ready("a"))
	status := make(chan int)
	go func() { _, s := ask(t, d, "?since=1&timeout_ms=60000"); status <- s }()
	time.Sleep(20 * time.Millisecond) // the watch may or may not have begun: it fails either way
	d.SetOut(true)
	if s := <-status; s != http.StatusServiceUnavailable {
		t.Errorf("a watch ends with %d", s)
	}
	d.Set(ready("b"))
	if _, s := ask(t, d, ""); s != http.StatusServiceUnavailable {
		t.Errorf("a call is answered %d", s)
	}
	d.SetOut(false)
	if l, _ := ask(t, d, "?since=1&timeout_ms=60000"); len(l.Servers) != 1 || l.Servers[0].ID != "b" {
		t.Errorf("%+v", l)
	}
}

func TestLateChanges(t *testing.T) {
	d := newTestDiscovery(t)
	d.SetLag(100 * time.Millisecond)
	began := time.Now()
	d.Set(ready("a"))
	if l, _ := ask(t, d, "?since=0&timeout_ms=60000"); len(l.Servers) != 1 || time.Since(began) < 100*time.Millisecond {
		t.Errorf("%+v after %v", l, time.Since(began))
	}
	d.SetLag(time.Hour)
	d.Set(ready("b")) // is still on its way when the discovery closes
}

// Servers that are gone are forgotten in the end; who watches from before that gets the whole list.
func TestGoneServersAreForgotten(t *testing.T) {
	d := newTestDiscovery(t)
	d.Set(ready("stays"))
	for i := range 2 * maxGoneEntries {
		e := ready(fmt.Sprint("g", i))
		e.State = "Gone"
		d.Set(e)
	}
	d.mu.Lock()
	held := len(d.entries)
	d.mu.Unlock()
	if held > maxGoneEntries+1 {
		t.Errorf("%d entries are held", held)
	}
	if l, _ := ask(t, d, "?since=1&timeout_ms=10"); !l.Full || len(l.Servers) != 1 {
		t.Errorf("full %v, %d servers", l.Full, len(l.Servers))
	}
	if l, _ := ask(t, d, fmt.Sprintf("?since=%d&timeout_ms=10", 2*maxGoneEntries)); l.Full || len(l.Servers) != 1 {
		t.Errorf("the latest change: full %v, %d servers", l.Full, len(l.Servers))
	}
}

package agent

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/harness/controlplane"
	"appleledge/internal/membership"
	"appleledge/internal/membership/xds"
	"appleledge/internal/simwire"
)

// A migration from the platform's list to a control plane and back, under load: the same servers go under other ids
// there, the control plane comes late and dies, and one server drains by the word of the source that does not count. No
// request is lost or turned away, and nothing new comes to the draining server after 500 ms.
func TestMigrationUnderLoad(t *testing.T) {
	plane, err := controlplane.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer plane.Stop()
	var entries []string
	var endpoints []controlplane.Endpoint
	var last [3]atomic.Int64 // when a request last came, by server
	for i := range last {
		b := newBackend(t, func(c net.Conn, r *http.Request, n int) bool {
			last[i].Store(time.Now().UnixNano())
			return says(served)(c, r, n)
		})
		addr := b.Addr().(*net.TCPAddr)
		entries = append(entries, entryText(fmt.Sprint("s-", i), addr.String(), "Ready", 0))
		endpoints = append(endpoints, controlplane.Endpoint{ID: fmt.Sprint("x-", i), Host: "127.0.0.1", Port: addr.Port})
	}
	d := newFakeDiscovery(t, 1, entries...)
	var log agenttest.LockedBuffer
	with := Features{
		Membership: membership.Options{FailoverDelay: 200 * time.Millisecond, FailbackDelay: 200 * time.Millisecond},
		Sources: []Source{{Name: "xds", Descriptors: 2, Open: func(c engine.Clock, site simwire.Site, log *slog.Logger) membership.Source {
			return xds.New(xds.Options{Server: plane.Addr(), NodeID: "n0", Incremental: true, Clusters: []string{"c"}, Zones: site.Zones,
				InitialFetchTimeout: patience, MinBackoff: 20 * time.Millisecond, MaxBackoff: time.Second, KeepaliveInterval: 10 * time.Second,
				MaxMessageBytes: 1 << 20, LogInterval: time.Minute}, c, log)
		}}, {Name: Platform}},
	}
	a := startOn(t, d, time.Millisecond, func(*Config) {}, with, slog.New(slog.NewTextHandler(&log, nil)))

	var clients sync.WaitGroup
	stop := make(chan struct{})
	var asked, failed atomic.Int64
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				asked.Add(1)
				resp, err := http.DefaultClient.Do(a.newRequest(t, http.MethodGet, "/form-check", ""))
				if err != nil {
					failed.Add(1)
					continue
				}
				besteffort.IgnoreResult(io.Copy(io.Discard, resp.Body))
				if besteffort.Close(resp.Body); resp.StatusCode != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	counts := func(source string, n int) {
		t.Helper()
		eventually(t, source+" counts", func() bool { return log.Count("told by\" source="+source) == n })
		from := asked.Load()
		eventually(t, "requests by that list", func() bool { return asked.Load() > from+200 })
	}
	counts(Platform, 1)
	plane.Set(controlplane.Assignment("c", "edinburgh-dc", endpoints...))
	counts("xds", 1)
	d.Set(2, false, entryText("s-1", endpoints[1].Host+fmt.Sprint(":", endpoints[1].Port), "Terminating", 0))
	told := time.Now()
	time.Sleep(700 * time.Millisecond)
	plane.Stop()
	counts(Platform, 2)
	close(stop)
	clients.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d requests were not served", n, asked.Load())
	}
	if late := time.Unix(0, last[1].Load()).Sub(told); late > 500*time.Millisecond {
		t.Errorf("the draining server got a request %v after the drain", late)
	}
	if last[0].Load() < told.Add(700*time.Millisecond).UnixNano() {
		t.Error("the others get no requests")
	}
}

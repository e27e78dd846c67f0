package file

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/golden"
	"appleledge/internal/membership"
	"appleledge/internal/membership/listing"
)

// The committed list of package listing, as a file, is reported as a whole list.
func TestGoldenFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers.json")
	if err := os.WriteFile(path, golden.Read(t, "listing/full.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	var now time.Duration
	s := &Source{Path: path, Decoder: listing.Decoder{Zones: []string{"edinburgh-dc", "lerwick-dc"}, Clock: engine.ManualClock(&now)}}
	to := agenttest.NewSink()
	if err := s.poll(to); err != nil {
		t.Fatal(err)
	}
	want := membership.Update{Full: true, Members: []engine.Member{
		{Addr: "10.0.0.1:8001", Kind: "twin-core", Server: balancer.Server{ID: "s-1", Cell: 1, Weight: 1.5, Started: 1764580000123 * time.Millisecond}},
		{Addr: "10.0.0.2:8002", Kind: "quad-core", Server: balancer.Server{ID: "s-2", Zone: 1, Cell: 2, Weight: 2.5, Started: 1764580000456 * time.Millisecond}},
		{Addr: "10.0.0.3:8003", Kind: "octo-core", Server: balancer.Server{ID: "s-3", State: balancer.Draining, Zone: -1, Cell: 3, Weight: 3.5}}}}
	if got := <-to.Updates; !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

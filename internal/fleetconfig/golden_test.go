package fleetconfig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// goldenConfig sets every field of a configuration.
func goldenConfig() *Config {
	maxInFlight := 11
	return &Config{
		Pools: []Pool{
			{Name: "east", Selector: Selector{Kinds: []string{"quad-core", "twin-core"}, Zones: []string{"edinburgh-dc"}, Pods: []int{3, 4},
				IDs: []string{"s-1", "s-2"}, Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8"), netip.MustParsePrefix("10.1.0.0/16")}}},
			{Name: "small", Selector: Selector{Kinds: []string{"twin-core"}}},
		},
		Routes: []Route{{Name: "checks", Priority: 7, Class: "form-check", Tenant: "lerwick-port", PathPrefix: "/forms/",
			Headers: map[string]string{"X-Attrs": "trial"}, To: []Target{{Pool: "all", Weight: 60}, {Pool: "east", Weight: 29}, {Pool: "small", Weight: 10}}}},
		Limits: []Limit{{Name: "lerwick", Class: "refund-record", Tenant: "wick", MaxInFlight: &maxInFlight, Rate: 2.5, Burst: 5, MaxAttempts: 3,
			RetryAfter: Duration(500 * time.Millisecond)}},
		Drains: []Drain{{Name: "old", Share: 0.25, Selector: Selector{Kinds: []string{"old-core"}, Zones: []string{"glasgow-dc"}, Pods: []int{6},
			IDs: []string{"s-9"}, Networks: []netip.Prefix{netip.MustParsePrefix("10.2.0.0/16")}}}},
		Deadlines: []Deadline{{Name: "short", Class: "form-check", Tenant: "wick", AtMost: Duration(400 * time.Millisecond)}},
		Rollout:   &Rollout{Step: 0.125, Wait: Duration(6 * time.Second)},
		Watch:     &Watch{Duration: Duration(90 * time.Second), FalseAlarms: 0.002},
	}
}

// goldenOther differs from goldenConfig in an object of each kind, and lacks or adds some.
func goldenOther() *Config {
	c := goldenConfig()
	c.Pools[0].Zones = []string{"glasgow-dc"}
	c.Pools[1].Name = "tiny"
	c.Routes[0].Priority = 8
	c.Limits[0].Burst = 6
	c.Drains[0].Share = 0.5
	c.Deadlines[0].AtMost = Duration(300 * time.Millisecond)
	c.Rollout, c.Watch = nil, &Watch{Duration: Duration(time.Second), FalseAlarms: 0.003}
	return c
}

// A configuration with every field set has the committed bytes and hash, and is read back from them.
func TestGoldenConfig(t *testing.T) {
	c := goldenConfig()
	golden.Equal(t, "fleetconfig/config.json", c.JSON())
	golden.Equal(t, "fleetconfig/empty.json", (&Config{}).JSON())
	golden.Equal(t, "fleetconfig/hashes.txt", fmt.Appendf(nil, "%s\n%s\n", c.Hash(), (&Config{}).Hash()))
	got, err := Decode(golden.Read(t, "fleetconfig/config.json"))
	if err != nil || !reflect.DeepEqual(got, c) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// The differences between two configurations have the committed bytes, and are read back from them.
func TestGoldenDiff(t *testing.T) {
	changes := Diff(goldenConfig(), goldenOther())
	data, err := json.Marshal(changes)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "fleetconfig/diff.json", data)
	var got []Change
	if err := DecodeStrict(strings.NewReader(string(golden.Read(t, "fleetconfig/diff.json"))), &got); err != nil || !reflect.DeepEqual(got, changes) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// A server has the committed bytes, and is read back from them.
func TestGoldenServer(t *testing.T) {
	s := Server{ID: "s-1", Addr: "127.0.0.2:81", Kind: "twin-core", Zone: "edinburgh-dc", Pod: 3, Weight: 1.5, StartedMS: 1700000000123, IsDraining: true}
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "fleetconfig/server.json", data)
	var got Server
	if err := DecodeStrict(strings.NewReader(string(golden.Read(t, "fleetconfig/server.json"))), &got); err != nil || got != s {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// A configuration with a mistake in every field is checked. The errors have the committed texts.
func TestGoldenObjectErrors(t *testing.T) {
	negative := -1
	c := &Config{
		Pools:  []Pool{{Name: "all"}, {Name: "../a", Selector: Selector{Zones: []string{"nowhere"}, Networks: []netip.Prefix{{}}}}},
		Routes: []Route{{Name: "r", Class: "c", Tenant: "t", PathPrefix: "a", Headers: map[string]string{"x-a": "1"}, To: []Target{{"no", -1}, {"all", 0}}}},
		Limits: []Limit{{Name: "a"}, {Name: "b", MaxInFlight: &negative, Rate: 1e7, Burst: -1, MaxAttempts: 101, RetryAfter: Duration(time.Hour)}},
		Drains: []Drain{{Name: "d", Share: 2}}, Deadlines: []Deadline{{Name: "e"}, {Name: "e"}},
		Rollout: &Rollout{}, Watch: &Watch{},
	}
	err := c.Check(Names{Classes: []string{"form-check"}, Tenants: []string{"wick"}, Zones: []string{"edinburgh-dc"}, RoutableHeaders: []string{http.CanonicalHeaderKey("x-attrs")}})
	golden.Equal(t, "fleetconfig/problems.txt", fmt.Appendf(nil, "%v\n", err))
}

// A share of twenty servers is selected. It is the committed one, as agents of different versions must drain the same servers.
func TestGoldenSelectShare(t *testing.T) {
	var all []*Server
	for i := range 20 {
		all = append(all, &Server{ID: fmt.Sprint("s-", i)})
	}
	var ids []string
	for _, s := range SelectShare(all, "old", 0.5) {
		ids = append(ids, s.ID)
	}
	golden.Equal(t, "fleetconfig/part.txt", []byte(strings.Join(ids, "\n")+"\n"))
}

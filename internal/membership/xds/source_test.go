package xds

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/envoyproxy/go-control-plane/pkg/cache/types"
	"github.com/envoyproxy/go-control-plane/pkg/cache/v3"
	resourcev3 "github.com/envoyproxy/go-control-plane/pkg/resource/v3"
	"github.com/envoyproxy/go-control-plane/pkg/server/v3"
	"google.golang.org/grpc"

	"appleledge/internal/agenttest"
	"appleledge/internal/balancer"
	"appleledge/internal/besteffort"
	"appleledge/internal/engine"
	"appleledge/internal/harness/controlplane"
	"appleledge/internal/membership"
)

// recordingSink collects what a source reports into one list, as the engine would have it.
type recordingSink struct {
	mu          sync.Mutex
	table       *membership.Table
	members     map[string]engine.Member
	disconnects []error
	updates     int
}

func (l *recordingSink) Update(u membership.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updates++
	l.table.Update(0, 0, u)
	for _, m := range l.table.TakeChanges(1 << 20) {
		if l.members[m.ID] = m; m.State == balancer.Removed {
			delete(l.members, m.ID)
		}
	}
}

func (l *recordingSink) Disconnected(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnects = append(l.disconnects, err)
}

// summary lists the ids in order, with a d for those that drain.
func (l *recordingSink) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, m := range l.members {
		if m.State == balancer.Draining {
			id += "d"
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

func (l *recordingSink) disconnectCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.disconnects)
}

// runSource runs a source on a control plane until the test ends.
func runSource(t *testing.T, addr string, log *agenttest.LockedBuffer, change func(*Options)) *recordingSink {
	t.Helper()
	o := Options{Server: addr, NodeID: "n1", Zones: []string{"edinburgh-dc"}, InitialFetchTimeout: agenttest.Patience, MinBackoff: 20 * time.Millisecond,
		MaxBackoff: 200 * time.Millisecond, KeepaliveInterval: 10 * time.Second, MaxMessageBytes: 16 << 20, LogInterval: time.Minute}
	change(&o)
	l := &recordingSink{table: membership.NewTable(membership.Options{}, 1), members: map[string]engine.Member{}}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		New(o, engine.NewClock(), slog.New(slog.NewTextHandler(log, nil))).Run(ctx, l)
	}()
	t.Cleanup(func() { stop(); <-done })
	return l
}

func startPlane(t *testing.T, addr string) *controlplane.Plane {
	t.Helper()
	p, err := controlplane.Start(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

func endpoint(id string, health corev3.HealthStatus) controlplane.Endpoint {
	return controlplane.Endpoint{ID: id, Host: "127.0.0.1", Port: 1000 + int(id[len(id)-1]), Health: health}
}

// eventuallyLists waits until the list is as wanted.
func eventuallyLists(t *testing.T, what string, l *recordingSink, want string) {
	t.Helper()
	agenttest.Eventually(t, what+": "+want, func() bool { return l.summary() == want })
}

// bothVariants runs a test in the state of the world and incrementally.
func bothVariants(t *testing.T, f func(t *testing.T, variant func(*Options))) {
	for name, delta := range map[string]bool{"world": false, "delta": true} {
		t.Run(name, func(t *testing.T) { f(t, func(o *Options) { o.Incremental = delta }) })
	}
}

// A control plane drains servers, sends an invalid assignment beside a drain, falls silent, removes a cluster, stops and restarts with
// lower versions. What is valid is followed, what is not is refused with its reason, and neither silence nor the restart loses
// the list.
func TestListSurvivesFaultsOfControlPlane(t *testing.T) {
	const up, drain = corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DRAINING
	bothVariants(t, func(t *testing.T, variant func(*Options)) {
		p := startPlane(t, "127.0.0.1:0")
		addr := p.Addr()
		var log agenttest.LockedBuffer
		l := runSource(t, addr, &log, variant)
		p.Set(controlplane.Cluster("a"), controlplane.Cluster("b"))
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", up), endpoint("a2", up)), controlplane.Assignment("b", "edinburgh-dc", endpoint("b1", up)))
		eventuallyLists(t, "the first list", l, "a1 a2 b1")

		at := time.Now()
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", drain), endpoint("a2", up)))
		eventuallyLists(t, "a drain", l, "a1d a2 b1")
		if took := time.Since(at); took > 500*time.Millisecond {
			t.Errorf("the drain took %v", took)
		}

		// A bad assignment and a drain in one response.
		p.Set(controlplane.Assignment("a", "edinburgh-dc", controlplane.Endpoint{Host: "not.an.address", Port: 1}),
			controlplane.Assignment("b", "edinburgh-dc", endpoint("b1", drain)))
		eventuallyLists(t, "what is good of a response that is refused", l, "a1d a2 b1d")
		agenttest.Eventually(t, "the refusal", func() bool { return strings.Contains(p.Refusal(), `"not.an.address" is no IP address`) })
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", up)), controlplane.Assignment("b", "edinburgh-dc", endpoint("b1", up)))
		eventuallyLists(t, "the next good ones", l, "a1 b1")

		p.Silence(true)
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a7", up)))
		time.Sleep(100 * time.Millisecond)
		if got := l.summary(); got != "a1 b1" || l.disconnectCount() > 0 {
			t.Errorf("silence made it %q, disconnected %d times", got, l.disconnectCount())
		}
		p.Silence(false)
		eventuallyLists(t, "the end of the silence", l, "a7 b1")

		p.Remove(controlplane.Clusters, "b")
		p.Remove(controlplane.Endpoints, "b")
		eventuallyLists(t, "a cluster that is removed", l, "a7")

		p.Stop()
		agenttest.Eventually(t, "the disconnection", func() bool { return l.disconnectCount() > 0 })
		if got := l.summary(); got != "a7" {
			t.Errorf("the disconnection made it %q", got)
		}
		p = startPlane(t, addr) // counts from 0 again
		p.Set(controlplane.Cluster("a"))
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a8", up)))
		eventuallyLists(t, "a restart with lower versions", l, "a8")
		p.Remove(controlplane.Clusters, "a")
		eventuallyLists(t, "all removed at once", l, "")
		if n := log.Count("level=WARN"); n > 3 {
			t.Errorf("%d warnings", n)
		}
	})
}

// A control plane answers each refusal with the same invalid assignment. It is refused ever less often, and logged once.
func TestRepeatedNacksBackOffOnTheWire(t *testing.T) {
	bothVariants(t, func(t *testing.T, variant func(*Options)) {
		p := startPlane(t, "127.0.0.1:0")
		p.Stubborn(true)
		p.Set(controlplane.Assignment("a", "edinburgh-dc", controlplane.Endpoint{Host: "not.an.address", Port: 1}))
		var log agenttest.LockedBuffer
		runSource(t, p.Addr(), &log, func(o *Options) { variant(o); o.Clusters = []string{"a"}; o.MaxBackoff = time.Hour })
		agenttest.Eventually(t, "five refusals", func() bool { return p.Counts().Nacks >= 5 }) // at 0, 20, 60, 140 and 300 ms
		time.Sleep(300 * time.Millisecond)
		if n := p.Counts().Nacks; n > 7 {
			t.Errorf("%d refusals within the time of seven", n)
		}
		if n := log.Count("refusing"); n != 1 {
			t.Errorf("%d lines of log", n)
		}
	})
}

// A control plane accepts the stream and says nothing. After InitialFetchTimeout the source counts as disconnected, so that another one
// can take over; what comes later on the same stream is used.
func TestSilentControlPlaneCountsAsDisconnected(t *testing.T) {
	p := startPlane(t, "127.0.0.1:0")
	p.Silence(true)
	p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", corev3.HealthStatus_UNKNOWN)))
	l := runSource(t, p.Addr(), &agenttest.LockedBuffer{}, func(o *Options) { o.Clusters = []string{"a"}; o.InitialFetchTimeout = 50 * time.Millisecond })
	agenttest.Eventually(t, "the disconnection", func() bool { return l.disconnectCount() == 1 })
	p.Silence(false)
	eventuallyLists(t, "late", l, "a1")
	if n := p.Counts().Streams; n != 1 {
		t.Errorf("%d streams", n)
	}
}

// A stream breaks and nothing changes, so that the control plane has nothing to send on the next one. The source counts as connected all
// the same.
func TestReconnectWithoutChangesResumesList(t *testing.T) {
	bothVariants(t, func(t *testing.T, variant func(*Options)) {
		p := startPlane(t, "127.0.0.1:0")
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", corev3.HealthStatus_UNKNOWN)))
		l := runSource(t, p.Addr(), &agenttest.LockedBuffer{}, func(o *Options) { variant(o); o.Clusters = []string{"a"} })
		eventuallyLists(t, "the first list", l, "a1")
		updates := func() int {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.updates
		}
		before, sent := updates(), p.Counts().Sent
		p.Break()
		agenttest.Eventually(t, "the disconnection", func() bool { return l.disconnectCount() > 0 })
		agenttest.Eventually(t, "the list is reported again", func() bool { return updates() > before })
		if n := p.Counts().Sent; n != sent || l.summary() != "a1" {
			t.Errorf("%d resources were sent again, and the list is %q", n-sent, l.summary())
		}
	})
}

// Forty agents lose their control plane at once, which refuses streams for a second. They come back in a few attempts each, at different
// times.
func TestReconnectsAreSpreadOverAgents(t *testing.T) {
	const agents = 40
	p := startPlane(t, "127.0.0.1:0")
	p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", corev3.HealthStatus_UNKNOWN)))
	var lists []*recordingSink
	for i := range agents {
		lists = append(lists, runSource(t, p.Addr(), &agenttest.LockedBuffer{}, func(o *Options) {
			o.Clusters, o.AgentIndex, o.Incremental, o.MinBackoff, o.MaxBackoff = []string{"a"}, i, i%2 == 0, 100*time.Millisecond, time.Second
		}))
	}
	all := func(what string, want string) {
		t.Helper()
		for _, l := range lists {
			eventuallyLists(t, what, l, want)
		}
	}
	all("the first list", "a1")
	before := p.Counts().Streams
	p.Refuse(true)
	p.Break()
	time.Sleep(time.Second)
	attempts := p.Counts().Streams - before
	p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a2", corev3.HealthStatus_UNKNOWN)))
	p.Refuse(false)
	all("after the outage", "a2")
	if limit := 6 * agents; attempts > limit || attempts < agents { // at about 0.1, 0.3, 0.7 and 1.5 s
		t.Errorf("%d attempts of %d agents within a second of outage", attempts, agents)
	}
}

// A control plane names 32 clusters, and the agent uses four of them. It is sent the endpoints of those alone.
func TestAgentRequestsOnlyItsSubsetOfClusters(t *testing.T) {
	p := startPlane(t, "127.0.0.1:0")
	for i := range 32 {
		name := fmt.Sprint("c", i)
		p.Set(controlplane.Cluster(name), controlplane.Assignment(name, "edinburgh-dc", controlplane.Endpoint{Host: "127.0.0.1", Port: 1 + i}))
	}
	l := runSource(t, p.Addr(), &agenttest.LockedBuffer{}, func(o *Options) { o.Incremental, o.MaxClusters, o.AgentIndex = true, 4, 7 })
	agenttest.Eventually(t, "four servers", func() bool { return len(strings.Fields(l.summary())) == 4 })
	if n := p.Counts().Sent; n != 32+4 {
		t.Errorf("%d resources were sent, want the 32 clusters and the endpoints of four", n)
	}
}

// The source follows a server that is not ours, that of go-control-plane, in both variants, also to a lower version.
func TestWithGoControlPlane(t *testing.T) {
	bothVariants(t, func(t *testing.T, variant func(*Options)) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		c := cache.NewSnapshotCache(true, cache.IDHash{}, nil)
		set := func(version string, clusters, assignments []types.Resource) {
			t.Helper()
			s, err := cache.NewSnapshot(version, map[resourcev3.Type][]types.Resource{resourcev3.ClusterType: clusters, resourcev3.EndpointType: assignments})
			if err != nil {
				t.Fatal(err)
			}
			if err := c.SetSnapshot(ctx, "n1", s); err != nil {
				t.Fatal(err)
			}
		}
		l := agenttest.Listen(t)
		g := grpc.NewServer()
		discoveryv3.RegisterAggregatedDiscoveryServiceServer(g, server.NewServer(ctx, c, nil))
		go func() { besteffort.Ignore(g.Serve(l)) }()
		defer g.Stop()
		const up, drain = corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DRAINING
		one, two := controlplane.Cluster("a"), controlplane.Cluster("b")
		set("9", []types.Resource{one}, []types.Resource{controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", up))})
		sink := runSource(t, l.Addr().String(), &agenttest.LockedBuffer{}, variant)
		eventuallyLists(t, "the first list", sink, "a1")
		set("10", []types.Resource{one, two}, []types.Resource{controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", drain)),
			controlplane.Assignment("b", "edinburgh-dc", endpoint("b1", up))})
		eventuallyLists(t, "a cluster more and a drain", sink, "a1d b1")
		set("8", []types.Resource{two}, []types.Resource{controlplane.Assignment("b", "edinburgh-dc", endpoint("b1", up))})
		eventuallyLists(t, "a cluster less", sink, "b1")
	})
}

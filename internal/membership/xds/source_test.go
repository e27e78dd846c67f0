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

// list is what a source has told, as a table makes it.
type list struct {
	mu      sync.Mutex
	table   *membership.Table
	members map[string]engine.Member
	lost    []error
	updates int
}

func (l *list) Update(u membership.Update) {
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

func (l *list) Disconnected(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = append(l.lost, err)
}

// says lists the ids in order, with a d for those that drain.
func (l *list) says() string {
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

func (l *list) lostTimes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lost)
}

// follow runs a source on a control plane until the test ends.
func follow(t *testing.T, addr string, log *agenttest.LockedBuffer, change func(*Options)) *list {
	t.Helper()
	o := Options{Server: addr, NodeID: "n1", Zones: []string{"edinburgh-dc"}, InitialFetchTimeout: agenttest.Patience, MinBackoff: 20 * time.Millisecond,
		MaxBackoff: 200 * time.Millisecond, KeepaliveInterval: 10 * time.Second, MaxMessageBytes: 16 << 20, LogInterval: time.Minute}
	change(&o)
	l := &list{table: membership.NewTable(membership.Options{}, 1), members: map[string]engine.Member{}}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		New(o, engine.NewClock(), slog.New(slog.NewTextHandler(log, nil))).Run(ctx, l)
	}()
	t.Cleanup(func() { stop(); <-done })
	return l
}

func start(t *testing.T, addr string) *controlplane.Plane {
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

// eventuallySays waits until the list says so.
func eventuallySays(t *testing.T, what string, l *list, want string) {
	t.Helper()
	agenttest.Eventually(t, what+": "+want, func() bool { return l.says() == want })
}

// bothVariants runs a test in the state of the world and incrementally.
func bothVariants(t *testing.T, f func(t *testing.T, variant func(*Options))) {
	for name, delta := range map[string]bool{"world": false, "delta": true} {
		t.Run(name, func(t *testing.T) { f(t, func(o *Options) { o.Incremental = delta }) })
	}
}

// A control plane's bad day, step by step: what it says is followed, what is wrong is refused with the reason while the
// last good one stands, and neither silence nor a restart with lower versions loses the list.
func TestBadDayOfAControlPlane(t *testing.T) {
	const up, drain = corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DRAINING
	bothVariants(t, func(t *testing.T, variant func(*Options)) {
		p := start(t, "127.0.0.1:0")
		addr := p.Addr()
		var log agenttest.LockedBuffer
		l := follow(t, addr, &log, variant)
		p.Set(controlplane.Cluster("a"), controlplane.Cluster("b"))
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", up), endpoint("a2", up)), controlplane.Assignment("b", "edinburgh-dc", endpoint("b1", up)))
		eventuallySays(t, "the first list", l, "a1 a2 b1")

		at := time.Now()
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", drain), endpoint("a2", up)))
		eventuallySays(t, "a drain", l, "a1d a2 b1")
		if took := time.Since(at); took > 500*time.Millisecond {
			t.Errorf("the drain took %v", took)
		}

		// A bad assignment and a drain in one response.
		p.Set(controlplane.Assignment("a", "edinburgh-dc", controlplane.Endpoint{Host: "not.an.address", Port: 1}),
			controlplane.Assignment("b", "edinburgh-dc", endpoint("b1", drain)))
		eventuallySays(t, "what is good of a response that is refused", l, "a1d a2 b1d")
		agenttest.Eventually(t, "the refusal", func() bool { return strings.Contains(p.Refusal(), `"not.an.address" is no IP address`) })
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", up)), controlplane.Assignment("b", "edinburgh-dc", endpoint("b1", up)))
		eventuallySays(t, "the next good ones", l, "a1 b1")

		p.Silence(true)
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a7", up)))
		time.Sleep(100 * time.Millisecond)
		if got := l.says(); got != "a1 b1" || l.lostTimes() > 0 {
			t.Errorf("silence made it %q, lost %d times", got, l.lostTimes())
		}
		p.Silence(false)
		eventuallySays(t, "the end of the silence", l, "a7 b1")

		p.Remove(controlplane.Clusters, "b")
		p.Remove(controlplane.Endpoints, "b")
		eventuallySays(t, "a cluster that is removed", l, "a7")

		p.Stop()
		agenttest.Eventually(t, "the loss", func() bool { return l.lostTimes() > 0 })
		if got := l.says(); got != "a7" {
			t.Errorf("the loss made it %q", got)
		}
		p = start(t, addr) // counts from 0 again
		p.Set(controlplane.Cluster("a"))
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a8", up)))
		eventuallySays(t, "a restart with lower versions", l, "a8")
		p.Remove(controlplane.Clusters, "a")
		eventuallySays(t, "all removed at once", l, "")
		if n := log.Count("level=WARN"); n > 3 {
			t.Errorf("%d warnings", n)
		}
	})
}

// What goes on being wrong is refused ever less often, though the control plane answers each refusal with the same.
func TestNoHotLoopOfRefusals(t *testing.T) {
	bothVariants(t, func(t *testing.T, variant func(*Options)) {
		p := start(t, "127.0.0.1:0")
		p.Stubborn(true)
		p.Set(controlplane.Assignment("a", "edinburgh-dc", controlplane.Endpoint{Host: "not.an.address", Port: 1}))
		var log agenttest.LockedBuffer
		follow(t, p.Addr(), &log, func(o *Options) { variant(o); o.Clusters = []string{"a"}; o.MaxBackoff = time.Hour })
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

// A control plane that never says anything is as good as lost for another source, and what it says later counts.
func TestFirstFetch(t *testing.T) {
	p := start(t, "127.0.0.1:0")
	p.Silence(true)
	p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", corev3.HealthStatus_UNKNOWN)))
	l := follow(t, p.Addr(), &agenttest.LockedBuffer{}, func(o *Options) { o.Clusters = []string{"a"}; o.InitialFetchTimeout = 50 * time.Millisecond })
	agenttest.Eventually(t, "the loss", func() bool { return l.lostTimes() == 1 })
	p.Silence(false)
	eventuallySays(t, "late", l, "a1")
	if n := p.Counts().Streams; n != 1 {
		t.Errorf("%d streams", n)
	}
}

// After a break that changed nothing the control plane has nothing to send: the source counts as heard all the same.
func TestHeardAgainWithoutNews(t *testing.T) {
	bothVariants(t, func(t *testing.T, variant func(*Options)) {
		p := start(t, "127.0.0.1:0")
		p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", corev3.HealthStatus_UNKNOWN)))
		l := follow(t, p.Addr(), &agenttest.LockedBuffer{}, func(o *Options) { variant(o); o.Clusters = []string{"a"} })
		eventuallySays(t, "the first list", l, "a1")
		updates := func() int {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.updates
		}
		before, sent := updates(), p.Counts().Sent
		p.Break()
		agenttest.Eventually(t, "the loss", func() bool { return l.lostTimes() > 0 })
		agenttest.Eventually(t, "it is heard again", func() bool { return updates() > before })
		if n := p.Counts().Sent; n != sent || l.says() != "a1" {
			t.Errorf("%d resources were sent again, and the list is %q", n-sent, l.says())
		}
	})
}

// Agents that all lose their control plane come back at different times, in a few tries each.
func TestAllComeBackAtOnce(t *testing.T) {
	const agents = 40
	p := start(t, "127.0.0.1:0")
	p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", corev3.HealthStatus_UNKNOWN)))
	var lists []*list
	for i := range agents {
		lists = append(lists, follow(t, p.Addr(), &agenttest.LockedBuffer{}, func(o *Options) {
			o.Clusters, o.AgentIndex, o.Incremental, o.MinBackoff, o.MaxBackoff = []string{"a"}, i, i%2 == 0, 100*time.Millisecond, time.Second
		}))
	}
	all := func(what string, want string) {
		t.Helper()
		for _, l := range lists {
			eventuallySays(t, what, l, want)
		}
	}
	all("the first list", "a1")
	before := p.Counts().Streams
	p.Refuse(true)
	p.Break()
	time.Sleep(time.Second)
	tries := p.Counts().Streams - before
	p.Set(controlplane.Assignment("a", "edinburgh-dc", endpoint("a2", corev3.HealthStatus_UNKNOWN)))
	p.Refuse(false)
	all("after the outage", "a2")
	if most := 6 * agents; tries > most || tries < agents { // at about 0.1, 0.3, 0.7 and 1.5 s
		t.Errorf("%d tries of %d agents within a second of outage", tries, agents)
	}
}

// An agent that wants some of the clusters is sent no more than those.
func TestOnDemandSubset(t *testing.T) {
	p := start(t, "127.0.0.1:0")
	for i := range 32 {
		name := fmt.Sprint("c", i)
		p.Set(controlplane.Cluster(name), controlplane.Assignment(name, "edinburgh-dc", controlplane.Endpoint{Host: "127.0.0.1", Port: 1 + i}))
	}
	l := follow(t, p.Addr(), &agenttest.LockedBuffer{}, func(o *Options) { o.Incremental, o.MaxClusters, o.AgentIndex = true, 4, 7 })
	agenttest.Eventually(t, "four servers", func() bool { return len(strings.Fields(l.says())) == 4 })
	if n := p.Counts().Sent; n != 32+4 {
		t.Errorf("%d resources were sent, want the 32 clusters and the endpoints of four", n)
	}
}

// The same by a server that is not ours: the one of go-control-plane, in both variants.
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
		said := follow(t, l.Addr().String(), &agenttest.LockedBuffer{}, variant)
		eventuallySays(t, "the first list", said, "a1")
		set("10", []types.Resource{one, two}, []types.Resource{controlplane.Assignment("a", "edinburgh-dc", endpoint("a1", drain)),
			controlplane.Assignment("b", "edinburgh-dc", endpoint("b1", up))})
		eventuallySays(t, "a cluster more and a drain", said, "a1d b1")
		set("8", []types.Resource{two}, []types.Resource{controlplane.Assignment("b", "edinburgh-dc", endpoint("b1", up))})
		eventuallySays(t, "a cluster less", said, "b1")
	})
}

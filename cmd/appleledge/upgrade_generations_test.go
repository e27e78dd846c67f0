package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"appleledge/internal/admin"
	"appleledge/internal/agenttest"
	"appleledge/internal/atomicfile"
	"appleledge/internal/besteffort"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/plan"
)

// governed is an installation whose fleet has a configuration that operators apply.
type governed struct {
	*installation
	own    string // the agent's settings
	client *admin.Client
}

func govern(t *testing.T) *governed {
	in := install(t)
	own, socket := filepath.Join(in.dir, "own.toml"), filepath.Join(in.dir, "admin")
	text := fmt.Appendf(nil, "[generations]\nsocket = %q\nstate = %q\n", socket, filepath.Join(in.dir, "state"))
	if err := os.WriteFile(own, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return &governed{in, own, admin.NewClient(socket)}
}

func (g *governed) next() *version {
	return g.ready(g.start(g.disco.Addr().String(), "-settings", g.own))
}

// apply sends all requests to these servers from now on.
func (g *governed) apply(servers ...string) error {
	c := &fleetconfig.Config{Pools: []fleetconfig.Pool{{Name: "p", Selector: fleetconfig.Selector{IDs: servers}}},
		Routes: []fleetconfig.Route{{Name: "r", To: []fleetconfig.Target{{Pool: "p", Weight: 1}}}}}
	c.Normalize()
	ctx, cancel := context.WithTimeout(g.t.Context(), agenttest.Patience)
	defer cancel()
	p := &plan.Plan{}
	if err := g.client.Call(ctx, http.MethodPost, admin.PathPlan, admin.PlanRequest{Config: c, MaxCapacityTaken: 1}, p); err != nil {
		return err
	}
	var a admin.ChangeResult
	if err := g.client.Call(ctx, http.MethodPost, admin.PathApply, admin.ApplyRequest{Plan: p, Actor: "test", Force: true}, &a); err != nil {
		return err
	}
	if !a.IsDurable {
		return fmt.Errorf("%+v", a)
	}
	return nil
}

// bothServe is an old and a new version that serve, with the first server's configuration in force.
func bothServe(t *testing.T) (g *governed, old, now *version) {
	g = govern(t)
	old = g.next()
	if err := g.apply("s-1"); err != nil {
		t.Fatal(err)
	}
	return g, old, g.next()
}

// all checks that the next requests go to one server, whichever process takes them.
func (g *governed) all(to *agenttest.Backend, when string) {
	g.t.Helper()
	before := to.Requests()
	for range 20 {
		c, err := net.Dial("tcp", g.listen)
		if err != nil {
			g.t.Fatal(err)
		}
		_, err = g.request(c, bufio.NewReader(c))
		besteffort.Close(c)
		if err != nil {
			g.t.Fatal(err)
		}
	}
	if got := to.Requests() - before; got != 20 {
		g.t.Errorf("%s: %d of 20 requests go by the configuration in force", when, got)
	}
}

// follows waits until a version has taken up a generation.
func (g *governed) follows(v *version, number int) {
	g.t.Helper()
	agenttest.Eventually(g.t, "a generation is followed", func() bool {
		return v.log.Count(fmt.Sprintf(`msg="configuration taken over" agent=n0 generation=%d`, number)) > 0
	})
}

// A new version starts with the configuration in force though the old one keeps it, follows what is applied meanwhile, and has
// the state and the operators' socket when the old one has ended: as it was told to, or killed.
func TestConfigurationsOverAnUpgrade(t *testing.T) {
	for name, end := range map[string]func(in *installation, old *version){
		"the old one is told to end": (*installation).retire,
		"the old one is killed": func(_ *installation, old *version) {
			besteffort.Ignore(old.Process.Kill())
			besteffort.Ignore(<-old.ended)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, old, now := bothServe(t)
			g.all(g.one, "both serve")
			if err := g.apply("s-2"); err != nil { // the old one has the socket
				t.Fatal(err)
			}
			g.follows(now, 2)
			g.all(g.two, "a change was applied while both serve")
			end(g.installation, old)
			agenttest.Eventually(t, "the new one takes changes", func() bool { return g.apply("s-1") == nil })
			g.all(g.one, "a change was applied to the new one")
			var in admin.Config
			if err := g.client.Call(t.Context(), http.MethodGet, admin.PathConfig, nil, &in); err != nil || in.Number != 3 {
				t.Errorf("generation %d, %v", in.Number, err)
			}
			last := g.next() // and so again
			g.retire(now)
			g.all(g.one, "after two upgrades")
			agenttest.Eventually(t, "the last one takes changes", func() bool { return g.apply("s-2") == nil })
			g.all(g.two, "a change was applied to the last one")
			besteffort.Ignore(last.Process.Signal(syscall.SIGTERM))
		})
	}
}

// A new version that dies leaves the state and the socket with the old one.
func TestAStillbornVersionLeavesTheConfigurationAlone(t *testing.T) {
	t.Parallel()
	g := govern(t)
	old := g.next()
	next := g.next()
	besteffort.Ignore(next.Process.Kill())
	besteffort.Ignore(<-next.ended)
	if err := g.apply("s-1"); err != nil {
		t.Fatal(err)
	}
	g.all(g.one, "the new one was killed")
	if _, err := os.Stat(filepath.Join(g.dir, "state")); err != nil {
		t.Error(err)
	}
	g.retire(old)
}

// A state that can't be read changes nothing: it is followed again when it can, and whoever takes it over keeps what is in force.
func TestAStateThatIsTornDuringAnUpgrade(t *testing.T) {
	t.Parallel()
	g, old, now := bothServe(t)
	tear := func() {
		if err := os.WriteFile(filepath.Join(g.dir, "state"), []byte("appleledge-document 1 torn"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	tear()
	agenttest.Eventually(t, "the log tells of it", func() bool { return now.log.Count("configuration can't be followed") == 1 })
	g.all(g.one, "the state is torn")
	if err := g.apply("s-2"); err != nil {
		t.Fatal(err)
	}
	g.follows(now, 2)
	g.all(g.two, "it is whole again")
	tear()
	g.retire(old)
	agenttest.Eventually(t, "the log tells of it", func() bool { return now.log.Count("this one keeps what is in force") == 1 })
	g.all(g.two, "a torn state was taken over")
	agenttest.Eventually(t, "what is in force is kept anew", func() bool {
		_, err := atomicfile.File{Path: filepath.Join(g.dir, "state"), FS: atomicfile.OS{}}.Load()
		return err == nil
	})
}

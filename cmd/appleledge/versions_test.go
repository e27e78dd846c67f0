package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"
	"time"

	"appleledge/internal/admin"
	"appleledge/internal/agenttest"
	"appleledge/internal/besteffort"
	"appleledge/internal/harness/cluster"
)

// refund sends a request with an idempotency key of its own and returns the answer's status.
func (g *governed) refund() int {
	g.t.Helper()
	id := g.id.Add(1)
	c, err := net.Dial("tcp", g.listen)
	if err != nil {
		g.t.Fatal(err)
	}
	defer besteffort.Close(c)
	besteffort.Ignore(c.SetDeadline(time.Now().Add(agenttest.Patience)))
	if _, err := fmt.Fprintf(c, "POST /refund-record HTTP/1.1\r\nHost: a\r\nX-Request-ID: %016x\r\nX-Tenant-Id: glasgow-airport\r\n"+
		"X-Route-Key: key-%d\r\nIdempotency-Key: key-%d\r\nX-Timeout: 2000m\r\nContent-Length: 2\r\n\r\nhi", id, id, id); err != nil {
		g.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		g.t.Fatal(err)
	}
	besteffort.Close(resp.Body)
	return resp.StatusCode
}

// firstNumber returns the number that the expression captures in the text; 0 without a match.
func firstNumber(expression *regexp.Regexp, text string) int {
	found := expression.FindStringSubmatch(text)
	if found == nil {
		return 0
	}
	n, _ := strconv.Atoi(found[1])
	return n
}

// What a killed process leaves in its folders is read by the next one: the generation in force, the denylist in the snapshot and the
// binding log. With APPLELEDGE_OTHER_BINARY the two are of different versions.
func TestStateOfAKilledProcessIsRead(t *testing.T) {
	t.Parallel()
	g := govern(t)
	bindings, snapshot := filepath.Join(g.dir, "bindings"), filepath.Join(g.dir, "snapshot")
	for _, dir := range []string{bindings, snapshot} {
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(g.own)
	if err != nil {
		t.Fatal(err)
	}
	text = fmt.Appendf(text, "[affinity]\ndir = %q\nsync = true\nbudget = \"5s\"\ntail = \"10m\"\n[recovery]\ndir = %q\nevery = \"300ms\"\n", bindings, snapshot)
	if err := os.WriteFile(g.own, text, 0o600); err != nil {
		t.Fatal(err)
	}
	bound := regexp.MustCompile(`msg="ties of earlier processes read" agent=n0 records=\d+ ties=(\d+)`)
	refunds := func(n int) {
		t.Helper()
		for range n {
			if status := g.refund(); status != http.StatusOK {
				t.Errorf("a refund got %d", status)
			}
		}
	}
	inForce := func() (c admin.Config) {
		t.Helper()
		agenttest.Eventually(t, "the operators' socket answers", func() bool {
			return g.client.Call(t.Context(), http.MethodGet, admin.PathConfig, nil, &c) == nil
		})
		return c
	}
	v := g.next()
	if err := g.apply("s-1", "s-2"); err != nil {
		t.Fatal(err)
	}
	if got := g.call(v, "PUT", "backends/down/s-1"); got != http.StatusOK {
		t.Fatal("the ban:", got)
	}
	const atEnd, atStart = 10, 20 // refunds of a round: before the kill, and after the next start
	wanted := 0
	for round := range 4 {
		refunds(atEnd)
		wanted += atEnd // the record of an end is not waited for: a kill may cost it, and the binding stays
		agenttest.Eventually(t, "the snapshot is on disk", func() bool {
			found, err := os.ReadDir(snapshot)
			return err == nil && len(found) > 0
		})
		before, sent := inForce(), g.one.Requests()
		besteffort.Ignore(v.Process.Kill())
		besteffort.Ignore(<-v.ended)
		g.listen = "" // it is alone, and listens at another port
		old := v
		v = g.next()
		if after := inForce(); after.Number != before.Number || after.Hash != before.Hash {
			t.Errorf("round %d: generation %d %s became %d %s", round, before.Number, before.Hash, after.Number, after.Hash)
		}
		kept := firstNumber(bound, v.log.String())
		if kept < wanted {
			t.Errorf("round %d: %d of %d bindings are read:\n%s", round, kept, wanted, v.log)
		}
		if v.log.Count(`msg="knowledge from before" agent=n0 trusted=complete`) != 1 || v.log.Count("held_out=1") != 1 {
			t.Errorf("round %d: the snapshot is not read whole:\n%s", round, v.log)
		}
		refunds(atStart)
		if n := g.one.Requests() - sent; n != 0 {
			t.Errorf("round %d: %d requests went to a server that is denied", round, n)
		}
		t.Logf("%s read what %s left: generation %d, %d of %d bindings", cluster.Version(v.turn), cluster.Version(old.turn), before.Number, kept, wanted)
		wanted += atStart
		servers := [][]string{{"s-2"}, {"s-1", "s-2"}}[round%2]
		agenttest.Eventually(t, "a change is applied", func() bool { return g.apply(servers...) == nil })
	}
}

// Agents that start, are replaced and are killed see each other alive, and hear and understand each other's observations. With
// APPLELEDGE_OTHER_BINARY every second one is of the other version.
func TestAgentsHearEachOther(t *testing.T) {
	t.Parallel()
	const agents = 4
	f := cluster.Start(t, cluster.Options{Agents: agents, Servers: 6, Seed: 11, Peers: true, Overload: func(int) bool { return true }, Ties: soon})
	hear := func(when string) {
		t.Helper()
		for _, a := range f.Agents {
			sees(t, a, `"alive": 4`)
		}
		for _, a := range f.Agents {
			agenttest.Eventually(t, when+": observations of all are heard", func() bool {
				f.Offer(cluster.Offered{Rate: 20, For: time.Second})
				seen := view(t, a)
				return seen.Overload.KnownAgents >= agents-1 && seen.Overload.PayloadsReceived > 0
			})
			seen := view(t, a)
			for _, why := range []string{"not understood", "of another form", "forged"} {
				if n := seen.Peers.Dropped[why]; n > 0 {
					t.Errorf("%s: agent %d dropped %d datagrams %s", when, a.Number, n, why)
				}
			}
			if seen.Overload.Malformed > 0 {
				t.Errorf("%s: agent %d could not read %d observations", when, a.Number, seen.Overload.Malformed)
			}
			t.Logf("%s: agent %d: %d alive, %d datagrams taken, dropped %v, observations of %d agents, %d heard, %d malformed", when, a.Number, seen.Peers.Alive,
				seen.Peers.Received, seen.Peers.Dropped, seen.Overload.KnownAgents, seen.Overload.PayloadsReceived, seen.Overload.Malformed)
		}
	}
	hear("at the start")
	for _, a := range f.Agents[:2] {
		a.Upgrade()
	}
	hear("after hot restarts")
	f.Agents[2].Kill()
	f.Agents[3].Kill()
	back(f, nil, []int{2, 3})
	f.Agents[2].Ready()
	f.Agents[3].Ready()
	hear("after kills")
	verdict(t, f)
}

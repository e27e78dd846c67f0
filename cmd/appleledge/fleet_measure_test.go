package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"appleledge/internal/agenttest"
	"appleledge/internal/harness/cluster"
	"appleledge/internal/logstats"
)

// measured skips what only measures, unless FLEET_MEASURE asks for it.
func measured(t *testing.T) {
	if os.Getenv("FLEET_MEASURE") == "" {
		t.Skip("FLEET_MEASURE=1 measures")
	}
}

// spent is the processor time that agents have used, and what they hold of memory, on average.
func spent(t *testing.T, agents []*cluster.Agent) (cpu time.Duration, resident float64) {
	const tick = 10 * time.Millisecond // Linux' for user space
	for _, a := range agents {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", a.Pid()))
		if err != nil {
			t.Fatal(err)
		}
		_, after, _ := strings.Cut(string(stat), ") ")
		fields := strings.Fields(after)
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		pages, _ := strconv.Atoi(fields[21])
		cpu += time.Duration(user+system) * tick / time.Duration(len(agents))
		resident += float64(pages*os.Getpagesize()) / float64(len(agents)) / (1 << 20)
	}
	return cpu, resident
}

// What agents cost at rest, with and without knowing each other.
func TestMeasureRest(t *testing.T) {
	measured(t)
	const agents, rest = 20, 20 * time.Second
	for _, peers := range []bool{false, true} {
		f := cluster.Start(t, cluster.Options{Agents: agents, Servers: 6, Seed: 1, Peers: peers})
		time.Sleep(15 * time.Second) // they have met
		before, _ := spent(t, f.Agents)
		sent := 0
		if peers {
			sent = f.Net.Carried()
		}
		time.Sleep(rest)
		after, resident := spent(t, f.Agents)
		if peers {
			sent = f.Net.Carried() - sent
		}
		t.Logf("peers %v: %.2f ms of processor a second, %.1f MB resident, %.1f datagrams a second, an agent", peers,
			(after-before).Seconds()*1000/rest.Seconds(), resident, float64(sent)/rest.Seconds()/agents)
		for _, a := range f.Agents {
			a.Kill()
		}
	}
}

// What twenty agents do by second after a loss of all power, with the list back 8 s later.
func TestMeasureReturn(t *testing.T) {
	measured(t)
	const agents, servers = 20, 8
	f := cluster.Start(t, cluster.Options{Agents: agents, Servers: servers, Seed: 1, Peers: true, Figures: true})
	load := f.Load(2, 150*time.Millisecond)
	time.Sleep(10 * time.Second)
	from := load.Served.Load()
	time.Sleep(5 * time.Second)
	usual := float64(load.Served.Load()-from) / 5
	f.Discovery.SetOut(true)
	f.LosePower(cluster.All(servers), cluster.All(agents), 1)
	time.Sleep(500 * time.Millisecond)
	back(f, cluster.All(servers), cluster.All(agents))
	began := time.Now()
	from = load.Served.Load()
	agenttest.Eventually(t, "the first is served", func() bool { return load.Served.Load() > from })
	t.Logf("first service %v after power, usual %.0f a second", time.Since(began).Round(10*time.Millisecond), usual)
	told := false
	for second := 1; second <= 15; second++ {
		served, carried := load.Served.Load(), f.Net.Carried()
		time.Sleep(time.Until(began.Add(time.Duration(second) * time.Second)))
		t.Logf("second %2d: served %4.2f of usual, %d datagrams", second, float64(load.Served.Load()-served)/usual, f.Net.Carried()-carried)
		if second == 8 && !told {
			told = true
			f.Told()
			f.Discovery.SetOut(false)
		}
	}
	load.End()
	sum, err := logstats.New(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range f.Agents {
		if err := sum.Read(strings.NewReader(a.Log.String())); err != nil {
			t.Fatal(err)
		}
	}
	var table strings.Builder
	if err := sum.Write(&table); err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(table.String()) {
		for _, name := range []string{"time", "dials", "list_", "served", "refused"} {
			if strings.HasPrefix(strings.TrimSpace(line), name) {
				t.Log(strings.TrimSpace(line))
			}
		}
	}
	verdict(t, f)
}

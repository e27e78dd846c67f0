package generation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"appleledge/internal/fleetconfig"
)

// days is for measurements; docs/design/plan-and-apply.md has the figures of 1,000.
var days = flag.Int("days", 20, "simulated days of each kind that the watch is tried on")

// simulation is a stretch of service before and after a change: requests of two classes and three tenants, each with a probability
// of a bad outcome.
type simulation struct {
	m              *Manager
	rng            *rand.Rand
	now            time.Duration
	rate           float64 // requests a second
	badProbability func(a *Request, b *Binding) float64
	latency        func(a *Request, b *Binding) time.Duration
	n              int
	open           []pendingEnd
}

type pendingEnd struct {
	at  time.Duration
	b   *Binding
	end Outcome
}

func newSimulation(seed uint64, rate float64) *simulation {
	x := &simulation{m: newManager(), rng: rand.New(rand.NewPCG(seed, 1)), now: time.Second, rate: rate}
	x.latency = func(*Request, *Binding) time.Duration { return time.Duration(50+x.rng.IntN(200)) * time.Millisecond }
	x.badProbability = func(*Request, *Binding) float64 { return 0.01 }
	fleet := Servers{}
	for i := range 12 {
		fleet[server(i).ID] = server(i)
	}
	x.m.UpdateServers(fleet)
	return x
}

// run advances the simulation by span, in steps of 10 ms.
func (x *simulation) run(span time.Duration) {
	const step = 10 * time.Millisecond
	for until := x.now + span; x.now < until; x.now += step {
		for n := x.rate * step.Seconds(); n > 0 && x.rng.Float64() < n; n-- {
			x.n++
			a := &Request{ID: fmt.Sprint(x.n), Class: x.n % 2, Tenant: x.rng.IntN(3), Path: "/", AffinityKey: fmt.Sprint(x.rng.IntN(500))}
			b := &Binding{}
			if _, ok := x.m.Bind(x.now, a, b); !ok {
				continue
			}
			end := Served
			if x.rng.Float64() < x.badProbability(a, b) {
				end = Failed
			}
			x.open = append(x.open, pendingEnd{x.now + x.latency(a, b), b, end})
		}
		left := x.open[:0]
		for _, e := range x.open {
			if e.at <= x.now {
				x.m.Release(x.now, e.b, e.end)
			} else {
				left = append(left, e)
			}
		}
		x.open = left
		if due, ok := x.m.NextTick(); ok && due <= x.now {
			x.m.Tick(x.now)
		}
	}
}

// lastEvent is the event of the latest record in the history.
func (x *simulation) lastEvent() string { return x.m.history[len(x.m.history)-1].Event }

// routeToPool is a configuration that routes a part of a tenant's requests, in percent, to the servers of pod 3.
func routeToPool(tenant string, weight int) *fleetconfig.Config {
	return normalized(fleetconfig.Config{Pools: []fleetconfig.Pool{{Name: "p", Selector: fleetconfig.Selector{Pods: []int{3}}}},
		Routes: []fleetconfig.Route{{Name: "r", Tenant: tenant, To: []fleetconfig.Target{{Pool: "p", Weight: weight}, {Pool: "all", Weight: 100 - weight}}}}})
}

func inFlightLimit(n int, tenant string) *fleetconfig.Config {
	return normalized(fleetconfig.Config{Limits: []fleetconfig.Limit{{Name: "l", Tenant: tenant, MaxInFlight: &n}}})
}

// badInPool is a probability of a bad outcome for what goes to the new pool, and another for the rest.
func badInPool(inPool, elsewhere float64) func(*Request, *Binding) float64 {
	return func(_ *Request, b *Binding) float64 {
		if b.ServerIDs() != nil {
			return inPool
		}
		return elsewhere
	}
}

// watchScenarios are what a change does, and what the watch has to conclude.
var watchScenarios = []struct {
	name string
	rate float64
	// before sets the service up before the change, after from then on; nil: nothing goes wrong
	before, after func(x *simulation)
	change        *fleetconfig.Config
	want          string
	within        time.Duration // in which harm has to be found; 0: there is none
}{
	{"harmless, busy", 300, nil, nil, routeToPool("", 50), EventPromoted, 0},
	{"harmless, quiet", 4, nil, nil, routeToPool("wick", 50), EventPromoted, 0},
	{"harmless, amid an outage that was there before", 300, func(x *simulation) { x.badProbability = badInPool(0.5, 0.5) }, nil, routeToPool("wick", 100), EventPromoted, 0},
	{"harmless, and an outage comes that hits all", 300, nil, func(x *simulation) { x.badProbability = badInPool(0.6, 0.6) }, routeToPool("wick", 100), EventPromoted, 0},
	{"harmless, with load that trebles", 100, nil, func(x *simulation) { x.rate = 300 }, routeToPool("", 10), EventPromoted, 0},
	{"harmless, with bursts of failures", 300, func(x *simulation) {
		x.badProbability = func(*Request, *Binding) float64 {
			if x.now%(7*time.Second) < 300*time.Millisecond {
				return 0.3
			}
			return 0.01
		}
	}, nil, routeToPool("", 50), EventPromoted, 0},
	{"a limit that turns away what the plan says", 300, nil, nil, normalized(fleetconfig.Config{Limits: []fleetconfig.Limit{{Name: "l", Tenant: "wick", Rate: 90, Burst: 90}}}), EventPromoted, 0},
	{"a pool of hung servers", 300, nil, func(x *simulation) {
		x.badProbability = badInPool(1, 0.01)
		x.latency = func(_ *Request, b *Binding) time.Duration {
			if b.ServerIDs() != nil {
				return 2 * time.Second
			}
			return 100 * time.Millisecond
		}
	}, routeToPool("wick", 100), EventHarmFound, 8 * time.Second},
	{"a tenth of one tenant to a pool that fails", 300, nil, func(x *simulation) { x.badProbability = badInPool(1, 0.01) }, routeToPool("wick", 10), EventHarmFound, 25 * time.Second},
	{"a pool that is late for half", 300, nil, func(x *simulation) {
		x.latency = func(_ *Request, b *Binding) time.Duration {
			if b.ServerIDs() != nil && x.rng.IntN(2) == 0 {
				return 900 * time.Millisecond
			}
			return 100 * time.Millisecond
		}
	}, routeToPool("wick", 100), EventHarmFound, 10 * time.Second},
	{"a limit of zero", 300, nil, nil, inFlightLimit(0, "wick"), EventHarmFound, 6 * time.Second},
	{"a limit of zero for a quiet tenant", 12, nil, nil, inFlightLimit(0, "wick"), EventHarmFound, 30 * time.Second},
	{"harm that begins 20 s later", 300, nil, func(x *simulation) {
		late := x.now + 20*time.Second
		x.badProbability = func(_ *Request, b *Binding) float64 {
			if b.ServerIDs() != nil && x.now > late {
				return 0.6
			}
			return 0.01
		}
	}, routeToPool("wick", 100), EventHarmFound, 28 * time.Second},
	{"a pool that fails, amid failures that were there before", 300, func(x *simulation) { x.badProbability = badInPool(0.3, 0.3) },
		func(x *simulation) { x.badProbability = badInPool(0.95, 0.3) }, routeToPool("wick", 100), EventHarmFound, 10 * time.Second},
}

// playDay applies a scenario's change in a simulated day and returns the event that ends its watch, and after how long.
func (x *simulation) playDay(t *testing.T, before, after func(*simulation), change *fleetconfig.Config) (event string, took time.Duration) {
	if before != nil {
		before(x)
	}
	x.run(65 * time.Second)
	apply(t, x.m, x.now, change)
	if after != nil {
		after(x)
	}
	appliedAt := x.now
	for x.lastEvent() == EventApplied && x.now < appliedAt+time.Minute {
		x.run(500 * time.Millisecond)
	}
	return x.lastEvent(), x.now - appliedAt
}

// Changes of many kinds, harmless and harmful, are applied on busy and quiet days and amid outages that are no fault of theirs.
// False and missed alarms over all of them are rare, and harm is found in time.
func TestHarmWatchOnManyScenarios(t *testing.T) {
	for _, scenario := range watchScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			wrong, slowest, total := 0, time.Duration(0), time.Duration(0)
			for day := range *days {
				x := newSimulation(uint64(day), scenario.rate)
				event, took := x.playDay(t, scenario.before, scenario.after, scenario.change)
				if event != scenario.want {
					wrong++
					t.Logf("day %d: %+v", day, x.m.history[len(x.m.history)-1])
				}
				slowest, total = max(slowest, took), total+took
			}
			t.Logf("%d of %d days judged wrongly; took %v in the mean, %v at the most", wrong, *days, total/time.Duration(*days), slowest)
			if wrong*20 > *days {
				t.Errorf("%d of %d days were judged wrongly", wrong, *days)
			}
			if scenario.within > 0 && slowest > scenario.within {
				t.Errorf("harm was found after %v, %v at the most was wanted", slowest, scenario.within)
			}
		})
	}
}

// A change sends a tenant to servers that fail. It is rolled back with a line that says what was seen, the previous configuration
// is in force again, and the change is rejected when it is staged a second time without force.
func TestHarmfulConfigIsRolledBackAndBlocked(t *testing.T) {
	x := newSimulation(1, 300)
	x.run(65 * time.Second)
	bad := routeToPool("wick", 100)
	apply(t, x.m, x.now, bad)
	x.badProbability = badInPool(1, 0.01)
	x.run(10 * time.Second)
	last := x.m.history[len(x.m.history)-1]
	if last.Event != EventHarmFound || last.Hash != bad.Hash() || !strings.Contains(last.Reason, "wick") && !strings.Contains(last.Reason, "all tenants") {
		t.Fatalf("the history says %+v", last)
	}
	if _, number, hash := x.m.Config(); number != 2 || hash != (&fleetconfig.Config{}).Hash() {
		t.Errorf("generation %d, %s", number, hash)
	}
	ready, err := compileFor(bad, x.m)
	if err != nil {
		t.Fatal(err)
	}
	if err := x.m.Stage(ready, x.m.serversVersion, "x", (&fleetconfig.Config{}).Hash(), false); err == nil || !strings.Contains(err.Error(), last.Reason) {
		t.Errorf("staged again: %v", err)
	}
}

// A change drains half of the servers in steps. On a good day each step follows the one before until all are drained. When failures
// begin after the second step no further step is taken, and the rollback undoes all steps at once.
func TestRolloutAdvancesByStepsAndRollsBackAsAWhole(t *testing.T) {
	change := func() *fleetconfig.Config {
		return normalized(fleetconfig.Config{Drains: []fleetconfig.Drain{{Name: "d", Share: 1, Selector: fleetconfig.Selector{Kinds: []string{"twin-core"}}}},
			Rollout: &fleetconfig.Rollout{Step: 0.34, Wait: fleetconfig.Duration(5 * time.Second)}, Watch: &fleetconfig.Watch{Duration: fleetconfig.Duration(10 * time.Second), FalseAlarms: 0.001}})
	}
	good := newSimulation(1, 200)
	good.run(65 * time.Second)
	apply(t, good.m, good.now, change())
	var out []int
	for range 60 {
		if n := len(good.m.draining); len(out) == 0 || out[len(out)-1] != n {
			out = append(out, n)
		}
		good.run(500 * time.Millisecond)
	}
	if fmt.Sprint(out) != "[3 5 6]" || good.lastEvent() != EventPromoted {
		t.Errorf("out were %v of 6, and it is %s", out, good.lastEvent())
	}

	bad := newSimulation(2, 200)
	bad.run(65 * time.Second)
	apply(t, bad.m, bad.now, change())
	bad.run(6 * time.Second)
	bad.badProbability = func(*Request, *Binding) float64 { return 0.5 } // no request is beside a change of drains
	most := 0
	for range 40 {
		bad.run(500 * time.Millisecond)
		most = max(most, len(bad.m.draining))
	}
	if most > 5 || len(bad.m.draining) != 0 || bad.lastEvent() != EventHarmFound {
		t.Errorf("%d were out at the most, %d are, and it is %s", most, len(bad.m.draining), bad.lastEvent())
	}
}

// An agent restarts in the middle of a rollout, or while a change is watched. The new process drains as many servers as before and
// goes on with the watch, whose baseline is still that of before the switch: harm is found and rolled back.
func TestRestartResumesRolloutAndWatch(t *testing.T) {
	x := newSimulation(1, 300)
	x.run(65 * time.Second)
	apply(t, x.m, x.now, routeToPool("wick", 100))
	x.run(time.Second)
	s := x.m.State()
	staged := newSimulation(3, 100)
	apply(t, staged.m, staged.now, normalized(fleetconfig.Config{Drains: []fleetconfig.Drain{{Name: "d", Share: 1, Selector: fleetconfig.Selector{Kinds: []string{"twin-core"}}}},
		Rollout: &fleetconfig.Rollout{Step: 0.34, Wait: fleetconfig.Duration(5 * time.Second)}}))
	staged.run(6 * time.Second)
	resumed := newSimulation(4, 100)
	if err := resumed.m.Restore(resumed.now, staged.m.State()); err != nil || len(resumed.m.draining) != 5 || len(staged.m.draining) != 5 {
		t.Errorf("%v: %d were out in the second step, %d after a restart", err, len(staged.m.draining), len(resumed.m.draining))
	}
	y := newSimulation(2, 300)
	y.now = x.now
	if err := y.m.Restore(y.now, s); err != nil {
		t.Fatal(err)
	}
	y.badProbability = badInPool(1, 0.01)
	y.run(10 * time.Second)
	if y.lastEvent() != EventHarmFound {
		t.Errorf("after a restart the history ends with %+v", y.m.history)
	}
}

package generation

import (
	"fmt"
	"testing"
	"time"

	"appleledge/internal/fleetconfig"
)

// manyRoutes is a configuration of so many routes over 16 pools, a third of them with a header, and some limits.
func manyRoutes(n int) *fleetconfig.Config {
	c := fleetconfig.Config{}
	for i := range 16 {
		c.Pools = append(c.Pools, fleetconfig.Pool{Name: fmt.Sprint("p", i), Selector: fleetconfig.Selector{Pods: []int{i, i + 1}}})
	}
	for i := range n {
		r := fleetconfig.Route{Name: fmt.Sprintf("r%04d", i), PathPrefix: fmt.Sprintf("/form-check/%04d", i),
			To: []fleetconfig.Target{{Pool: fmt.Sprint("p", i%16), Weight: 9}, {Pool: "all", Weight: 1}}}
		if i%3 == 0 {
			r.Headers = map[string]string{"X-Attrs": fmt.Sprint(i)}
		}
		c.Routes = append(c.Routes, r)
	}
	ten := 1 << 20
	c.Limits = []fleetconfig.Limit{{Name: "all", MaxInFlight: &ten}, {Name: "wick", Tenant: "wick", Rate: 1e6, Burst: 1 << 20}}
	return normalized(c)
}

func fleetOf(n int) Servers {
	out := Servers{}
	for i := range n {
		s := server(i % 200)
		s.ID, s.Addr, s.Pod = fmt.Sprintf("s-%05d", i), fmt.Sprintf("127.%d.%d.%d:80", i>>16, i>>8&255, i&255), i%20
		out[s.ID] = s
	}
	return out
}

// BenchmarkBind measures what Bind and Release cost a request.
func BenchmarkBind(b *testing.B) {
	for _, routes := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			m := newManager()
			m.UpdateServers(fleetOf(1000))
			if routes > 0 {
				apply(b, m, time.Second, manyRoutes(routes))
				m.watch = nil
			}
			a := &Request{ID: "x", Tenant: 2, Path: fmt.Sprintf("/form-check/%04d/a", routes/2), AffinityKey: "k", Header: map[string][]string{"X-Attrs": {"3"}}}
			var bound Binding
			b.ReportAllocs()
			for now := 2 * time.Second; b.Loop(); now += time.Millisecond {
				if _, ok := m.Bind(now, a, &bound); !ok {
					b.Fatal("refused")
				}
				m.Release(now, &bound, Served)
			}
		})
	}
}

// BenchmarkSwitch measures for how long a switch occupies the engine: between two compiled configurations of 1,000 routes over
// 10,000 servers, with a tenth of the servers that begin or end to drain.
func BenchmarkSwitch(b *testing.B) {
	m := newManager()
	m.UpdateServers(fleetOf(10_000))
	two := [2]*fleetconfig.Config{manyRoutes(1000), manyRoutes(999)}
	two[1].Drains = []fleetconfig.Drain{{Name: "d", Share: 1, Selector: fleetconfig.Selector{Pods: []int{1, 2}}}}
	longest := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		ready, err := compileFor(two[i%2], m)
		if err != nil {
			b.Fatal(err)
		}
		_, _, base := m.Config()
		b.StartTimer()
		began := time.Now()
		if err := m.Stage(ready, m.serversVersion, "x", base, true); err != nil {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(began))
		began = time.Now() // the engine goes on with requests between the two, and while the state is kept
		if _, err := m.Switch(time.Second, ""); err != nil {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(began))
		m.TakeDrainChanges()
	}
	b.ReportMetric(float64(longest.Microseconds()), "longest-us")
}

// BenchmarkCompile measures what is done beside the engine before a switch.
func BenchmarkCompile(b *testing.B) {
	c, servers := manyRoutes(1000), fleetOf(10_000)
	for b.Loop() {
		if _, err := Compile(c, names, servers); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkUpdateServers measures what a change of one server costs the engine.
func BenchmarkUpdateServers(b *testing.B) {
	m := newManager()
	m.UpdateServers(fleetOf(10_000))
	apply(b, m, time.Second, manyRoutes(1000))
	s := server(1)
	s.ID = "s-00001"
	for i := 0; b.Loop(); i++ {
		next := *s
		next.Pod = i % 20
		m.UpdateServers(Servers{next.ID: &next})
	}
}

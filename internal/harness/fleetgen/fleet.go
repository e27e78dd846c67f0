// Package fleetgen makes fleets of any size that come and go by a script, for tests and measurements: what there is
// (Fleet), when it changes (Script), and by which lists it is told (Publisher).
package fleetgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Spec says what fleet there is at first.
type Spec struct {
	Servers int     `toml:"servers"`
	Seed    uint64  `toml:"seed"`   // all that is left open is drawn from it
	Cell    int     `toml:"cell"`   // servers that drop each other's repeats
	Spread  float64 `toml:"spread"` // the largest size over the smallest; sizes are drawn evenly by their logarithm
	Zone    string  `toml:"zone"`
	Ports   int     `toml:"ports"` // the first port of those that are made up, where no server listens
}

// Server is one of a fleet.
type Server struct {
	ID        string
	Host      string
	Port      int
	Cell      int
	Weight    int // 1 or more
	Zone      string
	Draining  bool
	StartedMS int64 // Unix time; 0 for long ago
}

// Fleet is a fleet and its changes. It is deterministic, and not safe for concurrent use.
type Fleet struct {
	spec    Spec
	rng     *rand.Rand
	servers []Server // in the order in which they came
	next    int      // number of the next one
	place   func(i int) (host string, port int)
}

// New returns a fleet. Where place is not nil it says where the i-th server listens, else addresses are made up, of
// the loopback.
func New(spec Spec, place func(i int) (host string, port int)) *Fleet {
	f := &Fleet{spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, 0)), place: place}
	if place == nil {
		f.place = f.madeUp
	}
	f.Add(spec.Servers, 0)
	return f
}

// madeUp spreads servers over 127.1.0.0/16 and up, 250 to a number.
func (f *Fleet) madeUp(i int) (string, int) {
	return fmt.Sprintf("127.%d.%d.%d", 1+i/62_500, i/250%250, 1+i%250), f.spec.Ports
}

// Servers are all there are, draining ones included. The slice is only read.
func (f *Fleet) Servers() []Server { return f.servers }

// Add adds servers that start at a time.
func (f *Fleet) Add(n int, startedMS int64) (changed []Server) {
	for range n {
		s := Server{ID: fmt.Sprintf("s-%06d", f.next), Cell: f.next / max(1, f.spec.Cell), Zone: f.spec.Zone,
			Weight: max(1, int(math.Round(math.Pow(max(1, f.spec.Spread), f.rng.Float64())))), StartedMS: startedMS}
		s.Host, s.Port = f.place(f.next)
		f.next++
		f.servers = append(f.servers, s)
	}
	return slices.Clone(f.servers[len(f.servers)-n:])
}

// some picks so many servers at random, of those that drain or of those that do not.
func (f *Fleet) some(n int, draining bool) (at []int) {
	for i, s := range f.servers {
		if s.Draining == draining {
			at = append(at, i)
		}
	}
	f.rng.Shuffle(len(at), func(i, j int) { at[i], at[j] = at[j], at[i] })
	return at[:min(n, len(at))]
}

// Drain makes servers drain.
func (f *Fleet) Drain(n int) (changed []Server) {
	for _, i := range f.some(n, false) {
		f.servers[i].Draining = true
		changed = append(changed, f.servers[i])
	}
	return changed
}

// Weigh gives servers new weights.
func (f *Fleet) Weigh(n int) (changed []Server) {
	for _, i := range f.some(n, false) {
		f.servers[i].Weight = max(1, int(math.Round(math.Pow(max(1, f.spec.Spread), f.rng.Float64()))))
		changed = append(changed, f.servers[i])
	}
	return changed
}

// Restart gives servers a new start.
func (f *Fleet) Restart(n int, startedMS int64) (changed []Server) {
	for _, i := range f.some(n, false) {
		f.servers[i].StartedMS = startedMS
		changed = append(changed, f.servers[i])
	}
	return changed
}

// Remove takes servers away, those first that drain.
func (f *Fleet) Remove(n int) (gone []string) {
	at := f.some(n, true)
	at = append(at, f.some(n-len(at), false)...)
	slices.Sort(at)
	for _, i := range slices.Backward(at) {
		gone = append(gone, f.servers[i].ID)
		f.servers = slices.Delete(f.servers, i, i+1)
	}
	return gone
}

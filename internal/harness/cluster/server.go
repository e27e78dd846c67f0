package cluster

import (
	"time"

	"appleledge/internal/emulator"
	"appleledge/internal/harness/loopback"
)

// slower are the classes with so many times the work.
func slower(times int) (all []emulator.Class) {
	for _, c := range classes {
		if times > 0 {
			c.Work[0], c.Work[1] = c.Work[0]*time.Duration(times), c.Work[1]*time.Duration(times)
		}
		all = append(all, c)
	}
	return all
}

// Classes of the deployment, quick enough for many processes on two cores.
var classes = []emulator.Class{
	{Name: "form-check", Work: [2]time.Duration{4 * time.Millisecond, 8 * time.Millisecond}, Wait: [2]time.Duration{10 * time.Millisecond, 20 * time.Millisecond}},
	{Name: "refund-record", Work: [2]time.Duration{5 * time.Millisecond, 10 * time.Millisecond}, Wait: [2]time.Duration{10 * time.Millisecond, 30 * time.Millisecond}},
}

// Server is a form server.
type Server struct {
	ID      string
	Pod     int
	fleet   *Fleet
	host    *loopback.Host
	entry   emulator.Entry
	form    *emulator.FormServer // nil: it is dark
	drained time.Time            // when all agents had been told so; zero: not
}

// Start starts a server at its address: warm, or cold as one that has just got power.
func (s *Server) Start(warm bool) {
	f := s.fleet
	if f.pods[s.Pod] == nil {
		f.pods[s.Pod] = emulator.NewPod(s.Pod, window, f.Ledger)
	}
	spec := emulator.Spec{Cores: 2, Speed: 1, Slots: 12, Queue: 32, CrowdingPenalty: 0.05, CrowdingStart: 4, ColdCapacityRatio: 0.32, WarmupTime: 8700 * time.Millisecond,
		CollapseOverload: 3, CollapseTime: 3 * time.Second, ReportInterval: 100 * time.Millisecond, ReportDelay: 20 * time.Millisecond}
	model := emulator.NewServer(s.ID, spec, f.pods[s.Pod], f.options.Seed, time.Since(f.epoch), warm)
	form, err := emulator.Listen(s.ID, model, slower(f.options.Slow), f.options.Seed, f.epoch, emulator.ListenOptions{Addr: s.host.Addr(), IdleTimeout: 15 * time.Second, MaxConns: 800})
	f.must(err)
	s.form, s.drained = form, time.Time{}
	if f.Lines != nil {
		f.Lines.name(s.ID, form.Addr)
	}
	s.entry = emulator.Entry{ID: s.ID, Addr: form.Addr, Zone: "edinburgh-dc", Kind: "twin-core", Cell: s.Pod, State: "Ready", Weight: 1}
	if !warm {
		s.entry.StartedMS = time.Now().UnixMilli()
	}
}

// Move gives a server that is dark another address, or another name at its address.
func (s *Server) Move(id string, to *loopback.Host) {
	if id != "" {
		s.ID = id
	}
	if to != nil {
		s.host = to
	}
}

// Drain lets the list say that a server drains. It is up to the caller to let that be told.
func (s *Server) Drain() {
	s.entry.State, s.drained = "Terminating", time.Now()
	s.form.ChangeFaults(func(x *emulator.Faults) { x.Draining = false }) // it goes on taking what comes, and counts it
	s.fleet.Discovery.Set(s.entry)
}

// die takes a server's power. What it was sent after it began to drain breaks a rule.
func (s *Server) die() {
	if s.form == nil {
		return
	}
	s.check()
	s.form.Close()
	s.form = nil
}

func (s *Server) check() {
	if s.form == nil {
		return
	}
	if s.form.Collapsed() {
		s.fleet.Broken("the cold server %s was pushed over", s.ID)
	}
	if late := s.form.LastArrival().Sub(s.drained); !s.drained.IsZero() && late > drainGrace {
		s.fleet.Broken("%s got a request %v after the list said that it drains", s.ID, late.Round(time.Millisecond))
	}
}

// Arrived counts the requests that came to a server in this life.
func (s *Server) Arrived() int {
	if s.form == nil {
		return 0
	}
	return s.form.Arrived()
}

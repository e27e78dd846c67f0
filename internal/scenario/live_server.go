package scenario

import (
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/emulator"
	"appleledge/internal/harness/loopback"
)

// liveServer is a form server on a socket.
type liveServer struct {
	*server
	run             *liveRun
	formServer      *emulator.FormServer
	entry           emulator.Entry
	drainListedAt   time.Duration // when the list said that it drains; 0: not timed
	peak            int
	inFlightSamples []int
	isDead          bool
}

// startServer implements environment. A server that can't listen is marked dead and leaves its error in l.err.
func (l *liveRun) startServer(m *server, spec emulator.Spec, seed uint64, warm bool) serverHost {
	if l.pods[m.pod] == nil {
		l.pods[m.pod] = emulator.NewPod(m.pod, l.script.Fleet.dedupWindow(), l.ledger)
	}
	s := &liveServer{server: m, run: l}
	l.liveServers = append(l.liveServers, s)
	if !warm {
		s.entry.StartedMS = time.Now().UnixMilli()
	}
	model := emulator.NewServer(m.id, spec, l.pods[m.pod], seed, time.Since(l.modelEpoch), warm)
	place, err := l.listener(m.id)
	if err != nil {
		s.isDead = true
		l.err = err
		return s
	}
	srv, err := emulator.Listen(m.id, model, classes, 0, l.modelEpoch,
		emulator.ListenOptions{Addr: place.Addr(), IdleTimeout: idleClose, MaxConns: 400 * m.kind.cores,
			RejectsAbandoned: l.script.Fleet.RejectsAbandoned, OmitsContinue: l.script.Fleet.OmitsContinue})
	if err != nil {
		s.isDead = true
		l.err = err
		return s
	}
	s.formServer = srv
	s.entry.ID, s.entry.Addr, s.entry.Zone, s.entry.Kind, s.entry.Cell, s.entry.Weight = m.id, srv.Addr, zone, m.kind.name, m.pod, 1
	return s
}

// listener returns the address that a server or agent listens on; it keeps it over restarts.
func (l *liveRun) listener(id string) (*loopback.Host, error) {
	if l.listeners[id] == nil {
		h, err := loopback.Hold()
		if err != nil {
			return nil, err
		}
		l.listeners[id] = h
	}
	return l.listeners[id], nil
}

// applyFaults implements serverHost. On loopback nothing can be partitioned, so that a partitioned server hangs.
func (s *liveServer) applyFaults(e faultSet) {
	if s.isDead {
		return
	}
	s.formServer.ChangeFaults(func(f *emulator.Faults) {
		e.writeTo(f)
		f.Hung = f.Hung || e.partitioned > 0 // on loopback nothing can be cut off; it says as little
		f.Draining = s.state == balancer.Draining
	})
	s.formServer.SetConnFaults(emulator.ConnFaults{ResetRatio: probabilityOfAny(e.reset), CorruptRatio: probabilityOfAny(e.corrupt),
		ReadsNothing: e.readStalls > 0})
}

// kill implements serverHost, and checks that no request came too long after the list said that the server drains.
func (s *liveServer) kill() {
	if s.isDead {
		return
	}
	s.isDead = true
	if last, late := s.arrivedAfterDrain(); late {
		s.run.addViolation("3", "%s got a request %v after the list said that it drains", s.id, last)
	}
	s.formServer.Close()
}

// arrivedAfterDrain returns how long after the list said that the server drains its last request came, and whether that was too long.
// A server that no request has reached has no such time.
func (s *liveServer) arrivedAfterDrain() (after time.Duration, tooLate bool) {
	last := s.formServer.LastArrival()
	if s.drainListedAt == 0 || last.IsZero() {
		return 0, false
	}
	after = last.Sub(s.run.epoch) - s.drainListedAt
	return after, after > drainGrace+listDeliveryTolerance
}

// hasCollapsed implements serverHost.
func (s *liveServer) hasCollapsed() bool { return !s.isDead && s.formServer.Collapsed() }

// listChanged implements environment: it publishes the entries that have changed.
func (l *liveRun) listChanged() {
	var entries []emulator.Entry
	for _, s := range l.liveServers {
		state := map[balancer.State]string{balancer.Ready: "Ready", balancer.Draining: "Terminating", balancer.Removed: "Gone"}[s.state]
		if l.current[s.id] != s.server || s.entry.State == state || s.state == balancer.Removed && s.entry.State == "" {
			continue
		}
		s.entry.State = state
		entries = append(entries, s.entry)
		if s.state == balancer.Draining {
			s.applyFaults(s.faults)
			if l.listOutages+l.listSilences == 0 && l.listLag == 0 {
				s.drainListedAt = l.elapsed()
			}
		}
	}
	if len(entries) > 0 {
		l.discovery.Set(entries...)
	}
}

// setListOutage implements environment.
func (l *liveRun) setListOutage(out bool) {
	l.forgetDrainTimes()
	l.discovery.SetOut(out)
}

// setListSilence implements environment. What was listed meanwhile counts as notified from the end of the silence.
func (l *liveRun) setListSilence(silent bool) {
	l.forgetDrainTimes()
	l.discovery.SetSilent(silent)
	if silent || l.listOutages > 0 || l.listLag > 0 {
		return
	}
	for _, s := range l.liveServers {
		if s.state == balancer.Draining && l.current[s.id] == s.server {
			s.drainListedAt = l.elapsed()
		}
	}
}

// setListLag implements environment.
func (l *liveRun) setListLag(by time.Duration) {
	l.forgetDrainTimes()
	l.discovery.SetLag(by)
}

// forgetDrainTimes stops timing the drains under way: it isn't known any more when agents hear of them.
func (l *liveRun) forgetDrainTimes() {
	for _, s := range l.liveServers {
		s.drainListedAt = 0
	}
}

// forgetPod implements environment.
func (l *liveRun) forgetPod(pod int) { l.pods[pod].Forget() }

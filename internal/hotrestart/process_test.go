package hotrestart

import (
	"testing"

	"pgregory.net/rapid"
)

// agentModel is the live processes of one agent, which tell each other of their phases without a delay or late.
type agentModel struct {
	live   map[int]*Process // by number
	nextID int
}

// drawLive draws one of the live processes.
func (m *agentModel) drawLive(t *rapid.T) int {
	var ids []int
	for id := range m.nextID {
		if m.live[id] != nil {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("none lives")
	}
	return rapid.SampledFrom(ids).Draw(t, "process")
}

func (m *agentModel) start(t *rapid.T) {
	if len(m.live) > maxPeers {
		t.Skip("there are enough")
	}
	p := NewProcess()
	for id, other := range m.live {
		p.ObservePeer(id, other.Phase())
		other.ObservePeer(m.nextID, Starting)
	}
	m.live[m.nextID] = p
	m.nextID++
}

func (m *agentModel) setPhase(id int, phase Phase) {
	m.live[id].SetPhase(phase)
	for other, p := range m.live {
		if other != id {
			p.ObservePeer(id, m.live[id].Phase())
		}
	}
}

// deliverOldMessage tells the others any phase that a process has been in.
func (m *agentModel) deliverOldMessage(t *rapid.T) {
	id := m.drawLive(t)
	for other, p := range m.live {
		if other != id {
			p.ObservePeer(id, Phase(rapid.IntRange(0, int(m.live[id].Phase())).Draw(t, "phase")))
		}
	}
}

func (m *agentModel) die(t *rapid.T) {
	id := m.drawLive(t)
	delete(m.live, id)
	for _, p := range m.live {
		p.RemovePeer(id)
	}
}

func (m *agentModel) check(t *rapid.T) {
	accepting, serving, ready, shares := 0, 0, 0, 0.0
	for _, p := range m.live {
		shares += p.LimitShare()
		if p.Phase() != Starting {
			ready++
		}
		if p.Phase() == Serving {
			serving++
		}
		if p.ShouldAccept() {
			accepting++
			if p.Phase() == Starting && len(m.live) > 1 {
				t.Fatal("one that is not ready accepts connections beside others")
			}
		}
	}
	switch {
	case ready > 0 && accepting == 0:
		t.Fatal("nobody accepts new connections")
	case serving > 0 && accepting != serving:
		t.Fatalf("%d serve and %d accept new connections", serving, accepting)
	case len(m.live) > 0 && (shares < 0.999 || shares > 1.001):
		t.Fatalf("the shares come to %v", shares)
	}
}

// Several processes of one agent start, become ready, are told to end and die, in any order, and each hears of the others' phases,
// late at times. As long as one lives that has been ready, somebody accepts new connections; a process that cannot serve accepts
// none beside one that can; and the limit shares add up to one.
func TestProcessInvariantsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &agentModel{live: map[int]*Process{}}
		t.Repeat(map[string]func(*rapid.T){
			"start":                     m.start,
			"ready":                     func(t *rapid.T) { m.setPhase(m.drawLive(t), Serving) },
			"leave":                     func(t *rapid.T) { m.setPhase(m.drawLive(t), Draining) },
			"an old message comes late": m.deliverOldMessage,
			"die":                       m.die,
			"":                          m.check,
		})
	})
}

// Two messages of a process cross, and the older one arrives last. The earlier phase that it tells is ignored, so that the draining
// process does not accept connections again beside the one that serves.
func TestOlderPhaseIsIgnored(t *testing.T) {
	a, b := NewProcess(), NewProcess()
	a.ObservePeer(1, Starting)
	b.ObservePeer(0, a.Phase())
	b.SetPhase(Draining)
	a.ObservePeer(1, b.Phase())
	a.SetPhase(Serving)
	b.ObservePeer(0, a.Phase())
	b.ObservePeer(0, Starting) // which a said before
	if !a.ShouldAccept() || b.ShouldAccept() {
		t.Errorf("the one that serves accepts new connections: %v, the one that leaves: %v", a.ShouldAccept(), b.ShouldAccept())
	}
}

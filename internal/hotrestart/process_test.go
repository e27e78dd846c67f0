package hotrestart

import (
	"testing"

	"pgregory.net/rapid"
)

// Several processes of one agent start, become ready, are told to leave and die, in any order that the platform or a mishap can
// bring, each heard of by the others: as long as one that has been ready lives, somebody takes new connections; one that could
// not serve takes none from those that can; and the shares come to one.
func TestProcessesAsAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := map[int]*Process{}
		next := 0
		some := func(t *rapid.T) int {
			var ids []int
			for id := range next {
				if live[id] != nil {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				t.Skip("none lives")
			}
			return rapid.SampledFrom(ids).Draw(t, "process")
		}
		enter := func(id int, phase Phase) {
			live[id].SetPhase(phase)
			for other, p := range live {
				if other != id {
					p.ObservePeer(id, live[id].Phase())
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				if len(live) > mostPeers {
					t.Skip("there are enough")
				}
				p := NewProcess()
				for id, other := range live {
					p.ObservePeer(id, other.Phase())
					other.ObservePeer(next, Starting)
				}
				live[next] = p
				next++
			},
			"ready": func(t *rapid.T) { enter(some(t), Serving) },
			"leave": func(t *rapid.T) { enter(some(t), Draining) },
			"an old word comes late": func(t *rapid.T) {
				id := some(t)
				for other, p := range live {
					if other != id {
						p.ObservePeer(id, Phase(rapid.IntRange(0, int(live[id].Phase())).Draw(t, "phase")))
					}
				}
			},
			"die": func(t *rapid.T) {
				id := some(t)
				delete(live, id)
				for _, p := range live {
					p.RemovePeer(id)
				}
			},
			"": func(t *rapid.T) {
				accepting, serving, ready, shares := 0, 0, 0, 0.0
				for _, p := range live {
					shares += p.LimitShare()
					if p.Phase() != Starting {
						ready++
					}
					if p.Phase() == Serving {
						serving++
					}
					if p.ShouldAccept() {
						accepting++
						if p.Phase() == Starting && len(live) > 1 {
							t.Fatal("one that is not ready takes connections from others")
						}
					}
				}
				switch {
				case ready > 0 && accepting == 0:
					t.Fatal("nobody takes new connections")
				case serving > 0 && accepting != serving:
					t.Fatalf("%d serve and %d take new connections", serving, accepting)
				case len(live) > 0 && (shares < 0.999 || shares > 1.001):
					t.Fatalf("the shares come to %v", shares)
				}
			},
		})
	})
}

// A word that is older than one that was heard changes nothing: the process that serves goes on taking what connects.
func TestAnOldWordChangesNothing(t *testing.T) {
	a, b := NewProcess(), NewProcess()
	a.ObservePeer(1, Starting)
	b.ObservePeer(0, a.Phase())
	b.SetPhase(Draining)
	a.ObservePeer(1, b.Phase())
	a.SetPhase(Serving)
	b.ObservePeer(0, a.Phase())
	b.ObservePeer(0, Starting) // which a said before
	if !a.ShouldAccept() || b.ShouldAccept() {
		t.Errorf("the one that serves takes new connections: %v, the one that leaves: %v", a.ShouldAccept(), b.ShouldAccept())
	}
}

package engine

import (
	"slices"
	"testing"

	"appleledge/internal/balancer"
	"appleledge/internal/fleetconfig"
)

// Operators put a configuration in force that drains a pod, and later one that drains none. The pod gets no attempt between the
// two, also when the endpoint list calls its servers ready anew meanwhile, and gets attempts again behind them.
func TestDrainOfConfigurationExcludesPod(t *testing.T) {
	x := newBindingFixture(t, func(x *bindingFixture) { x.SetGenerations(newGenerations(), nil) })
	attemptsOfPod0 := func() (n int) {
		for range 40 {
			if a, _ := x.call(""); a != nil {
				if cellOf(a) == 0 {
					n++
				}
				x.endAttempt(a, balancer.OK)
			}
		}
		return n
	}
	if attemptsOfPod0() == 0 {
		t.Fatal("the pod gets no attempt before")
	}
	x.switchTo(t, &fleetconfig.Config{Drains: []fleetconfig.Drain{{Name: "d", Share: 1, Selector: fleetconfig.Selector{Pods: []int{0}}}}})
	x.Handle(nil)
	if n := attemptsOfPod0(); n != 0 {
		t.Errorf("%d attempts went to a pod that the configuration drains", n)
	}
	x.Handle(EndpointUpdate{Full: true, Members: x.members(balancer.Ready)})
	if n := attemptsOfPod0(); n != 0 {
		t.Errorf("%d attempts went to a drained pod that was listed anew", n)
	}
	x.switchTo(t, &fleetconfig.Config{})
	x.Handle(nil)
	if attemptsOfPod0() == 0 {
		t.Error("the pod gets no attempt after its drain has ended")
	}
}

// What a configuration drains passes all overlays behind it, each of which keeps a list of its own: denials, observations of other
// agents, pods of bindings, connections.
func TestDrainOfConfigurationPassesAllOverlays(t *testing.T) {
	for _, stage := range []overlayStage{overlayDenylist, overlayGossip, overlayAffinity, overlayServerPool, overlayRecovery} {
		seen := &recordingOverlay{}
		x := newBindingFixture(t, func(x *bindingFixture) {
			x.SetGenerations(newGenerations(), nil)
			x.overlays[stage] = seen
		})
		seen.ids = nil
		x.switchTo(t, &fleetconfig.Config{Drains: []fleetconfig.Drain{{Name: "d", Share: 1, Selector: fleetconfig.Selector{Pods: []int{0}}}}})
		x.Handle(nil)
		if !slices.Equal(seen.ids, []string{"s0", "s1"}) {
			t.Errorf("at stage %d: %v", stage, seen.ids)
		}
	}
}

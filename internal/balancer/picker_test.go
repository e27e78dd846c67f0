package balancer

import (
	"fmt"
	"math"
	"testing"
)

func TestDrawsFollowCapacity(t *testing.T) {
	set := testSettings()
	set.UseListWeights = true
	h := newTestBalancer(t, set, 1, 2, 3, 4)
	d := h.subset.warmPool.At(h.capacity.meanRate)
	const n = 40000
	got := map[string]float64{}
	for range n {
		s, _ := d.Draw(h.rng)
		got[s.ID]++
	}
	for i := range 4 {
		want := n * float64(i+1) / 10
		if d := got[fmt.Sprint("s", i)] - want; math.Abs(d) > 4*math.Sqrt(want) {
			t.Errorf("server %d: drawn %v times, want about %v", i, want+d, want)
		}
	}
}

func TestPickTakesLowestLoad(t *testing.T) {
	h := newTestBalancer(t, testSettings(), 1, 1)
	sent := map[string]int{}
	for range 100 { // nothing ends: the counts of two equal servers stay even, but for draws that miss one
		_, to := h.sendRequest(1)
		sent[to]++
	}
	if d := sent["s0"] - sent["s1"]; d < -4 || d > 4 {
		t.Errorf("two equal servers have %v in flight", sent)
	}
}

func TestTiesGoToTheLargerOrAtRandom(t *testing.T) {
	set := testSettings()
	set.UseListWeights = true
	h := newTestBalancer(t, set, 1, 1.99)
	if _, to := h.sendRequest(0); to != "s1" { // stays in flight
		t.Fatalf("the lowest load is at s1, the request went to %s", to)
	}
	// Loads are now 1 and 2/1.99: a little more at the larger, within the tolerance, and so the larger wins.
	if large := h.serve(200, "s1"); large < 190 {
		t.Errorf("near-tie went to the larger %d of 200 times", large)
	}
	h = newTestBalancer(t, testSettings(), 1, 1) // equal in all: at random
	if first := h.serve(400, "s0"); first < 150 || first > 250 {
		t.Errorf("a full tie went to the first %d of 400 times", first)
	}
}

// ownerOf is the id of the rendezvous owner of a key.
func ownerOf(h *testBalancer, key string) string {
	h.picker.rendezvous.SetKey(key)
	d := h.subset.warmPool.At(h.capacity.meanRate)
	s, _ := d.Owner(h.picker.rendezvous)
	return s.ID
}

// The owner of a key is found in proportion to capacity, alike at every balancer, and loses requests under load.
func TestOwnerOfAKey(t *testing.T) {
	set := testSettings()
	set.UseListWeights, set.KeyAffinity = true, true
	h, other := newTestBalancer(t, set, 1, 2, 3, 4), newTestBalancer(t, set, 1, 2, 3, 4)
	other.rng.Uint64() // another state of chance
	const n = 20000
	got := make([]float64, 4)
	for i := range n {
		key := fmt.Sprint("key", i)
		s := ownerOf(h, key)
		if ownerOf(other, key) != s {
			t.Fatalf("%s has two owners", key)
		}
		got[s[1]-'0']++
	}
	for i, g := range got {
		if want := n * float64(i+1) / 10; math.Abs(g-want) > 4*math.Sqrt(want) {
			t.Errorf("server %d owns %v keys, want about %v", i, g, want)
		}
	}
	sent := map[string]int{}
	for i := range 40 { // one key, nothing ends: its owner fills up and the rest goes elsewhere
		e := Request{ID: fmt.Sprint("x", i), Key: "hot", Class: 1, Deadline: h.at + 1e9}
		for _, a := range h.Handle(h.at, e) {
			if a.Kind == Send {
				sent[a.Server]++
			}
		}
	}
	if len(sent) < 4 {
		t.Errorf("a hot key keeps to %v", sent)
	}
}

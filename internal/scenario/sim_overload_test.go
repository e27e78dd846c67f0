package scenario

import (
	"reflect"
	"testing"
	"time"

	"appleledge/internal/fleet/gossip"
)

// overloaded is a day on which ten agents are asked two and a half times as much for ten seconds.
func overloaded(t *testing.T, door string, mute func(w *simulation, m gossip.Message) bool) (service float64, refunds [2]int, w *simulation) {
	t.Helper()
	s, err := ParseScript("day.toml", []byte(`length = "35s"
[fleet]
servers = 12
agents = 10
[clients]
rate = 380
tries = 4
[agents]
door = "`+door+`"
[[event]]
do = "load"
at = "12s"
for = "10s"
to = 2.5
`))
	if err != nil {
		t.Fatal(err)
	}
	w = newSimulation(s, 1)
	if mute != nil {
		w.dropMessage = func(m gossip.Message) bool { return mute(w, m) }
	}
	w.play()
	d := w.report
	for _, broken := range d.Violations {
		t.Error(broken)
	}
	for _, c := range d.Classes {
		if c.Name == "refund-record" {
			refunds = [2]int{c.InTime, c.Offered}
		}
	}
	return d.Service.Figure, refunds, w
}

// Servers fall ill at once, and many agents hold them out on each other's word: the day is the same each time.
func TestADayTogetherIsTheSameTwice(t *testing.T) {
	s, err := ParseScript("day.toml", []byte(`length = "12s"
[fleet]
servers = 20
agents = 12
[clients]
rate = 400
[agents]
door = "fleet"
[[event]]
do = "hang"
at = "4s"
for = "5s"
share = 0.3
`))
	if err != nil {
		t.Fatal(err)
	}
	first := Simulate(s, 1)
	for range 4 {
		if again := Simulate(s, 1); !reflect.DeepEqual(again, first) {
			t.Fatalf("%+v\nis not\n%+v", again.Classes, first.Classes)
		}
	}
}

// Together agents serve more than each alone, refunds first; and whatever becomes of word, hardly less.
func TestTogetherIsBetterThanAlone(t *testing.T) {
	alone, _, _ := overloaded(t, "storm", nil)
	together, refunds, w := overloaded(t, fleetAdmission, nil)
	t.Logf("alone %.3f, together %.3f", alone, together)
	if together < alone+0.01 {
		t.Errorf("together %.3f, alone %.3f", together, alone)
	}
	if part := float64(refunds[0]) / float64(refunds[1]); part < 0.95 {
		t.Errorf("%.3f of the refunds are in time", part)
	}
	for _, a := range w.agents {
		if rate := float64(a.overload.Status(w.now).Counts.PayloadsSent) / w.now.Seconds(); rate > 15 {
			t.Errorf("agent %d has told others %.1f times a second", a.number, rate)
		}
	}
	for name, mute := range map[string]func(w *simulation, m gossip.Message) bool{
		"no word":      func(*simulation, gossip.Message) bool { return true },
		"a third lost": func(w *simulation, _ gossip.Message) bool { return w.networkRandom.Float64() < 1.0/3 },
		"split midway": func(w *simulation, m gossip.Message) bool {
			return w.now > 15*time.Second && (m.From < 5) != (m.To < 5)
		},
		"one way midway":   func(w *simulation, m gossip.Message) bool { return w.now > 15*time.Second && m.From < 5 && m.To >= 5 },
		"word ends midway": func(w *simulation, m gossip.Message) bool { return w.now > 15*time.Second },
	} {
		got, _, _ := overloaded(t, fleetAdmission, mute)
		t.Logf("%s: %.3f", name, got)
		if got < alone-0.02 {
			t.Errorf("%s: %.3f, alone %.3f", name, got, alone)
		}
	}
}

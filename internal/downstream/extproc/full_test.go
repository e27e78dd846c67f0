package extproc

import (
	"net/http"
	"testing"

	"appleledge/internal/agenttest"
	"appleledge/internal/settings"
)

// A processor that is full refuses new requests, which promises that trying again is harmless. A further try of one that may
// have run is not new, whatever it is called: it gets the answer that its class allows. Before, what was full was decided
// ahead of the engine, which alone knows.
func TestFullRefusesNewRequestsAlone(t *testing.T) {
	for class, want := range map[string]int{"pay": http.StatusBadGateway, "refund-record": 0, "form-check": 0} {
		t.Run(class, func(t *testing.T) {
			r := newRig(t, options{set: func(s *settings.ExternalProcessor) { s.MaxOpen = 2 }})
			r.list(4)
			client := r.client()
			try := func(id, class, n string) asked {
				return ask(t, client, request{id: id, class: class, change: map[string]string{"x-envoy-attempt-count": n}})
			}
			ids := []string{newID(), newID()}
			for _, id := range ids { // both places are taken by requests that the proxy has left, and that may have run
				a := try(id, class, "1")
				if a.to == "" {
					t.Fatalf("answered %d", a.status)
				}
				a.cancel()
				agenttest.Eventually(t, "the stream has ended", func() bool { return r.server.openStreams.Load() == 0 })
			}
			if held := r.server.inFlight.Load(); held != 2 {
				t.Fatalf("%d are held", held)
			}
			if a := try(newID(), class, "1"); a.status != http.StatusServiceUnavailable || a.header["retry-after"] == "" {
				t.Errorf("a new one is answered %d %v", a.status, a.header)
			}
			again := newID() // refused twice, so that it is as good as new however often it came
			for _, n := range []string{"1", "2"} {
				if a := try(again, class, n); a.status != http.StatusServiceUnavailable {
					t.Errorf("try %s of one that was refused is answered %d", n, a.status)
				}
			}
			if a := try(ids[0], class, "2"); want != a.status || (want == 0) != (a.to != "") {
				t.Errorf("the further try of one that may have run is answered %d, sent to %q", a.status, a.to)
			}
		})
	}
}

// What is not remembered may have run: a further try of it, by the proxy's own count, is neither sent nor refused unless it
// may be repeated at will. One that was given up with nothing handed over is remembered as that.
func TestFurtherTriesOfTheUnknown(t *testing.T) {
	r := newRig(t, options{})
	r.list(4)
	client := r.client()
	try := func(id, class, n string) asked {
		return ask(t, client, request{id: id, class: class, change: map[string]string{"x-envoy-attempt-count": n}})
	}
	for class, want := range map[string]int{"pay": http.StatusBadGateway, "refund-record": http.StatusBadGateway, "form-check": 0} {
		if a := try(newID(), class, "2"); a.status != want {
			t.Errorf("%s: answered %d, want %d", class, a.status, want)
		}
		if a := try(newID(), class, "1"); a.to == "" {
			t.Errorf("%s: a first try is answered %d", class, a.status)
		}
	}
	if c := r.server.Counts.Snapshot(); c.Abandoned != 2 {
		t.Errorf("%+v", c)
	}

	r = newRig(t, options{paused: true})
	r.list(2) // ahead of the request, so that a decision is made for it
	client = r.client()
	q := request{id: newID(), class: "pay"}
	o := openStream(t, client)
	o.send(q.message())
	agenttest.Eventually(t, "the request is there", func() bool { return r.server.inFlight.Load() == 1 })
	o.cancel()
	agenttest.Eventually(t, "the stream has ended", func() bool { return r.server.openStreams.Load() == 0 })
	r.run()
	if a := try(q.id, "pay", "2"); a.to == "" {
		t.Errorf("the try after one with no decision is answered %d", a.status)
	}
}

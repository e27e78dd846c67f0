package snapshot

import (
	"strings"
	"testing"
	"time"

	"appleledge/internal/membership/listing"
)

func sampleDocument() Document {
	return Document{Agent: "n0 127.0.0.1:8081", BootID: "run-1", SinceBoot: 60_000, WriteCount: 7, ListVersion: 41, Utilization: 0.5,
		Servers: []listing.Entry{{ID: "s-1", Addr: "127.0.0.1:9001", State: "Ready", Weight: 1, StartedMS: 1_790_000_000_000},
			{ID: "s-2", Addr: "127.0.0.1:9002", Cell: 1, State: "Terminating", Weight: 1}},
		Capacity: map[string]float64{"s-1": 45}, ClassRates: map[string]float64{"form-check": 40, "gone-class": 1}}
}

// An agent starts and finds a saved state. How much of it is used depends on which agent wrote it and in which boot of the machine, never on
// a wall clock: after a reboot only the names of the servers count, and their start times don't. Each case is one way to come by the file.
func TestTrustDependsOnWriterAndBoot(t *testing.T) {
	for _, c := range []struct {
		name string
		now  Reader
		want Trust
		why  string
	}{
		{"a process that ended", Reader{"n0 127.0.0.1:8081", "run-1", 90 * time.Second}, TrustEverything, "30s ago"},
		{"a machine that rebooted", Reader{"n0 127.0.0.1:8081", "run-2", 2 * time.Second}, TrustNames, "started anew"},
		{"last week's state, from a backup", Reader{"n0 127.0.0.1:8081", "run-9", 9 * time.Hour}, TrustNames, "started anew"},
		{"a boot that is not known", Reader{"n0 127.0.0.1:8081", "", 90 * time.Second}, TrustNames, "not known"},
		{"a state from later in the same boot", Reader{"n0 127.0.0.1:8081", "run-1", 30 * time.Second}, TrustNames, "later"},
		{"a directory of another agent", Reader{"n1 127.0.0.1:8081", "run-1", 90 * time.Second}, TrustNothing, "of the agent"},
	} {
		d := sampleDocument()
		got, why := d.Assess(c.now)
		if got != c.want || !strings.Contains(why, c.why) {
			t.Errorf("%s: %v, %q", c.name, got, why)
		}
		l, b := d.EndpointList(got), d.RecoveryBaseline([]string{"form-check", "refund-record"})
		switch got {
		case TrustNothing:
			if len(l.Servers) != 0 {
				t.Errorf("%s: %v", c.name, l)
			}
			continue
		case TrustNames:
			if l.Servers[0].StartedMS != 0 {
				t.Errorf("%s: a start time of an earlier boot is used", c.name)
			}
		case TrustEverything:
			if l.Servers[0].StartedMS != 1_790_000_000_000 {
				t.Errorf("%s: a start time of the same boot is lost", c.name)
			}
		}
		if len(l.Servers) != 2 || l.Servers[1].State != "Terminating" || !l.Full || b.ClassRates[0] != 40 || b.ClassRates[1] != 0 ||
			!b.Servers[0].Ready || b.Servers[1].Ready || b.Servers[0].Capacity != 45 || d.Servers[0].StartedMS == 0 {
			t.Errorf("%s: %+v %+v", c.name, l, b)
		}
	}
}

// A document with one value out of its bounds is rejected as a whole; each case breaks one value of a valid document.
func TestValidateRejectsBadDocument(t *testing.T) {
	for name, change := range map[string]func(*Document){
		"form":       func(d *Document) { d.FormatVersion = 2 },
		"run":        func(d *Document) { d.BootID = "" },
		"since_boot": func(d *Document) { d.SinceBoot = -1 },
		"use":        func(d *Document) { d.Utilization = 1.5 },
		"rate":       func(d *Document) { d.ClassRates["form-check"] = -1 },
		"id":         func(d *Document) { d.Servers[0].ID = "" },
		"addr":       func(d *Document) { d.Servers[0].Addr = strings.Repeat("x", 600) },
	} {
		d := sampleDocument()
		d.FormatVersion = formatVersion
		if change(&d); d.validate() == nil {
			t.Errorf("a wrong %s passes", name)
		}
	}
}

// Whatever bytes are on the disk, decoding them fails or gives a document within its bounds, every level of trust can be asked of it, and
// encoding it gives a document with the same content.
func FuzzDecode(f *testing.F) {
	text, err := sampleDocument().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"form":1,"agent":"a","run":"r","use":1e999}`))
	f.Add([]byte(`{"form":1,"agent":"a","run":"r","servers":[{"id":1}],"usual":{"a":null}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Decode(text)
		if err != nil {
			return
		}
		for _, now := range []Reader{{d.Agent, d.BootID, time.Hour}, {d.Agent, "another", 0}} {
			trust, _ := d.Assess(now)
			d.EndpointList(trust)
			d.RecoveryBaseline([]string{"form-check"})
		}
		again, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if e, err := Decode(again); err != nil || !e.HasSameContent(d) || !d.HasSameContent(e) {
			t.Errorf("%v: %s became %s", err, text, again)
		}
	})
}

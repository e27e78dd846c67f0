package listing

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
	"appleledge/internal/golden"
)

func goldenEntries() map[string]Entry {
	return map[string]Entry{
		"s-1": {ID: "s-1", Addr: "10.0.0.1:8001", Zone: "edinburgh-dc", Kind: "twin-core", Cell: 1, State: "Ready", Weight: 1.5, StartedMS: 1764580000123},
		"s-2": {ID: "s-2", Addr: "10.0.0.2:8002", Zone: "lerwick-dc", Kind: "quad-core", Cell: 2, State: "Ready", Weight: 2.5, StartedMS: 1764580000456},
		"s-3": {ID: "s-3", Addr: "10.0.0.3:8003", Zone: "elsewhere", Kind: "octo-core", Cell: 3, State: "Terminating", Weight: 3.5},
		"s-4": {ID: "s-4", Addr: "10.0.0.4:8004", Zone: "lerwick-dc", Kind: "twin-core", Cell: 4, State: "Ready", Weight: 4.5, StartedMS: 1764580000789},
	}
}

// The committed lists, a whole one and each kind of change, parse as the values that they stand for.
func TestGoldenLists(t *testing.T) {
	e := goldenEntries()
	drains := e["s-1"]
	drains.State = "Terminating"
	for name, want := range map[string]List{
		"full":    {Version: 41, Full: true, Servers: []Entry{e["s-1"], e["s-2"], e["s-3"]}},
		"change":  {Version: 42, Servers: []Entry{e["s-4"]}},
		"drain":   {Version: 43, Servers: []Entry{drains}},
		"removal": {Version: 44, Servers: []Entry{{ID: "s-2", State: "Gone"}}},
		"nothing": {Version: 44, Servers: []Entry{}},
		"null":    {},
	} {
		got, err := Parse(golden.Read(t, "listing/"+name+".json"))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %v\n got  %+v\n want %+v", name, err, got, want)
		}
	}
}

// goldenDecoder has a clock that starts at 1970, for lists whose clock is 100 ms ahead.
func goldenDecoder() Decoder {
	var now time.Duration
	return Decoder{Zones: []string{"edinburgh-dc", "lerwick-dc"}, Clock: engine.ManualClock(&now), ClockOffset: 100 * time.Millisecond}
}

// The committed lists decode into members, with start times corrected by the offset of the list's clock.
func TestGoldenDecode(t *testing.T) {
	for name, want := range map[string][]engine.Member{
		"full": {
			{Addr: "10.0.0.1:8001", Kind: "twin-core", Server: balancer.Server{ID: "s-1", Cell: 1, Weight: 1.5, Started: 1764580000023 * time.Millisecond}},
			{Addr: "10.0.0.2:8002", Kind: "quad-core", Server: balancer.Server{ID: "s-2", Zone: 1, Cell: 2, Weight: 2.5, Started: 1764580000356 * time.Millisecond}},
			{Addr: "10.0.0.3:8003", Kind: "octo-core", Server: balancer.Server{ID: "s-3", State: balancer.Draining, Zone: -1, Cell: 3, Weight: 3.5}}},
		"removal": {{Server: balancer.Server{ID: "s-2", State: balancer.Removed, Zone: -1}}},
	} {
		l, err := Parse(golden.Read(t, "listing/"+name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		members, invalid := goldenDecoder().Decode(l)
		if !reflect.DeepEqual(members, want) || len(invalid) > 0 {
			t.Errorf("%s: %v\n got  %+v\n want %+v", name, invalid, members, want)
		}
	}
}

// The committed list with invalid entries yields its one valid member, and the ids and errors of the others.
func TestGoldenInvalidEntries(t *testing.T) {
	l, err := Parse(golden.Read(t, "listing/malformed.json"))
	if err != nil {
		t.Fatal(err)
	}
	members, invalid := goldenDecoder().Decode(l)
	if len(members) != 1 || members[0].ID != "s-2" {
		t.Errorf("%+v", members)
	}
	want := []string{"s-5", "s-6", "s-7"}
	for i, b := range invalid {
		if i >= len(want) || b.ID != want[i] || b.Err == nil {
			t.Errorf("entry %d: %q, %v", i, b.ID, b.Err)
		}
	}
	if len(invalid) != len(want) {
		t.Errorf("%d entries are invalid", len(invalid))
	}
}

// An agent writes its list for the next start. Members in each state encode as the committed entries.
func TestGoldenEncode(t *testing.T) {
	decoder := goldenDecoder()
	decoder.ClockOffset = 0
	member := engine.Member{Addr: "10.0.0.2:8002", Kind: "quad-core", Server: balancer.Server{ID: "s-2", Zone: 1, Cell: 2, Weight: 2.5,
		Started: 1764580000456 * time.Millisecond}}
	var out []byte
	for _, state := range []balancer.State{balancer.Ready, balancer.Draining, balancer.Removed} {
		member.State = state
		text, err := json.Marshal(decoder.Encode(member))
		if err != nil {
			t.Fatal(err)
		}
		out = append(append(out, text...), '\n')
	}
	golden.Equal(t, "listing/entries.jsonl", out)
}

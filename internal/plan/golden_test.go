package plan

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"appleledge/internal/fleetconfig"
	"appleledge/internal/generation"
	"appleledge/internal/golden"
)

// goldenPlan sets every field of a plan.
func goldenPlan(t *testing.T) *Plan {
	config, err := fleetconfig.Decode(golden.Read(t, "fleetconfig/config.json"))
	if err != nil {
		t.Fatal(err)
	}
	p := &Plan{Format: 1, Agent: "n0", BaseNumber: 12, BaseHash: strings.Repeat("b", 64), TargetHash: config.Hash(), Config: config.JSON(), CreatedUnixMS: 1700000000123,
		Changes: []fleetconfig.Change{
			{Verb: fleetconfig.Create, Kind: "pool", Name: "tiny", After: json.RawMessage(`{"name":"tiny"}`)},
			{Verb: fleetconfig.Update, Kind: "route", Name: "checks", Before: json.RawMessage(`{"name":"checks","priority":1}`),
				After: json.RawMessage(`{"name":"checks","class":"form-check"}`)},
			{Verb: fleetconfig.Delete, Kind: "watch", Before: json.RawMessage(`{"for":"1s"}`)}},
		Effect: Effect{Drains: []string{"s-1", "s-2"}, Returns: []string{"s-3"},
			Capacity: Capacity{Name: "all", Servers: 20, ServersAfter: 19, Weight: 30.5, WeightAfter: 28.25},
			Kinds:    []Capacity{{Name: "twin-core", Servers: 11, ServersAfter: 10, Weight: 15.5, WeightAfter: 14.25}},
			Zones:    []Capacity{{Name: "edinburgh-dc", Servers: 8, ServersAfter: 7, Weight: 9.5, WeightAfter: 8.75}},
			Pods:     []Capacity{{Name: "4", Servers: 6, ServersAfter: 5, Weight: 6.5, WeightAfter: 5.25}},
			Routes:   []RouteEffect{{Route: "checks", Verb: "update", Targets: []TargetShare{{Pool: "east", Share: 0.75, Servers: 13}, {Pool: "all", Share: 0.25, Servers: 19}}}},
			Limits:   []LimitEffect{{Limit: "lerwick", Arrived: 140, Rejected: 16}},
			Steps:    []RolloutStep{{DrainedServers: 1, AfterSeconds: 0.5}, {DrainedServers: 2, AfterSeconds: 6}}},
		ServerFacts: []fleetconfig.Server{{ID: "s-1", Addr: "127.0.0.2:81", Kind: "twin-core", Zone: "edinburgh-dc", Pod: 3, Weight: 1.5,
			StartedMS: 1700000000456, IsDraining: true}},
	}
	for _, kind := range []string{FlagDrainsKind, FlagEmptiesPod, FlagEmptiesRoute, FlagTakesCapacity, FlagMovesIdempotent, FlagRejectsRequests, FlagMayRollBack} {
		p.Flags = append(p.Flags, Flag{Kind: kind, Text: "text of " + kind})
	}
	p.Checksum = p.checksum()
	return p
}

// encoded returns a plan as it is kept in a file.
func encoded(t *testing.T, p *Plan) []byte {
	data, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return append(data, '\n')
}

// A plan has the committed bytes, its checksum among them, and is read back from them. One that was altered, or that a newer program
// made, is rejected.
func TestGoldenPlan(t *testing.T) {
	p := goldenPlan(t)
	golden.Equal(t, "plan/full.json", encoded(t, p))
	text := golden.Read(t, "plan/full.json")
	got, err := Decode(text)
	if err != nil || !reflect.DeepEqual(got, p) {
		t.Fatalf("read as %+v, %v", got, err)
	}
	if _, err := got.TargetConfig(); err != nil {
		t.Error(err)
	}
	if _, err := Decode([]byte(strings.Replace(string(text), `"agent":"n0"`, `"agent":"n1"`, 1))); !errors.Is(err, ErrAltered) {
		t.Errorf("an altered plan: %v", err)
	}
	if _, err := Decode([]byte(strings.Replace(string(text), `"format":1`, `"format":2`, 1))); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("a plan of a newer form: %v", err)
	}
}

// goldenInput is a change on a small fleet that raises flags of each kind.
func goldenInput(t *testing.T) Input {
	to, err := fleetconfig.Decode(golden.Read(t, "plan/to.json"))
	if err != nil {
		t.Fatal(err)
	}
	from, err := fleetconfig.Decode(golden.Read(t, "plan/from.json"))
	if err != nil {
		t.Fatal(err)
	}
	servers := generation.Servers{}
	for i, id := range []string{"s-0", "s-1", "s-2", "s-3", "s-4", "s-5"} {
		servers[id] = &fleetconfig.Server{ID: id, Addr: "10.0.0." + id[2:] + ":80", Kind: []string{"twin-core", "quad-core"}[i%2], Zone: "edinburgh-dc",
			Pod: i / 2, Weight: 1 + float64(i)/4, StartedMS: 1000 + int64(i), IsDraining: i == 5}
	}
	return Input{Agent: "n0", Number: 7, From: from, To: to, Servers: servers, IdempotentClasses: []string{"refund-record"}, MaxCapacityTaken: 0.25, UnixMS: 1700000000123,
		Names: generation.Names{Classes: []generation.Class{{Name: "form-check", LatencyObjective: time.Second}, {Name: "refund-record", LatencyObjective: time.Second}},
			Tenants: []string{"wick"}, Zones: []string{"edinburgh-dc"}, IdempotentClasses: []string{"refund-record"}},
		EstimateRejected: func(l fleetconfig.Limit) (rejected, arrived float64) {
			return map[string]float64{"some": 10.4, "most": 80}[l.Name], 100
		}}
}

// What a change would do to a fixed fleet, and in which words, is as the committed plan has it.
func TestGoldenMadePlan(t *testing.T) {
	p, _, err := Make(goldenInput(t))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "plan/made.json", encoded(t, p))
	in := goldenInput(t)
	in.To = in.From
	none, _, err := Make(in)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "plan/none.json", encoded(t, none))
	for name, want := range map[string]*Plan{"made": p, "none": none} {
		if got, err := Decode(golden.Read(t, "plan/"+name+".json")); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v, %v", name, got, err)
		}
	}
	kinds := map[string]bool{}
	for _, f := range p.Flags {
		kinds[f.Kind] = true
	}
	if len(kinds) != 7 {
		t.Errorf("flags %v", p.Flags)
	}
}

// What has moved since a plan was made is told in the same words.
func TestGoldenMoved(t *testing.T) {
	in := goldenInput(t)
	was, _, err := Make(in)
	if err != nil {
		t.Fatal(err)
	}
	if len(was.ServerFacts) < 5 {
		t.Fatalf("facts %+v", was.ServerFacts)
	}
	now := *was
	now.BaseNumber, now.BaseHash, now.ServerFacts = 8, strings.Repeat("c", 64), append([]fleetconfig.Server(nil), was.ServerFacts[1:]...)
	now.ServerFacts[0].StartedMS++
	now.ServerFacts[1].IsDraining = true
	now.ServerFacts[2].Pod++
	now.ServerFacts = append(now.ServerFacts, fleetconfig.Server{ID: "s-9"})
	golden.Equal(t, "plan/moved.txt", []byte(strings.Join(was.ChangesSince(&now), "\n")+"\n"))
}

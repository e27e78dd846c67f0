package listing

import (
	"fmt"
	"strings"
	"testing"

	"appleledge/internal/balancer"
	"appleledge/internal/engine"
)

// Any text that parses decodes into one member or one invalid entry for each of its entries, and each member can be used.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":41,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:1","zone":"a","cell":3,"state":"Ready","weight":1.5,"started_ms":7}]}`))
	f.Add([]byte(`{"servers":[{"id":"s","state":"Gone"},7,{"id":"x","addr":"no","state":"Ready"},null]}`))
	f.Add([]byte(`{"servers":`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Parse(text)
		if err != nil {
			return
		}
		members, invalid := Decoder{Zones: []string{"a"}, Clock: engine.NewClock()}.Decode(l)
		if len(members)+len(invalid) != len(l.Servers) {
			t.Fatalf("%d entries became %d members and %d invalid ones", len(l.Servers), len(members), len(invalid))
		}
		for _, m := range members {
			if m.ID == "" || m.Addr == "" && m.State != balancer.Removed {
				t.Fatalf("%+v", m)
			}
		}
	})
}

// A list is cut off or has wrong types: the error names the line. Of a list with two wrong entries the others are read, and keys of
// later versions are skipped.
func TestParseErrorsNameTheLine(t *testing.T) {
	for text, want := range map[string]string{
		"{\"servers\":\n[{\"id\":\"a\"},\n{\"id\":\"s-2\",\"ad": "line 3: unexpected EOF",
		"{\"servers\":\n[{\"id\":\"a\"},\n{\"id\": x}]}":        "line 3: invalid character 'x'",
		"[]":              "line 1: a list is an object",
		"{} {}":           "line 1: something follows the list",
		"{\"servers\":7}": "line 1: servers is no array",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	l, err := Parse([]byte(`{"servers":[{"id":9},7,{"id":"s-1","addr":"127.0.0.1:1","state":"Ready","new":{}},{"id":"s-2","state":"Gone"}],"more":[1]}`))
	if err != nil {
		t.Fatal(err)
	}
	members, invalid := Decoder{Clock: engine.NewClock()}.Decode(l)
	if len(members) != 2 || members[0].ID != "s-1" || members[1].State != balancer.Removed || len(invalid) != 2 {
		t.Errorf("%+v, %+v", members, invalid)
	}
}

// BenchmarkParseAndDecode measures a whole list of 10,000 servers, read and made into members.
func BenchmarkParseAndDecode(b *testing.B) {
	var entries []string
	for i := range 10_000 {
		entries = append(entries, fmt.Sprintf(`{"id":"s-%08x","addr":"10.1.%d.%d:8081","zone":"a","kind":"m2","cell":%d,"state":"Ready","weight":1.0,"started_ms":0}`,
			i, i/250, i%250, i/5))
	}
	text := []byte(`{"version":41,"full":true,"servers":[` + strings.Join(entries, ",") + `]}`)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		l, err := Parse(text)
		if err != nil {
			b.Fatal(err)
		}
		if members, _ := (Decoder{Zones: []string{"a"}, Clock: engine.NewClock()}).Decode(l); len(members) != 10_000 {
			b.Fatal(len(members))
		}
	}
}

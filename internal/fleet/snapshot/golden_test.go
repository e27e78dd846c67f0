package snapshot

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"appleledge/internal/atomicfile"
	"appleledge/internal/denylist"
	"appleledge/internal/fleet/recovery"
	"appleledge/internal/golden"
	"appleledge/internal/membership/listing"
)

// fullDocument is a document in which each field has a value of its own.
func fullDocument() Document {
	return Document{
		FormatVersion: 1, Agent: "n0 127.0.0.1:8081", BootID: "5f1c3a52-6c1e-4c0f-9d55-0123456789ab", SinceBoot: 61_000, WriteCount: 7, ListVersion: 41, Utilization: 0.51,
		Servers: []listing.Entry{
			{ID: "s-1", Addr: "127.0.0.1:9001", Zone: "zone-a", Kind: "twin-core", Cell: 2, State: "Ready", Weight: 1.25, StartedMS: 1_790_000_000_001},
			{ID: "s-2", Addr: "127.0.0.1:9002", Zone: "zone-b", Kind: "quad-core", Cell: 3, State: "Terminating", Weight: 2.5, StartedMS: 1_790_000_000_002},
		},
		Capacity:   map[string]float64{"s-1": 45, "s-2": 46.5},
		ClassRates: map[string]float64{"form-check": 40, "refund-record": 0.75},
		Denylist:   denylist.Snapshot{DeniedSince: map[string]int64{"s-3": 1_790_000_000_003}, AllowedSince: map[string]int64{"s-1": 1_790_000_000_004}, KnownIDs: []string{"s-1", "s-2", "s-3"}},
	}
}

// The whole file, with package atomicfile's first line, has the committed bytes, and these decode to the same document.
func TestGoldenFile(t *testing.T) {
	unversioned := fullDocument()
	unversioned.FormatVersion = 0 // which Encode sets
	text, err := unversioned.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f := atomicfile.File{Path: filepath.Join(t.TempDir(), "any"), FS: atomicfile.OS{}}
	if err := f.Save(text); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "kept/document", data)

	if err := os.WriteFile(f.Path, golden.Read(t, "kept/document"), 0o600); err != nil {
		t.Fatal(err)
	}
	text, err = f.Load()
	if err != nil {
		t.Fatal(err)
	}
	read, err := Decode(text)
	if err != nil || !reflect.DeepEqual(read, fullDocument()) {
		t.Fatalf("the committed document decodes to %+v, %v", read, err)
	}
	if trust, why := read.Assess(Reader{Agent: read.Agent, BootID: read.BootID, SinceBoot: 62 * time.Second}); trust != TrustEverything || why != "it was written 1s ago" {
		t.Errorf("Assess: %v: %s", trust, why)
	}
	want := recovery.Baseline{Utilization: 0.51, ClassRates: []float64{0.75, 40}, Servers: []recovery.BaselineServer{
		{ID: "s-1", Cell: 2, Ready: true, Capacity: 45}, {ID: "s-2", Cell: 3, Capacity: 46.5}}}
	if got := read.RecoveryBaseline([]string{"refund-record", "form-check"}); !reflect.DeepEqual(got, want) {
		t.Errorf("RecoveryBaseline: %+v", got)
	}
}

// The smallest document has the committed bytes: values that may be left out are not written.
func TestGoldenLeastDocument(t *testing.T) {
	least := Document{FormatVersion: 1, Agent: "n1", BootID: "run"}
	text, err := least.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "kept/least.json", text)
	if read, err := Decode(golden.Read(t, "kept/least.json")); err != nil || !reflect.DeepEqual(read, least) {
		t.Errorf("the committed document decodes to %+v, %v", read, err)
	}
}

// The words for levels of trust, which logs and operators' tools show, never change.
func TestGoldenTrust(t *testing.T) {
	got := ""
	for trust := TrustNothing; trust <= TrustEverything; trust++ {
		got += trust.String() + "\n"
	}
	golden.Equal(t, "kept/trust", []byte(got))
}

package settings

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// goldenFile is what the committed file with every section but [storm] and [repeats] sets.
var goldenFile = File{
	ExternalProcessor: &ExternalProcessor{Listen: "127.0.0.1:9012", MaxConnections: 17, MaxStreams: 257, MaxOpen: 513, MaxMessage: 32769,
		MaxSubset: 1025, DecisionValid: Duration(401 * time.Millisecond), FirstMessage: Duration(4 * time.Second),
		KeepaliveTime: Duration(11 * time.Second), KeepaliveWait: Duration(5 * time.Second), Remember: Duration(12 * time.Second),
		RememberMost: 8193, ModeOverride: false, Health: true, Reflection: true},
	Membership: &Membership{Sources: []string{SourceFile, SourcePlatform}, FailAfter: Duration(13 * time.Second), Hold: Duration(31 * time.Second),
		KeepEmpty: Duration(6 * time.Second), File: MembershipFile{Path: "some/servers.json", Poll: Duration(201 * time.Millisecond)},
		XDS: XDS{Server: "127.0.0.1:18001", Node: "node-1", NodeCluster: "cluster-1", Delta: false, Clusters: []string{"clu-1", "clu-2"}, Subset: 18,
			FirstFetch: Duration(16 * time.Second), BackoffLeast: Duration(501 * time.Millisecond), BackoffMost: Duration(32 * time.Second),
			Keepalive: Duration(33 * time.Second), MaxMessage: 8388609, LogEvery: Duration(61 * time.Second)}},
	Join: &Join{Classes: []string{"class-1", "class-2"}, Tenants: TenantsApart, MaxGroups: 514, MaxWaiting: 515, Pause: Duration(14 * time.Second),
		LogEvery: Duration(62 * time.Second)},
	Telemetry:   &Telemetry{Listen: "127.0.0.1:9101"},
	Generations: &Generations{Socket: "some/admin.sock", State: "some/generations"},
	Affinity: &Affinity{Dir: "some/ties", Sync: true, Most: 16385, Tail: Duration(15 * time.Second),
		Budget: Duration(3 * time.Millisecond)},
	Figures: &Figures{Every: Duration(17 * time.Second)},
	Recovery: &Recovery{Dir: "some/recovery", RunFile: "some/boot_id", Every: Duration(7 * time.Second), ListWait: Duration(151 * time.Millisecond),
		LogEvery: Duration(18 * time.Second)},
	Peers: &Peers{Listen: "10.0.0.4:7946", Members: []string{"10.0.0.4:7946", "10.0.0.5:7947"}, KeyFile: "some/key", Period: Duration(1100 * time.Millisecond),
		AskFor: Duration(101 * time.Millisecond)},
	Overload: &Overload{Remember: 4097, LogEvery: Duration(19 * time.Second)},
}

// goldenDefaults are the sections with nothing set.
func goldenDefaults() File {
	external, members, join, storm, ties := DefaultExternalProcessor(), DefaultMembership(), DefaultJoin(), DefaultStorm(), DefaultAffinity()
	figures, recovery, peers, overload := DefaultFigures(), DefaultRecovery(), DefaultPeers(), DefaultOverload()
	return File{ExternalProcessor: &external, Membership: &members, Join: &join, Storm: &storm, Affinity: &ties, Figures: &figures,
		Recovery: &recovery, Peers: &peers, Overload: &overload, Telemetry: &Telemetry{}, Generations: &Generations{}, Repeats: &Repeats{}}
}

// The committed files are read as the values that stand above. They set every key to something that is not its default.
func TestGoldenSettings(t *testing.T) {
	keys := map[string]int{}
	for name, want := range map[string]File{"all.toml": goldenFile, "storm.toml": {Storm: &Storm{Remember: 4098, LogEvery: Duration(21 * time.Second)}},
		"repeats.toml": {Repeats: &Repeats{ConfirmedOnly: true}}} {
		f, err := Parse("f.toml", golden.Read(t, "settings/"+name))
		if err != nil {
			t.Fatal(err)
		}
		for key, line := range f.lines {
			keys[key] = line
		}
		f.name, f.lines = "", nil
		if !reflect.DeepEqual(f, want) {
			t.Errorf("%s is read as %+v", name, f)
		}
		differ(t, name, reflect.ValueOf(want), reflect.ValueOf(goldenDefaults()))
	}
	setsAll(t, keys, reflect.TypeFor[File](), "")
}

// differ reports fields of sections that are as by default.
func differ(t *testing.T, name string, got, otherwise reflect.Value) {
	if got.Kind() == reflect.Pointer {
		if got.IsNil() {
			return
		}
		got, otherwise = got.Elem(), otherwise.Elem()
	}
	if got.Kind() != reflect.Struct {
		if reflect.DeepEqual(got.Interface(), otherwise.Interface()) {
			t.Errorf("%s is as by default: %v", name, got)
		}
		return
	}
	for i := range got.NumField() {
		if f := got.Type().Field(i); f.IsExported() {
			differ(t, name+" "+f.Name, got.Field(i), otherwise.Field(i))
		}
	}
}

// setsAll reports keys that the type has and the lines of a file don't.
func setsAll(t *testing.T, lines map[string]int, in reflect.Type, prefix string) {
	for i := range in.NumField() {
		f := in.Field(i)
		if !f.IsExported() {
			continue
		}
		key, kind := prefix+f.Tag.Get("toml"), f.Type
		if lines[key] == 0 {
			t.Errorf("%s is not set", key)
		}
		if kind.Kind() == reflect.Pointer {
			kind = kind.Elem()
		}
		if kind.Kind() == reflect.Struct {
			setsAll(t, lines, kind, key+".")
		}
	}
}

// The file that is shipped loads with all its keys uncommented: as it stands but for [storm], and with [storm] for [overload].
func TestGoldenDeployFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/appleledge.toml")
	if err != nil {
		t.Fatal(err)
	}
	all := regexp.MustCompile(`(?m)^# (\[|[a-z_]+ = )`).ReplaceAllString(string(text), "$1")
	keys := map[string]int{}
	for _, without := range []string{"storm", "overload"} {
		blocks := strings.Split(all, "\n\n")
		kept := slices.DeleteFunc(slices.Clone(blocks), func(b string) bool { return strings.HasPrefix(b, "["+without+"]") })
		if len(kept) != len(blocks)-1 {
			t.Fatalf("[%s] is there %d times", without, len(blocks)-len(kept))
		}
		f, err := Parse("f.toml", []byte(strings.Join(kept, "\n\n")))
		if err != nil {
			t.Fatal(err)
		}
		for key, line := range f.lines {
			keys[key] = line
		}
	}
	setsAll(t, keys, reflect.TypeFor[File](), "")
}

// A key that is not known is refused in each section.
func TestGoldenUnknownKeys(t *testing.T) {
	sections := regexp.MustCompile(`(?m)^\[.*\]$`)
	for _, name := range []string{"all.toml", "storm.toml", "repeats.toml"} {
		text := string(golden.Read(t, "settings/"+name))
		for _, at := range sections.FindAllStringIndex(text, -1) {
			_, err := Parse("f.toml", []byte(text[:at[1]]+"\nsome_key = 1"+text[at[1]:]))
			if err == nil || !strings.Contains(err.Error(), "unknown key") {
				t.Errorf("%s: %v", text[at[0]:at[1]], err)
			}
		}
	}
}

package agent

import (
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"appleledge/internal/atomicfile"
	"appleledge/internal/engine"
	ondisk "appleledge/internal/fleet/snapshot"
	"appleledge/internal/generation"
	"appleledge/internal/golden"
)

// What an agent keeps: the committed file with all that depends on the moment, and the first line over it, replaced by words.
func TestGoldenKnowledgeIsWritten(t *testing.T) {
	d := newFakeDiscovery(t, 41, entryText("s-1", "127.0.0.1:1", "Ready", 0), entryText("s-2", "127.0.0.1:2", "Terminating", 1_600_000_000_001))
	m := newMachine(t)
	a, o := m.start(d)
	eventually(t, "all are listed", func() bool { return o.figure("svc.members") == 2 })
	if status, text := o.call("PUT", "/ops/backends/down/s-1"); status != http.StatusOK {
		t.Fatal(status, text)
	}
	m.stop(a)
	got, err := os.ReadFile(filepath.Join(m.dir, "knowledge"))
	if err != nil {
		t.Fatal(err)
	}
	for _, replace := range [][2]string{
		{`^(appleledge-document 1) [0-9a-f]{64} [0-9]+\n`, "$1 HASH LENGTH\n"},
		{`("since_boot"):[0-9]+`, "$1:MILLISECONDS"},
		{`("writes"):[0-9]+`, "$1:COUNT"},
		{`("out":\{"s-1"):[0-9]+`, "$1:WHEN"},
	} {
		got = regexp.MustCompile(replace[0]).ReplaceAll(got, []byte(replace[1]))
	}
	golden.Equal(t, "agent/knowledge", got)
}

// The committed documents, under the names that they have in an agent's folder.
func TestGoldenKnowledgeIsRead(t *testing.T) {
	dir := t.TempDir()
	for name, content := range map[string][]byte{"knowledge": golden.Read(t, "kept/document"), "run": []byte("5f1c3a52-6c1e-4c0f-9d55-0123456789ab\n")} {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	x := Features{Recovery: &RecoveryOptions{Dir: dir, BootIDFile: filepath.Join(dir, "run")}}
	k, err := x.openSnapshotStore(Config{Name: "n0", Listen: "127.0.0.1:8081"}, engine.NewClock(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	// The document was written 61 s into its run: where this machine has run for less its starts are not believed.
	if k.trust == ondisk.TrustNothing || len(k.previous.Servers) != 2 || k.previous.WriteCount != 7 || k.previousDenylist().DeniedSince["s-3"] != 1_790_000_000_003 {
		t.Errorf("trusted %v: %+v", k.trust, k.previous)
	}
}

// The committed state of the configuration, taken up as at a start.
func TestGoldenStateIsTakenUp(t *testing.T) {
	f := atomicfile.File{Path: filepath.Join(t.TempDir(), "state"), FS: atomicfile.OS{}}
	if err := os.WriteFile(f.Path, golden.Read(t, "generation/state"), 0o600); err != nil {
		t.Fatal(err)
	}
	m := generation.New(generation.Options{Names: generation.Names{Classes: []generation.Class{{Name: "form-check"}, {Name: "refund-record"}},
		Tenants: []string{"glasgow", "lerwick", "wick"}, Zones: []string{"a", "b"}, RoutableHeaders: []string{"X-Attrs"}}, MaxRetryAfter: time.Second})
	if err := restore(m, f, engine.NewClock(), slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	st := m.Status(time.Minute)
	if n := len(st.History); st.Number != 12 || n != 9 || st.History[7].Event != generation.EventDiscarded || st.History[8].Event != generation.EventRestored || !st.IsWatched {
		t.Errorf("it stands at %+v", st)
	}
}

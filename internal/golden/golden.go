// Package golden compares what a test produced with bytes committed under testdata. It fixes every form that leaves the
// process or survives a restart: files on disk, datagrams, JSON, metrics, log lines, and the decisions of seeded runs.
//
// A committed file is never written again: a difference is a change of format or behavior. The package only reads. For a
// file that is missing it saves the produced bytes in the temporary folder, from where they are copied by hand once.
package golden

import (
	"bytes"
	"embed"
	"os"
	"path/filepath"
	"testing"
)

//go:embed all:testdata
var files embed.FS

// Read returns the committed bytes of the file name, a slash-separated path below testdata. It ends the test when there is
// no such file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := files.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatalf("golden file %s: %v", name, err)
	}
	return content
}

// Equal reports an error unless got has the committed bytes of the file name.
func Equal(t testing.TB, name string, got []byte) {
	t.Helper()
	want, err := files.ReadFile("testdata/" + name)
	if err != nil {
		t.Errorf("golden file %s: %v; produced bytes are in %s", name, err, saveProduced(t, name, got))
		return
	}
	if bytes.Equal(got, want) {
		return
	}
	at := firstDifference(got, want)
	t.Errorf("golden file %s differs at byte %d:\n got  …%q\n want …%q\nproduced bytes are in %s",
		name, at, excerpt(got, at), excerpt(want, at), saveProduced(t, name, got))
}

// saveProduced writes got below the temporary folder and returns the path of the file.
func saveProduced(t testing.TB, name string, got []byte) string {
	t.Helper()
	path := filepath.Join(os.TempDir(), "appleledge-golden", filepath.FromSlash(name))
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatalf("folder for produced bytes: %v", err)
	}
	if err := os.WriteFile(path, got, 0o644); err != nil {
		t.Fatalf("produced bytes: %v", err)
	}
	return path
}

// firstDifference returns the index of the first byte in which a and b differ.
func firstDifference(a, b []byte) int {
	shorter := min(len(a), len(b))
	for i := range shorter {
		if a[i] != b[i] {
			return i
		}
	}
	return shorter
}

// excerpt returns the bytes of content around the index at.
func excerpt(content []byte, at int) []byte {
	const context = 60 // bytes on each side
	return content[max(0, at-context):min(len(content), at+context)]
}

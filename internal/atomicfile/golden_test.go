package atomicfile_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	. "appleledge/internal/atomicfile"
	"appleledge/internal/besteffort"
	"appleledge/internal/golden"
)

// recordingFS records the names of the files that are created.
type recordingFS struct {
	OS
	created *[]string
}

func (r recordingFS) Create(name string) (WritableFile, error) {
	*r.created = append(*r.created, name)
	return r.OS.Create(name)
}

// A document has the committed bytes and is read back from them; the lock, the quarantined file and the temporary one have the
// committed names.
func TestGoldenDocument(t *testing.T) {
	const doc = "{\"a document\":1}\n\x00\xff"
	dir := t.TempDir()
	var created []string
	f := File{Path: filepath.Join(dir, "written"), FS: recordingFS{OS{}, &created}}
	if err := f.Save([]byte(doc)); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "store/document", data)
	committed := File{Path: filepath.Join(dir, "read"), FS: OS{}}
	if err := os.WriteFile(committed.Path, golden.Read(t, "store/document"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := committed.Load(); err != nil || string(got) != doc {
		t.Errorf("the committed document reads as %q, %v", got, err)
	}
	release, err := Lock(f.Path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { besteffort.Ignore(release()) }()
	if _, err := committed.Quarantine(time.Date(2026, 1, 2, 3, 4, 5, 6, time.FixedZone("", 3600))); err != nil {
		t.Fatal(err)
	}
	names, err := OS{}.List(dir)
	if want := []string{"read.broken-20260102T020405", "written", "written.lock"}; err != nil || !slices.Equal(names, want) {
		t.Errorf("the folder holds %v, want %v; %v", names, want, err)
	}
	if got, want := fmt.Sprint(created), fmt.Sprint([]string{f.Path + ".next"}); got != want {
		t.Errorf("%s was created to write it, want %s", got, want)
	}
}

package bindinglog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"testing"
	"time"

	"appleledge/internal/affinity"
	"appleledge/internal/atomicfile"
	"appleledge/internal/golden"
)

const (
	goldenBoot        = "5f1c3a52-6c1e-4c0f-9d55-0123456789ab"
	goldenEarlierBoot = "01234567-89ab-4cde-8f01-23456789abcd" // an earlier boot of the machine
	goldenPrefix      = "000000000df9ea80-a1a2a3a4a5a6a7a8"    // what a log's files begin with
)

// goldenOptions have a clock that runs a second behind the time since the boot.
func goldenOptions(dir, boot string) Options {
	return Options{Dir: dir, FS: atomicfile.OS{}, Sync: true, Retention: 10 * time.Second, Now: func() time.Duration { return 30 * time.Second }, BootID: boot,
		ToBootTime: func(t time.Duration) int64 { return int64(t + time.Second) }, FromBootTime: func(n int64) time.Duration { return time.Duration(n) - time.Second }}
}

func goldenRecords() []affinity.Record {
	return []affinity.Record{
		{Kind: affinity.RecordBound, Key: affinity.Key{1, 2}, At: 3 * time.Second, Pod: 4, Zone: 5},
		{Kind: affinity.RecordServed, Key: affinity.Key{6, 7}, At: 8 * time.Second, Pod: 9, Zone: 10},
		{Kind: affinity.RecordFailed, Key: affinity.Key{11, 12}, At: 13 * time.Second, Pod: 14, Zone: 15},
		{Kind: affinity.RecordUnbound, Key: affinity.Key{16, 17}, At: 18 * time.Second, Pod: 19, Zone: 20},
	}
}

// goldenFiles are the committed files, by the names that they have in a folder.
var goldenFiles = map[string]string{goldenPrefix + "-000001.ties": "tielog/first", goldenPrefix + "-000002.ties": "tielog/second"}

// put puts a committed file into a folder.
func putGoldenFile(t *testing.T, dir, name, from string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), golden.Read(t, from), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A log writes two batches to one file and, after Close, a third to another. Their bytes are the committed ones.
func TestGoldenFilesAreWritten(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, goldenOptions(dir, goldenBoot))
	if !regexp.MustCompile(`^0000000737be7600-[0-9a-f]{16}$`).MatchString(l.filePrefix) { // 31 s in nanoseconds, and chance
		t.Errorf("its files' names begin with %q", l.filePrefix)
	}
	l.filePrefix = goldenPrefix
	for i, batch := range [][]affinity.Record{goldenRecords()[:2], goldenRecords()[2:], goldenRecords()[:1]} {
		if i == 2 {
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
		}
		for _, r := range batch {
			l.Append(r)
		}
		if err := l.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	names, err := atomicfile.OS{}.List(dir)
	if err != nil || len(names) != len(goldenFiles) {
		t.Errorf("the folder holds %v, %v", names, err)
	}
	for name, as := range goldenFiles {
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Error(err)
		}
		golden.Equal(t, as, data)
	}
}

// The committed files read as the records that were written; in another boot of the machine, with unknown times.
func TestGoldenFilesAreRead(t *testing.T) {
	dir := t.TempDir()
	for name, as := range goldenFiles {
		putGoldenFile(t, dir, name, as)
	}
	want := append(goldenRecords(), goldenRecords()[0])
	if got := readAll(t, goldenOptions(dir, goldenBoot)); !reflect.DeepEqual(got, ReadResult{Records: want}) {
		t.Errorf("the committed files read as %+v", got)
	}
	for i := range want {
		want[i].At = affinity.UnknownTime
	}
	if got := readAll(t, goldenOptions(dir, goldenEarlierBoot)); !reflect.DeepEqual(got, ReadResult{Records: want}) {
		t.Errorf("in another boot of the machine they read as %+v", got)
	}
}

// A folder holds whole files, one that is corrupt and cut off and was quarantined, one of a newer format and a foreign one. Inspect
// reports each, in the committed JSON.
func TestGoldenInspection(t *testing.T) {
	dir := t.TempDir()
	for name, as := range goldenFiles {
		putGoldenFile(t, dir, name, as)
	}
	damaged := bytes.Clone(golden.Read(t, "tielog/first"))
	damaged[headerSize] ^= 1
	for name, content := range map[string][]byte{
		"b.ties": damaged[:len(damaged)-3], "c.ties": []byte("appleledge-ties 2 and what follows"), "d.ties": []byte("noise"), "e.txt": nil,
	} {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	found, err := openLog(t, goldenOptions(dir, goldenBoot)).ReadNew()
	if want := []string{filepath.Join(dir, "b.ties.damaged")}; err == nil || found.Corrupt != 1 || !reflect.DeepEqual(found.Quarantined, want) {
		t.Errorf("before the newer file %+v was read, and then %v", found, err)
	}
	reports, err := Inspect(atomicfile.OS{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.MarshalIndent(reports, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range reports {
		text = fmt.Appendf(text, "\n%s: %v", r.Name, r.Records)
	}
	golden.Equal(t, "tielog/inspection", append(text, '\n'))
}

// A new secret is random; its file has the form of the committed one, and the committed one reads as the secret that it holds.
func TestGoldenSecret(t *testing.T) {
	secret := affinity.Secret{0xf1, 0xf2, 0xf3, 0xf4, 0xf5, 0xf6, 0xf7, 0xf8, 0xf9, 0xfa, 0xfb, 0xfc, 0xfd, 0xfe, 0xff, '\n'}
	save := func(s affinity.Secret) []byte {
		t.Helper()
		f := atomicfile.File{Path: filepath.Join(t.TempDir(), "any"), FS: atomicfile.OS{}}
		if err := f.Save(s[:]); err != nil {
			t.Fatal(err)
		}
		data, err := os.ReadFile(f.Path)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	golden.Equal(t, "tielog/secret", save(secret))
	made := t.TempDir()
	s, err := LoadOrCreateSecret(goldenOptions(made, goldenBoot))
	if err != nil {
		t.Fatal(err)
	}
	if data, err := os.ReadFile(filepath.Join(made, "secret")); err != nil || !bytes.Equal(data, save(s)) {
		t.Errorf("the secret that was made is kept as %q, %v", data, err)
	}
	dir := t.TempDir()
	putGoldenFile(t, dir, "secret", "tielog/secret")
	if got, err := LoadOrCreateSecret(goldenOptions(dir, goldenBoot)); err != nil || got != secret {
		t.Errorf("the committed secret reads as %x, %v", got, err)
	}
	golden.Equal(t, "tielog/key", fmt.Appendf(nil, "%016x\n", secret.Key("a repeat key")))
}

package testgate

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const goodEntry = "test: tiny/a TestA/some_case\ncommand: go test ./a\nseed: 7\nseen: 3 of 5: late\nissue: 36\n"

func TestReadKnown(t *testing.T) {
	text := "# a comment\n\n" + goodEntry + "\n\n# another\ntest: tiny/b TestB\n# within\ncommand: go test ./b\nseed: none\nseen: no answer\nissue: 37"
	got, err := ReadKnown(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	want := []KnownRed{
		{Test: TestID{"tiny/a", "TestA/some_case"}, Command: "go test ./a", Seed: "7", Seen: "3 of 5: late", Issue: "36", Line: 3},
		{Test: TestID{"tiny/b", "TestB"}, Command: "go test ./b", Seed: "none", Seen: "no answer", Issue: "37", Line: 11},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestReadKnownNamesTheMalformedLine(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"no key", "\n" + goodEntry + "and more of it\n", "line 7: "},
		{"no value", strings.Replace(goodEntry, " 7", "", 1), "line 3: "},
		{"unknown key", goodEntry + "since: 2026\n", "line 6: unknown key"},
		{"a key twice", goodEntry + "seed: 8\n", `line 6: a second "seed"`},
		{"a key missing", "# first\n" + strings.Replace(goodEntry, "issue: 36\n", "", 1), `line 2: the entry has no "issue"`},
		{"a key missing before another entry", strings.Replace(goodEntry, "seed: 7\n", "", 1) + "\n" + goodEntry, `line 1: the entry has no "seed"`},
		{"a whole package", strings.Replace(goodEntry, " TestA/some_case", "", 1), "line 1: "},
		{"a pattern", strings.Replace(goodEntry, "TestA/some_case", ".*", 1), "line 1: "},
		{"no subtest after a slash", strings.Replace(goodEntry, "some_case", "", 1), "line 1: "},
		{"a test twice", goodEntry + "\n" + goodEntry, "line 7: tiny/a TestA/some_case is listed already, in line 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, err := ReadKnown(strings.NewReader(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, %v, want an error with %q", list, err, c.want)
			}
		})
	}
}

func TestReadKnownFileMissingOrEmpty(t *testing.T) {
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if list, err := ReadKnownFile(path); err != nil || len(list) != 0 {
		t.Errorf("missing: %v, %v", list, err)
	}
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if list, err := ReadKnownFile(path); err != nil || len(list) != 0 {
		t.Errorf("empty: %v, %v", list, err)
	}
	if err := os.WriteFile(path, []byte("nonsense\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadKnownFile(path); err == nil || !strings.Contains(err.Error(), path+": line 1: ") {
		t.Errorf("malformed: %v", err)
	}
}

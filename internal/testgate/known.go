package testgate

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"

	"appleledge/internal/besteffort"
)

// TestID names a test or subtest by the import path of its package and its full name.
type TestID struct {
	Package, Name string
}

// String returns the form that a list has: import path and name with a space between.
func (id TestID) String() string { return id.Package + " " + id.Name }

// within reports whether id is a subtest of other, at any depth.
func (id TestID) within(other TestID) bool {
	return id.Package == other.Package && strings.HasPrefix(id.Name, other.Name+"/")
}

// KnownRed is an entry of the list of tests that may fail.
type KnownRed struct {
	Test    TestID
	Command string // by which it was seen to fail
	Seed    string
	Seen    string
	Issue   string
	Line    int // of the entry's first field
}

// entry is an entry while it is read.
type entry struct {
	first  int
	fields map[string]string
}

var fieldNames = []string{"test", "command", "seed", "seen", "issue"}

// ReadKnown reads a list. An entry is a block of "key: value" lines with each of the keys test, command, seed, seen and issue
// once; an empty line ends it. Lines that begin with # are comments. Errors name the line.
func ReadKnown(r io.Reader) ([]KnownRed, error) {
	var (
		list    []KnownRed
		current entry
		number  int
	)
	finish := func() error {
		if current.fields == nil {
			return nil
		}
		known, err := current.known()
		if err != nil {
			return err
		}
		for _, other := range list {
			if other.Test == known.Test {
				return fmt.Errorf("line %d: %s is listed already, in line %d", known.Line, known.Test, other.Line)
			}
		}
		list, current = append(list, known), entry{}
		return nil
	}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		number++
		line := strings.TrimSpace(lines.Text())
		if strings.HasPrefix(line, "#") {
			continue
		}
		if line == "" {
			if err := finish(); err != nil {
				return nil, err
			}
			continue
		}
		if err := current.add(number, line); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", number+1, err)
	}
	return list, finish()
}

// ReadKnownFile reads the list in a file. A missing file is an empty list.
func ReadKnownFile(path string) ([]KnownRed, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer besteffort.Close(file)
	list, err := ReadKnown(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// add takes in a line of the entry.
func (e *entry) add(number int, line string) error {
	key, value, found := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	if !found || value == "" {
		return fmt.Errorf("line %d: %q is not of the form key: value", number, line)
	}
	if !isFieldName(key) {
		return fmt.Errorf("line %d: unknown key %q", number, key)
	}
	if e.fields == nil {
		e.first, e.fields = number, make(map[string]string)
	}
	if _, twice := e.fields[key]; twice {
		return fmt.Errorf("line %d: a second %q in one entry", number, key)
	}
	e.fields[key] = value
	return nil
}

// known returns the entry once all of its lines are in.
func (e *entry) known() (KnownRed, error) {
	for _, name := range fieldNames {
		if e.fields[name] == "" {
			return KnownRed{}, fmt.Errorf("line %d: the entry has no %q", e.first, name)
		}
	}
	test, err := parseTestID(e.fields["test"])
	if err != nil {
		return KnownRed{}, fmt.Errorf("line %d: %w", e.first, err)
	}
	return KnownRed{Test: test, Command: e.fields["command"], Seed: e.fields["seed"], Seen: e.fields["seen"], Issue: e.fields["issue"], Line: e.first}, nil
}

func isFieldName(key string) bool {
	for _, name := range fieldNames {
		if key == name {
			return true
		}
	}
	return false
}

func parseTestID(text string) (TestID, error) {
	words := strings.Fields(text)
	if len(words) != 2 || !hasTestPrefix(words[1]) || strings.HasSuffix(words[1], "/") {
		return TestID{}, fmt.Errorf("%q is not an import path and a test's name", text)
	}
	return TestID{Package: words[0], Name: words[1]}, nil
}

func hasTestPrefix(name string) bool {
	return strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz") || strings.HasPrefix(name, "Example")
}

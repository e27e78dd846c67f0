package main

import (
	"errors"
	"testing"
)

// Every fault still finds the text that it replaces: a fault that is planted nowhere would look like one that the soak does not find.
func TestFaultsFitTheCode(t *testing.T) {
	t.Chdir("../../..")
	for _, f := range faults {
		contents, err := planted(f)
		if err != nil || len(contents) == 0 && f.name != "none" {
			t.Errorf("%s: %v, %d files", f.name, err, len(contents))
		}
	}
	if _, err := planted(fault{"x", []edit{{repeatFile, "no such text", ""}}}); !errors.Is(err, errNotOnce) {
		t.Errorf("a text that is gone: %v", err)
	}
	if _, err := choose("none,no-such-fault"); err == nil {
		t.Error("an unknown name is taken")
	}
}

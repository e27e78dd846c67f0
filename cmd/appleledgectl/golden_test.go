package main

import (
	"os"
	"path/filepath"
	"testing"

	"appleledge/internal/golden"
	"appleledge/internal/plan"
)

// A plan that is kept as a file has the committed bytes, and these are read as the plan that it was made of.
func TestGoldenPlanFile(t *testing.T) {
	p, err := plan.Decode(golden.Read(t, "plan/full.json"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "plan")
	if err := savePlan(path, p); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "plan/saved.json", text)
	got, err := plan.Decode(golden.Read(t, "plan/saved.json"))
	if err != nil || got.Sum != p.Sum {
		t.Errorf("read as %+v, %v", got, err)
	}
}

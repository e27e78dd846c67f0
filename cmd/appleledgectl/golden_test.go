package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
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

// The view of a fleet that an agent answers with is read, and written as text and as JSON, as it was.
func TestGoldenFleetView(t *testing.T) {
	for _, name := range []string{"fleet", "fleet-empty"} {
		agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method+" "+r.URL.Path != "GET /ops/fleet" {
				t.Errorf("asked %s %s", r.Method, r.URL)
			}
			w.Write(golden.Read(t, "operator/"+name+".json"))
		}))
		defer agent.Close()
		f, err := askFleet(t.Context(), strings.TrimPrefix(agent.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		var text, again bytes.Buffer
		if err := writeFleet(&text, f); err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, "appleledgectl/"+name+".txt", text.Bytes())
		if err := (&console{out: &again}).writeJSON(f); err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, "operator/"+name+".json", again.Bytes())
	}
}

// What an agent says against a call is told in the same words.
func TestGoldenFleetErrors(t *testing.T) {
	var b bytes.Buffer
	for _, status := range []int{http.StatusNotFound, http.StatusServiceUnavailable} {
		agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "the agent is ending", status) }))
		address := strings.TrimPrefix(agent.URL, "http://")
		_, err := askFleet(t.Context(), address)
		agent.Close()
		fmt.Fprintln(&b, strings.ReplaceAll(fmt.Sprint(err), address, "ADDRESS"))
	}
	golden.Equal(t, "appleledgectl/fleet-errors.txt", b.Bytes())
}

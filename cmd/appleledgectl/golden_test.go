package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fatih/color"

	"appleledge/internal/admin"
	"appleledge/internal/besteffort"
	"appleledge/internal/fleetconfig"
	"appleledge/internal/fleetconfig/hclfile"
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
	if err != nil || got.Checksum != p.Checksum {
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
			besteffort.IgnoreResult(w.Write(golden.Read(t, "operator/"+name+".json")))
		}))
		defer agent.Close()
		f, err := fetchFleetView(t.Context(), strings.TrimPrefix(agent.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		var text, again bytes.Buffer
		if err := writeFleetView(&text, f); err != nil {
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
		_, err := fetchFleetView(t.Context(), address)
		agent.Close()
		fmt.Fprintln(&b, strings.ReplaceAll(fmt.Sprint(err), address, "ADDRESS"))
	}
	golden.Equal(t, "appleledgectl/fleet-errors.txt", b.Bytes())
}

// An agent's status is written as text as it was. Of requests that are open under several generations the order is not fixed, so
// that there is one here.
func TestGoldenStatus(t *testing.T) {
	var b bytes.Buffer
	for _, bare := range []bool{false, true} {
		var s admin.Status
		if err := json.Unmarshal(golden.Read(t, "admin/status.json"), &s); err != nil {
			t.Fatal(err)
		}
		delete(s.OpenRequests, 9)
		if bare {
			s.IsWatched, s.PreviousHash, s.OpenRequests, s.IsDurable, s.Lock = false, "", nil, false, nil
		}
		if err := (&console{out: &b}).writeStatus(s); err != nil {
			t.Fatal(err)
		}
	}
	golden.Equal(t, "appleledgectl/status.txt", b.Bytes())
}

// What is wrong with files is written as text and as JSON as it was.
func TestGoldenDiagnostics(t *testing.T) {
	was := color.NoColor
	defer func() { color.NoColor = was }()
	color.NoColor = true
	_, err := hclfile.Read([]hclfile.Source{{Name: "f.hcl", Text: []byte("pool \"a\" {\n  kinds = []\n}\ndeadline \"d\" {\n  at_most = \"4\"\n}\n")},
		{Name: "g.hcl", Text: []byte("rollout {\n  step = 2\n  wait = \"soon\"\n}\n")}}, map[string]string{"v": "1"}, fleetconfig.Names{})
	for _, asJSON := range []bool{true, false} {
		var b bytes.Buffer
		if c := (&console{json: asJSON, out: &b, err: &b}); !c.showDiagnostics(err) || c.showDiagnostics(errors.New("another")) {
			t.Error(err)
		}
		golden.Equal(t, "appleledgectl/diagnostics"+map[bool]string{true: ".json", false: ".txt"}[asJSON], b.Bytes())
	}
}

package logstats

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"appleledge/internal/golden"
)

// The committed log has a line with every figure, one of another log's form, one with something before its time, and one
// as agents wrote it first, without what they have held since. The sums are compared as text and as the JSON that appleledgectl writes.
func TestGoldenSums(t *testing.T) {
	s, err := New(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Read(bytes.NewReader(golden.Read(t, "figures/agents.log"))); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := s.Write(&out); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "figures/sums.txt", out.Bytes())
	rows, err := json.MarshalIndent(s.Rows, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "figures/sums.json", append(rows, '\n'))
}

// What the agent writes is read: the committed lines of package agent.
func TestGoldenLineOfTheAgent(t *testing.T) {
	s, err := New(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Read(bytes.NewReader(golden.Read(t, "agent/figures.log"))); err != nil {
		t.Fatal(err)
	}
	rows, err := json.MarshalIndent(s.Rows, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "figures/agent.json", append(rows, '\n'))
}

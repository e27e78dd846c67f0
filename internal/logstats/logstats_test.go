package logstats

import (
	"strings"
	"testing"
	"time"
)

const (
	one   = "0.5 time=2026-12-01T10:00:00.900Z level=INFO msg=figures agent=n0 served=3 held_open=2\n"
	two   = "time=2026-12-01T10:00:00.100Z level=INFO msg=figures agent=n1 served=4 refused=1 held_open=5\n"
	later = "time=2026-12-01T10:00:02.100Z level=INFO msg=figures agent=n1 served=7 odd=x held_open=1\n"
	other = "time=2026-12-01T10:00:00.100Z level=INFO msg=\"list of backends\" entries=9\nno line of a log\n"
)

func TestFiguresAddUpByTime(t *testing.T) {
	s, err := New(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, log := range []string{one, two + other + later} {
		if err := s.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	if err := s.Write(&out); err != nil {
		t.Fatal(err)
	}
	want := [][]string{{"from", "10:00:00", "0s", "2s"}, {"held_open", "7", "1"}, {"refused", "1", "0"}, {"served", "7", "7"}}
	for i, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if i >= len(want) || strings.Join(strings.Fields(line), " ") != strings.Join(want[i], " ") {
			t.Errorf("line %d is %q", i+1, line)
		}
	}
}

func TestWhatCannotBeAddedUp(t *testing.T) {
	if _, err := New(0); err == nil {
		t.Error("steps of no time are taken")
	}
	s, _ := New(time.Second)
	if err := s.Write(&strings.Builder{}); err == nil || !strings.Contains(err.Error(), "[figures]") {
		t.Errorf("with no line: %v", err)
	}
	err := s.Read(strings.NewReader(one + "time=soon level=INFO msg=figures served=1\n"))
	if err == nil || !strings.Contains(err.Error(), "line 2: \"soon\" is no time") {
		t.Errorf("%v", err)
	}
	for s.step = time.Nanosecond; len(s.Rows) < maxRows; {
		s.Rows[int64(len(s.Rows)+1)] = nil
	}
	if err := s.Read(strings.NewReader(one)); err == nil || !strings.Contains(err.Error(), "longer") {
		t.Errorf("with too many steps: %v", err)
	}
}
